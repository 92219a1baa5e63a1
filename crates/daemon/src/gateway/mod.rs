//! Gateway mode: forwards requests to backend servers without reading their contents.
//!
//! The homes make the same decisions as for the native interface. Routes and backend servers arrive as [`Update`]s,
//! every host runs a home for every set of shards, and the protocols of clients and backend servers are hidden behind
//! [`Ingress`] and [`Codec`](crate::backend::Codec). Implementations of these traits translate and decide nothing.

mod content;
mod control;
mod describe;
mod front;
mod members;
pub mod mirror;
mod ready;
mod relay;
mod run;
mod split;
mod state;

pub use content::{Opaque, ServerRequest, ServerResponse};
pub use mirror::Mirror;
pub use run::{Adapter, Addresses, Error, Result, Settings, run};
pub use state::Instances;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::{HeaderMap, Response};
use monsoonring_decision::gateway::{Table, registry};
use std::time::Duration;

/// A change of the configuration or of the registered backend servers.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new version of the configuration.
    Configuration(Table),
    /// A change of the registered backend servers or of the connection to their registry.
    Registry(registry::Event),
}

/// The parts of a client's request that the gateway reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Requested host, optionally with a port.
    pub host: String,
    /// Request id set by the client, for the log.
    pub id: String,
    /// How long the client waits; `None` where the request does not say.
    pub timeout: Option<Duration>,
}

/// The protocol that clients use.
pub trait Ingress: Send + Sync + 'static {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Describes why the head is malformed.
    fn parse(&self, head: &request::Parts) -> std::result::Result<RequestInfo, &'static str>;

    /// Builds the request to backend servers from a client's head and body.
    fn forward(&self, head: request::Parts, info: &RequestInfo, body: Bytes) -> ServerRequest;

    /// Sets the remaining timeout in the headers of a request that is sent to another host.
    fn set_timeout(&self, headers: &mut HeaderMap, timeout: Duration);

    /// Builds the response to the client from the response of one backend server.
    fn single(&self, response: ServerResponse) -> Response<Full<Bytes>>;

    /// Builds the response to the client from the merged records of several; `missing` shards are not included.
    fn merged(
        &self,
        parts: &[ServerResponse],
        missing: usize,
        records: Bytes,
    ) -> Response<Full<Bytes>>;

    /// Returns the size of one record of a merged response, in bytes.
    fn record_bytes(&self) -> usize;

    /// Formats the value of a `Retry-After` header.
    fn retry_after(&self, time: Duration) -> HeaderValue;
}
