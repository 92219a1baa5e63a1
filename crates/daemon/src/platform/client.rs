//! HTTP client for the platform.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::response::Parts;
use hyper::{Request, Uri};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::{OptionExt, ResultExt, Snafu};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Largest response body in bytes: the largest value of the configuration service and its envelope.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("calling {peer}{path}: {source}"))]
    Call {
        peer: SocketAddr,
        path: String,
        source: hyper_util::client::legacy::Error,
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

/// Client for one server of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    peer: SocketAddr,
    http: Http<HttpConnector, Empty<Bytes>>,
}

impl Client {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        let http = Http::builder(TokioExecutor::new())
            .pool_max_idle_per_host(1)
            .build_http();
        Self { peer, http }
    }

    /// Sends a GET request. `limit` is its timeout, as the platform can hang.
    pub(crate) async fn get(&self, path: &str, limit: Duration) -> Result<(Parts, Bytes)> {
        let (peer, path) = (self.peer, path.to_owned());
        let exchange = timeout(limit, self.exchange(&path)).await;
        exchange.ok().context(TimeoutSnafu { peer, path, limit })?
    }

    async fn exchange(&self, path: &str) -> Result<(Parts, Bytes)> {
        let peer = self.peer;
        let uri = format!("http://{peer}{path}")
            .parse::<Uri>()
            .map_err(Into::into);
        let uri: Result<Uri, hyper::http::Error> = uri;
        let uri = uri.context(BuildSnafu { peer, path })?;
        let request = Request::get(uri)
            .body(Empty::new())
            .context(BuildSnafu { peer, path })?;
        let response = self
            .http
            .request(request)
            .await
            .context(CallSnafu { peer, path })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Error::Body {
            peer,
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
        Ok((head, body.to_bytes()))
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
