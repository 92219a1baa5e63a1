//! One HTTP exchange with a daemon.
//!
//! An error tells the step at which it arose, since that decides what may be said about the request:
//! before the step [`Step::Send`] nothing of it can have run, from there on it may have.

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Largest answer read, in bytes; a larger one is an error and does not fill the memory.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Result of an exchange.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// The part of an exchange at which an error arose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    /// Composing the request.
    #[display("compose the request")]
    Compose,
    /// Making the connection.
    #[display("connect")]
    Connect,
    /// Sending the request and waiting for the head of the answer.
    #[display("send the request")]
    Send,
    /// Reading the body of the answer.
    #[display("read the answer")]
    Read,
}

/// Why an exchange gave no answer.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// Something went wrong at a step.
    #[snafu(display("{step}, daemon {peer}: {source}"))]
    Exchange {
        /// The step.
        step: Step,
        /// The daemon.
        peer: SocketAddr,
        /// What went wrong.
        source: Cause,
    },
    /// A step was not over in time.
    #[snafu(display("{step}, daemon {peer}: no answer within {} ms", timeout.as_millis()))]
    Timeout {
        /// The step.
        step: Step,
        /// The daemon.
        peer: SocketAddr,
        /// The time that the whole exchange was given.
        timeout: Duration,
    },
}

impl Error {
    /// Returns the step at which the error arose.
    pub(crate) fn step(&self) -> Step {
        match self {
            Self::Exchange { step, .. } | Self::Timeout { step, .. } => *step,
        }
    }
}

/// A whole answer of a daemon.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
}

/// A daemon and the time that an exchange with it may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The time that one whole exchange may take.
    pub(crate) timeout: Duration,
}

impl Peer {
    /// Sends a GET.
    ///
    /// # Errors
    ///
    /// [`Error`] where no whole answer arrived in time.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer> {
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Full::default());
        self.exchange(self.step(Step::Compose, request)?).await
    }

    /// Sends a POST with these headers.
    ///
    /// # Errors
    ///
    /// [`Error`] where no whole answer arrived in time.
    pub(crate) async fn post(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<Answer> {
        let mut request = Request::post(path)
            .header(hyper::header::HOST, self.address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        self.exchange(self.step(Step::Compose, request)?).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let end = Instant::now() + self.timeout;
        let mut sender = self.within(end, Step::Connect, self.connect()).await??;
        let sent = sender.send_request(request);
        let response = self.within(end, Step::Send, sent).await?;
        let response = self.step(Step::Send, response)?;
        self.within(end, Step::Read, self.read(response)).await?
    }

    async fn connect(&self) -> Result<http1::SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await;
        let stream = self.step(Step::Connect, stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = self.step(Step::Connect, handshake)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn read(&self, response: Response<Incoming>) -> Result<Answer> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: self.step(Step::Read, body)?.to_bytes(),
        })
    }

    fn step<T, E: Into<Cause>>(&self, step: Step, result: Result<T, E>) -> Result<T> {
        let peer = self.address;
        result
            .map_err(Into::into)
            .context(ExchangeSnafu { step, peer })
    }

    async fn within<T>(
        &self,
        end: Instant,
        step: Step,
        future: impl Future<Output = T>,
    ) -> Result<T> {
        let timeout = TimeoutSnafu {
            step,
            peer: self.address,
            timeout: self.timeout,
        };
        timeout_at(end, future)
            .await
            .map_err(|_elapsed| timeout.build())
    }
}
