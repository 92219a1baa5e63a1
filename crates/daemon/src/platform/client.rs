//! HTTP client for the platform.

#[cfg(test)]
mod tests;

use crate::client;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use snafu::{OptionExt, ResultExt, Snafu};
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Largest response body in bytes: the largest value of the configuration service and its envelope.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("calling {path}: {source}"))]
    Connect { path: String, source: client::Error },
    #[snafu(display("calling {peer}{path}: {source}"))]
    Call {
        peer: SocketAddr,
        path: String,
        source: hyper::Error,
    },
    #[snafu(display("building the call to {peer}{path}: {source}"))]
    Build {
        peer: SocketAddr,
        path: String,
        source: hyper::http::Error,
    },
    #[snafu(display("calling {peer}{path}: no response within {limit:?}"))]
    Timeout {
        peer: SocketAddr,
        path: String,
        limit: Duration,
    },
    #[snafu(display("reading the response of {peer}{path}: {reason}"))]
    Body {
        peer: SocketAddr,
        path: String,
        reason: String,
    },
    #[snafu(display("{peer}{path}: unexpected status {status}"))]
    Status {
        peer: SocketAddr,
        path: String,
        status: u16,
    },
}

/// Result of a call to the platform.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// An open connection; dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: client::Sender<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// Client for one server of the platform; clones share an idle connection.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    peer: SocketAddr,
    idle: Arc<Mutex<Option<Connection>>>,
}

impl Client {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: Arc::default(),
        }
    }

    /// Sends a GET request. `limit` is its timeout, as the platform can hang.
    pub(crate) async fn get(&self, path: &str, limit: Duration) -> Result<(Parts, Bytes)> {
        let (peer, path) = (self.peer, path.to_owned());
        let exchange = timeout(limit, self.exchange(&path)).await;
        exchange.ok().context(TimeoutSnafu { peer, path, limit })?
    }

    async fn exchange(&self, path: &str) -> Result<(Parts, Bytes)> {
        let peer = self.peer;
        let (connection, response) = match self.send_on_idle(path).await? {
            Some(sent) => sent,
            None => self.send_on_new(path).await?,
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Error::Body {
            peer,
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
        *self.idle() = Some(connection);
        Ok((head, body.to_bytes()))
    }

    /// Sends a request on the idle connection. Returns `None` if there is none or it closed before the request was
    /// written.
    async fn send_on_idle(
        &self,
        path: &str,
    ) -> Result<Option<(Connection, Response<client::Body>)>> {
        let peer = self.peer;
        let idle = self.idle().take();
        let Some(mut connection) = idle else {
            return Ok(None);
        };
        if connection.sender.ready().await.is_err() {
            return Ok(None);
        }
        let request = self.request(path)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(Some((connection, response))),
            // hyper returns the request only if none of it was written.
            Err(error) if error.message().is_some() => Ok(None),
            Err(error) => Err(error.into_error()).context(CallSnafu { peer, path }),
        }
    }

    async fn send_on_new(&self, path: &str) -> Result<(Connection, Response<client::Body>)> {
        let peer = self.peer;
        let opened = client::open(peer).await;
        let (sender, driver) = opened.context(ConnectSnafu { path })?;
        let mut connection = Connection {
            sender,
            _driver: client::drive(driver),
        };
        let response = connection.sender.send_request(self.request(path)?).await;
        let response = response.context(CallSnafu { peer, path })?;
        Ok((connection, response))
    }

    fn request(&self, path: &str) -> Result<Request<Empty<Bytes>>> {
        let peer = self.peer;
        let request = Request::get(path).header(HOST, peer.to_string());
        request
            .body(Empty::new())
            .context(BuildSnafu { peer, path })
    }

    // No code panics while it holds the lock, so the guarded value is consistent even if poisoned.
    fn idle(&self) -> std::sync::MutexGuard<'_, Option<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the error for an unexpected status.
    pub(crate) fn status(&self, path: &str, head: &Parts) -> Error {
        Error::Status {
            peer: self.peer,
            path: path.to_owned(),
            status: head.status.as_u16(),
        }
    }

    /// Returns the error for an unreadable response.
    pub(crate) fn unreadable(&self, path: &str, reason: &dyn Display) -> Error {
        Error::Body {
            peer: self.peer,
            path: path.to_owned(),
            reason: reason.to_string(),
        }
    }
}
