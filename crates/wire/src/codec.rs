//! Codec of the server side of a connection between daemons.
//!
//! During a rolling upgrade, a newer daemon may call a method that an older one does not know. The
//! plain bincode codec treats such a call as a connection error, which fails all calls in flight from
//! that peer. This codec decodes it as [`Body::Unknown`] instead, and only that call is rejected.

use bincode::Options;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Deserializer, Serialize};
use std::io::{Error, ErrorKind};
use std::marker::PhantomData;
use std::pin::Pin;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::Serve;
use tarpc::{ClientMessage, RequestName, ServerError};

/// Largest call or response between daemons, in bytes. It must hold a search result of a whole route.
pub const MAX_FRAME: usize = 64 * 1024 * 1024;

/// Longest time to the deadline that a call may have; the deadlines of routes are shorter.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);

/// Result of encoding or decoding a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Decoded body of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body<T> {
    /// A call that this daemon knows.
    Known(T),
    /// A method or arguments that this daemon can't decode, as from a newer version.
    Unknown,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Body<T> {
    /// Decodes errors as [`Body::Unknown`]. That leaves the input at an arbitrary position, which is
    /// harmless because the body is the last part of a message.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(T::deserialize(deserializer).map_or(Self::Unknown, Self::Known))
    }
}

impl<T: RequestName> RequestName for Body<T> {
    fn name(&self) -> &str {
        match self {
            Self::Known(request) => request.name(),
            Self::Unknown => "unknown",
        }
    }
}

/// Serves known calls and rejects unknown ones.
#[derive(Clone, Debug)]
pub(crate) struct RejectUnknown<S>(pub(crate) S);

impl<S: Serve> Serve for RejectUnknown<S> {
    type Req = Body<S::Req>;
    type Resp = S::Resp;

    async fn serve(self, context: Context, request: Self::Req) -> Result<S::Resp, ServerError> {
        match request {
            Body::Known(request) => self.0.serve(context, request).await,
            Body::Unknown => Err(ServerError::new(
                ErrorKind::Unsupported,
                "this daemon does not know the method".to_owned(),
            )),
        }
    }
}

/// Decodes calls and encodes responses.
#[derive(Debug)]
pub struct Codec<Request, Response>(PhantomData<(Request, Response)>);

impl<Request, Response> Default for Codec<Request, Response> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<Request, Response> tarpc::tokio_serde::Deserializer<ClientMessage<Body<Request>>>
    for Codec<Request, Response>
where
    Request: for<'de> Deserialize<'de>,
{
    type Error = Error;

    fn deserialize(
        self: Pin<&mut Self>,
        source: &BytesMut,
    ) -> Result<ClientMessage<Body<Request>>> {
        check_deadline(source)?;
        let mut rest = source.as_ref();
        let mut message = options().deserialize_from(&mut rest).map_err(invalid)?;
        if let ClientMessage::Request(request) = &mut message {
            // Trailing bytes mean that the sender knows another form of this message.
            if !rest.is_empty() {
                request.message = Body::Unknown;
            }
        }
        Ok(message)
    }
}

impl<Request, Response: Serialize> tarpc::tokio_serde::Serializer<Response>
    for Codec<Request, Response>
{
    type Error = Error;

    fn serialize(self: Pin<&mut Self>, item: &Response) -> Result<Bytes> {
        options().serialize(item).map(Bytes::from).map_err(invalid)
    }
}

/// First fields of a [`ClientMessage`], up to the deadline of a call.
#[derive(Deserialize)]
enum Head {
    /// A call and the time to its deadline.
    Request(Duration),
    /// Cancellation of a call.
    Cancel,
}

/// Rejects a deadline that is too far in the future.
///
/// `tarpc` adds the duration to the current time while decoding, which would overflow and panic in
/// the connection's task.
fn check_deadline(source: &[u8]) -> Result<()> {
    let head = options().deserialize_from(source).map_err(invalid)?;
    match head {
        Head::Request(deadline) if deadline > MAX_DEADLINE => {
            let detail = "the deadline of the call is too far in the future";
            Err(Error::new(ErrorKind::InvalidData, detail))
        }
        Head::Request(_) | Head::Cancel => Ok(()),
    }
}

/// Returns the encoding of all messages. The limit bounds the memory that a forged length can claim.
fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_FRAME as u64)
}

fn invalid(error: bincode::Error) -> Error {
    Error::new(ErrorKind::InvalidData, error)
}
