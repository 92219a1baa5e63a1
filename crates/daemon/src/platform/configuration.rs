//! Client for the configuration service.

use super::client::{Client, Result};
use bytes::Bytes;
use hyper::StatusCode;
use monsoonring_configuration::id::Revision;
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the value that holds the document.
const VALUE: &str = "/values/monsoonring";

/// Header with the revision of a value.
const REVISION: &str = "monsoonring-revision";

/// Timeout of a read; added to the wait of a long poll.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A value and its revision.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) revision: Revision,
    /// The document, not validated.
    pub(crate) bytes: Bytes,
}

/// Reads the configuration document.
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

    /// Reads the current value.
    pub(crate) async fn read(&self) -> Result<Value> {
        let value = self.call(VALUE, READ_TIMEOUT).await?;
        value.ok_or_else(|| self.client.unreadable(VALUE, &"the value is missing"))
    }

    /// Waits up to `wait` for a revision above `after`; returns `None` if there was none.
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
        let revision = revision.ok_or_else(|| {
            self.client
                .unreadable(path, &"the revision is missing or invalid")
        })?;
        Ok(Some(Value { revision, bytes }))
    }
}
