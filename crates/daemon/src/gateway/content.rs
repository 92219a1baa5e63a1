//! What goes through the homes unread.

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use monsoonring_decision::content::Content;
use std::sync::Arc;

/// Requests and answers as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opaque;

impl Content for Opaque {
    type Query = Arc<ServerRequest>;
    type Value = ServerResponse;
}

/// A request to be forwarded.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query, to the byte.
    pub target: PathAndQuery,
    /// Its headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Whether what one backend server answers is but a part of the answer.
    pub is_merged: bool,
}

/// The whole answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}
