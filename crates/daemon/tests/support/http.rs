//! An HTTP client on raw bytes, which can send requests that an HTTP library would reject.

use super::within;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const END_OF_HEAD: &str = "\r\n\r\n";

/// A response. The default, with status 0, stands for a connection closed before a whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Response {
    /// Returns the first value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }

    /// Parses the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns the problem document's type, without the URN prefix, and its `outcome`.
    pub(crate) fn problem(&self) -> (String, String) {
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
        let kind = text("type").replace("urn:monsoonring:problem:", "");
        (kind, text("outcome"))
    }

    /// Formats status line, headers except `date`, and body for golden files.
    pub(crate) fn golden(&self) -> String {
        let head: Vec<&str> = self
            .head
            .lines()
            .filter(|line| !line.starts_with("date:"))
            .collect();
        format!("{}\n\n{}\n", head.join("\n"), self.body)
    }
}

/// A client with one connection.
pub(crate) struct Client(pub(crate) TcpStream);

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self(
            TcpStream::connect(address)
                .await
                .expect("the port accepts connections"),
        )
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.0
            .write_all(bytes)
            .await
            .expect("the daemon reads the connection");
    }

    /// Reads one response, or returns the default if the connection closes first.
    pub(crate) async fn receive(&mut self) -> Response {
        let mut received = Vec::new();
        loop {
            if let Some(response) = parse(&received) {
                return response;
            }
            let read = within(self.0.read_buf(&mut received)).await;
            if !read.is_ok_and(|count| count > 0) {
                return Response::default();
            }
        }
    }

    pub(crate) async fn exchange(&mut self, request: &str) -> Response {
        self.send(request.as_bytes()).await;
        self.receive().await
    }
}

fn parse(received: &[u8]) -> Option<Response> {
    let text = std::str::from_utf8(received).ok()?;
    let (head, rest) = text.split_once(END_OF_HEAD)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response {
        status,
        head: head.to_owned(),
        body: String::new(),
    };
    let length: usize = response.header("content-length")?.parse().ok()?;
    response.body = rest.get(..length)?.to_owned();
    Some(response)
}

/// Sends a request on a new connection and returns the response.
pub(crate) async fn exchange(address: SocketAddr, request: &str) -> Response {
    Client::connect(address).await.exchange(request).await
}

/// Formats a `POST` request with these header lines.
pub(crate) fn post(path: &str, headers: &[&str], body: &str) -> String {
    let mut lines = vec![format!("POST {path} HTTP/1.1"), "host: test".to_owned()];
    lines.push(format!("content-length: {}", body.len()));
    lines.extend(headers.iter().map(|line| (*line).to_owned()));
    format!("{}{END_OF_HEAD}{body}", lines.join("\r\n"))
}

/// Formats a search request of the caller `dispatch`.
pub(crate) fn search(body: &str) -> String {
    post(
        "/routes/hydrants/query",
        &["monsoonring-caller: dispatch"],
        body,
    )
}

/// Formats a non-idempotent request of the caller `dispatch` under this key.
pub(crate) fn execute(key: &str) -> String {
    post(
        "/routes/tickets/execute",
        &[
            "monsoonring-caller: dispatch",
            &format!("idempotency-key: {key}"),
            "monsoonring-send: 1",
        ],
        "1",
    )
}

/// Formats a `GET` request.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test{END_OF_HEAD}")
}
