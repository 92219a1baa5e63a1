//! Requests and responses that the gateway forwards without reading them.

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use monsoonring_decision::content::Content;
use std::sync::Arc;

/// Content type of homes that forward requests and responses unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opaque;

impl Content for Opaque {
    type Query = Arc<ServerRequest>;
    type Value = ServerResponse;
}

/// A request to be forwarded to backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, byte for byte as received.
    pub target: PathAndQuery,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the responses of several backend servers are merged.
    pub is_merged: bool,
}

/// The complete response of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}
