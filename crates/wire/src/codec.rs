//! How the acceptor of a connection reads calls.
//!
//! During a roll-out two versions run beside each other, and a newer daemon may call a method that
//! this one does not know. With the plain codec such a call is an error of the connection: it is
//! closed, and with it end all calls of that peer which are in flight, queries of callers among them.
//! Here a call whose body can't be read is [`Body::Unknown`]: it alone is refused.

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

/// Largest call or answer between daemons, in bytes. An answer over 160 backend servers has to fit.
pub const MAX_FRAME: usize = 64 * 1024 * 1024;

/// Longest time that a call may be given; no route has a longer deadline.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);

/// Result of reading or writing a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The body of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body<T> {
    /// One that this daemon can read.
    Known(T),
    /// One that it can't.
    Unknown,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Body<T> {
    /// The body is the last part of a message, so that nothing is lost with the place at which
    /// reading it stopped.
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

/// Answers the calls that it can read, and refuses the others.
#[derive(Clone, Debug)]
pub(crate) struct Tolerant<S>(pub(crate) S);

impl<S: Serve> Serve for Tolerant<S> {
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

/// Reads calls and writes answers.
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
            // A body that goes on where this daemon sees its end is another one than it seems.
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

/// The beginning of a message.
#[derive(Deserialize)]
enum Head {
    /// A call, with the time that it is given.
    Request(Duration),
    /// The end of the caller's interest in a call.
    Cancel,
}

/// Refuses a time that the library would add to the clock without a look: the sum overflows, and the
/// task of the connection panics.
fn check_deadline(source: &[u8]) -> Result<()> {
    let head = options().deserialize_from(source).map_err(invalid)?;
    match head {
        Head::Request(deadline) if deadline > MAX_DEADLINE => {
            let detail = "the call has more time than any route";
            Err(Error::new(ErrorKind::InvalidData, detail))
        }
        Head::Request(_) | Head::Cancel => Ok(()),
    }
}

/// The layout of all messages. The limit keeps a length that lies from being believed.
fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_FRAME as u64)
}

fn invalid(error: bincode::Error) -> Error {
    Error::new(ErrorKind::InvalidData, error)
}
