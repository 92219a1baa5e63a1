//! The daemon as a gateway: requests are forwarded to backend servers and nobody here reads them.
//!
//! The same homes decide as for the product's own interface. What differs is around them: routes
//! and backend servers come as [`Update`] from whoever watches them, every host is a home of every
//! set of shards, and the outside's names and formats are behind [`Ingress`] and
//! [`Codec`](crate::backend::Codec). Who implements those three knows the outside and decides
//! nothing; who calls them decides and does not know it.

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

/// Something that was learned of the outside.
#[derive(Clone, Debug)]
pub enum Update {
    /// A version of the configuration.
    Configuration(Table),
    /// Something about the backend servers or about the way to what lists them.
    Registry(registry::Event),
}

/// What a client asks, as far as forwarding needs to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The host that it names, perhaps with a port.
    pub host: String,
    /// The id that it gave its request, for the log.
    pub id: String,
    /// How long it will wait; `None` where it did not say.
    pub timeout: Option<Duration>,
}

/// How clients speak.
pub trait Ingress: Send + Sync + 'static {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse(&self, head: &request::Parts) -> std::result::Result<RequestInfo, &'static str>;

    /// Makes the request that goes to backend servers of a client's head and body.
    fn forward(&self, head: request::Parts, info: &RequestInfo, body: Bytes) -> ServerRequest;

    /// Writes into the headers of a request, to be handed to another host, how long the client will still
    /// wait.
    fn set_timeout(&self, headers: &mut HeaderMap, timeout: Duration);

    /// Writes the one answer of a backend server.
    fn single(&self, answer: ServerResponse) -> Response<Full<Bytes>>;

    /// Writes the merged answer of several; `missing` shards are not in it.
    fn merged(
        &self,
        parts: &[ServerResponse],
        missing: usize,
        records: Bytes,
    ) -> Response<Full<Bytes>>;

    /// Returns the size of one record of an answer that is merged, in bytes.
    fn record_bytes(&self) -> usize;

    /// Writes the time after which a client may come back.
    fn retry_after(&self, time: Duration) -> HeaderValue;
}
