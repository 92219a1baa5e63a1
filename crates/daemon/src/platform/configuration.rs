//! The configuration service.

use super::client::{Client, Result};
use bytes::Bytes;
use hyper::StatusCode;
use monsoonring_configuration::id::Revision;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of the value that holds the document.
const VALUE: &str = "/values/monsoonring";

/// Header with the revision of a value.
const REVISION: &str = "monsoonring-revision";

/// Time that a read may take; the service answers in milliseconds when it is well.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A value as the service gave it.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    /// Its revision.
    pub(crate) revision: Revision,
    /// The document, not checked yet.
    pub(crate) bytes: Bytes,
}

/// Reads the document.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    client: Client,
}

impl Service {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            client: Client::new(peer),
        }
    }

    /// Reads the value as it is now.
    pub(crate) async fn read(&self) -> Result<Value> {
        let value = self.call(VALUE, READ_TIMEOUT).await?;
        value.ok_or_else(|| self.client.unreadable(VALUE, &"no value"))
    }

    /// Waits as long as `wait` for a revision above `after`; `None` where none came.
    pub(crate) async fn watch(&self, after: Revision, wait: Duration) -> Result<Option<Value>> {
        let path = format!("{VALUE}?after={after}&wait_ms={}", wait.as_millis());
        self.call(&path, wait + READ_TIMEOUT).await
    }

    async fn call(&self, path: &str, limit: Duration) -> Result<Option<Value>> {
        let (head, bytes) = self.client.get(path, limit).await?;
        match head.status {
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::OK => {}
            _ => return Err(self.client.status(path, &head)),
        }
        let revision = head
            .headers
            .get(REVISION)
            .and_then(|value| value.to_str().ok());
        let revision = revision.and_then(|text| text.parse().ok());
        let revision = revision.ok_or_else(|| self.client.unreadable(path, &"no revision"))?;
        Ok(Some(Value { revision, bytes }))
    }
}
