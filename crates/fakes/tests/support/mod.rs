//! HTTP client for the tests of the fakes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use monsoonring_fakes::header;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Number of polls before [`eventually`] fails.
const MAX_POLLS: u32 = 2_000;

/// Timeout of a call, so that a hung call fails the test.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// A complete reply.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub(crate) fn not_run(&self) -> Option<&str> {
        self.header(header::NOT_RUN)
    }
}

/// An open connection to a server.
pub(crate) struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address)
            .await
            .expect("the server listens")
    }

    pub(crate) async fn try_connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.expect("a handshake needs no reply");
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a call and reads the reply.
    ///
    /// # Panics
    ///
    /// Panics if the call does not end within [`CALL_TIMEOUT`].
    pub(crate) async fn send(&mut self, call: Call) -> Result<Reply, hyper::Error> {
        let reply = tokio::time::timeout(CALL_TIMEOUT, self.exchange(call)).await;
        reply.expect("the call ends within the timeout")
    }

    async fn exchange(&mut self, call: Call) -> Result<Reply, hyper::Error> {
        self.sender.ready().await?;
        let reply = self.sender.send_request(call.request()).await?;
        let (parts, body) = reply.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Sends a call on a new connection.
pub(crate) async fn send(address: SocketAddr, call: Call) -> Result<Reply, hyper::Error> {
    Client::connect(address).await.send(call).await
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    pub(crate) fn post(path: impl Into<String>) -> Self {
        Self::new(Method::POST, path)
    }

    /// Returns a search of keys 0 to 99 with the given attempt number.
    pub(crate) fn query(attempt: u64) -> Self {
        let body = r#"{"ranges":[{"start":0,"end":100}],"query":"valve"}"#;
        Self::new(Method::POST, "/query")
            .header(header::ATTEMPT, format!("{attempt:016x}"))
            .body(body)
    }

    /// Returns a non-idempotent request.
    pub(crate) fn execute(attempt: u64, key: &str) -> Self {
        Self::new(Method::POST, "/execute")
            .header(header::ATTEMPT, format!("{attempt:016x}"))
            .header(header::IDEMPOTENCY_KEY, key)
            .body(r#"{"query":"ticket"}"#)
    }

    pub(crate) fn cancel(attempt: u64) -> Self {
        Self::new(Method::DELETE, format!("/attempts/{attempt:016x}"))
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    fn request(self) -> Request<Full<Bytes>> {
        let mut request = Request::builder().method(self.method).uri(self.path);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body));
        request.body(body).expect("the call is well formed")
    }
}

/// Waits until a condition holds.
pub(crate) async fn eventually(condition_name: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert!(condition(), "condition not met in time: {condition_name}");
}
