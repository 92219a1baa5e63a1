//! One HTTP exchange with a daemon.
//!
//! An [`Error`] has the [`Step`] at which it occurred: before [`Step::Send`] the request cannot have
//! run; from then on it may have.

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

/// Size limit for an answer's body, in bytes, which bounds the memory that the command uses.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Result of an exchange.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Step of an exchange, in order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    /// Building the request.
    #[display("compose the request")]
    Compose,
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Sending the request and waiting for the answer's status and headers.
    #[display("send the request")]
    Send,
    /// Reading the answer's body.
    #[display("read the answer")]
    Read,
}

/// Error of an exchange with a daemon.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// A step failed.
    #[snafu(display("{step}, daemon {peer}: {source}"))]
    Exchange {
        /// The step that failed.
        step: Step,
        /// Address of the daemon.
        peer: SocketAddr,
        /// The underlying error.
        source: Cause,
    },
    /// The exchange timed out.
    #[snafu(display("{step}, daemon {peer}: no answer within {} ms", timeout.as_millis()))]
    Timeout {
        /// The step that was in progress.
        step: Step,
        /// Address of the daemon.
        peer: SocketAddr,
        /// Timeout of the whole exchange.
        timeout: Duration,
    },
}

impl Error {
    /// Returns the step at which the error occurred.
    pub(crate) fn step(&self) -> Step {
        match self {
            Self::Exchange { step, .. } | Self::Timeout { step, .. } => *step,
        }
    }
}

/// A daemon's complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// HTTP headers.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// A daemon, and the timeout of an exchange with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// Address of the daemon.
    pub(crate) address: SocketAddr,
    /// Timeout of one whole exchange, from connecting to the end of the body.
    pub(crate) timeout: Duration,
}

impl Peer {
    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no complete answer arrived in time.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer> {
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Full::default());
        self.exchange(self.at_step(Step::Compose, request)?).await
    }

    /// Sends a POST request with a JSON body and additional headers.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no complete answer arrived in time.
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
        self.exchange(self.at_step(Step::Compose, request)?).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let deadline = Instant::now() + self.timeout;
        let mut sender = self
            .with_deadline(deadline, Step::Connect, self.connect())
            .await??;
        let pending = sender.send_request(request);
        let response = self.with_deadline(deadline, Step::Send, pending).await?;
        let response = self.at_step(Step::Send, response)?;
        self.with_deadline(deadline, Step::Read, self.read(response))
            .await?
    }

    async fn connect(&self) -> Result<http1::SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await;
        let stream = self.at_step(Step::Connect, stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = self.at_step(Step::Connect, handshake)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn read(&self, response: Response<Incoming>) -> Result<Answer> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: self.at_step(Step::Read, body)?.to_bytes(),
        })
    }

    fn at_step<T, E: Into<Cause>>(&self, step: Step, result: Result<T, E>) -> Result<T> {
        let peer = self.address;
        result
            .map_err(Into::into)
            .context(ExchangeSnafu { step, peer })
    }

    async fn with_deadline<T>(
        &self,
        deadline: Instant,
        step: Step,
        future: impl Future<Output = T>,
    ) -> Result<T> {
        let timeout = TimeoutSnafu {
            step,
            peer: self.address,
            timeout: self.timeout,
        };
        timeout_at(deadline, future)
            .await
            .map_err(|_elapsed| timeout.build())
    }
}
