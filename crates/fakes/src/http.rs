//! HTTP replies: JSON, empty, truncated and "not run".

use crate::header;
use bytes::Bytes;
use derive_more::Display;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::io;

pub(crate) type Body = BoxBody<Bytes, io::Error>;
pub(crate) type Reply = Response<Body>;

/// Returns a reply with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let text = serde_json::to_vec(value).expect("reply bodies serialize to JSON");
    let mut reply = bytes(status, text.into());
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Returns a reply without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    bytes(status, Bytes::new())
}

/// Returns a reply with the given body.
pub(crate) fn bytes(status: StatusCode, content: Bytes) -> Reply {
    let body = Full::new(content).map_err(|never| match never {}).boxed();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// Sets a header; does nothing if the value is not a valid header value.
pub(crate) fn set(reply: &mut Reply, name: &'static str, value: &impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        reply.headers_mut().insert(name, value);
    }
}

/// Makes a reply announce its full length, send the first half and then break the connection.
pub(crate) async fn truncated(reply: Reply) -> Reply {
    let (mut parts, body) = reply.into_parts();
    let content = body.collect().await.map(|whole| whole.to_bytes());
    let content = content.unwrap_or_default();
    parts.headers.insert(CONTENT_LENGTH, content.len().into());
    let half = content.slice(..content.len() / 2);
    let frames = [
        Ok(Frame::data(half)),
        Err(io::Error::other("reply truncated by an injected fault")),
    ];
    let body = StreamBody::new(stream::iter(frames));
    Response::from_parts(parts, BodyExt::boxed(body))
}

/// Why a request did not run, as sent in the header `monsoonring-not-run`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotRun {
    /// The queue is full.
    #[display("shedding")]
    Shedding,
    /// The server is draining.
    #[display("draining")]
    Draining,
    /// The process is still starting.
    #[display("starting")]
    Starting,
    /// The deadline passed before execution started.
    #[display("deadline")]
    Deadline,
    /// The server does not have the pinned index version.
    #[display("index-version")]
    IndexVersion,
    /// The connection limit is reached.
    #[display("connections")]
    Connections,
    /// The request violates the protocol.
    #[display("malformed")]
    Malformed,
}

impl NotRun {
    fn status(self) -> StatusCode {
        match self {
            Self::Shedding | Self::Draining | Self::Starting | Self::Connections => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::IndexVersion => StatusCode::CONFLICT,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }
}

/// Returns a reply that states that the request did not run.
pub(crate) fn not_run(reason: NotRun) -> Reply {
    let mut reply = empty(reason.status());
    set(&mut reply, header::NOT_RUN, &reason);
    reply
}
