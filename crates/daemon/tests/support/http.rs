//! A caller that sends and sees bytes, so that it can send what no library would.

use super::within;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const END_OF_HEAD: &str = "\r\n\r\n";

/// A response, or what there was of it when the connection ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Response {
    /// The value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }

    /// The body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Last part of the problem's type and the outcome that it tells.
    pub(crate) fn problem(&self) -> (String, String) {
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
        let kind = text("type").replace("urn:monsoonring:problem:", "");
        (kind, text("outcome"))
    }

    /// Status line, headers but for the date, and body, for golden files.
    pub(crate) fn golden(&self) -> String {
        let head: Vec<&str> = self
            .head
            .lines()
            .filter(|line| !line.starts_with("date:"))
            .collect();
        format!("{}\n\n{}\n", head.join("\n"), self.body)
    }
}

/// One connection.
pub(crate) struct Client(pub(crate) TcpStream);

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.expect("it listens"))
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.expect("it reads");
    }

    /// Reads one response; one with status 0 where the connection ended instead.
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

/// Sends a request on a connection of its own.
pub(crate) async fn exchange(address: SocketAddr, request: &str) -> Response {
    Client::connect(address).await.exchange(request).await
}

/// The bytes of a `POST` with these header lines.
pub(crate) fn post(path: &str, headers: &[&str], body: &str) -> String {
    let mut lines = vec![format!("POST {path} HTTP/1.1"), "host: test".to_owned()];
    lines.push(format!("content-length: {}", body.len()));
    lines.extend(headers.iter().map(|line| (*line).to_owned()));
    format!("{}{END_OF_HEAD}{body}", lines.join("\r\n"))
}

/// The bytes of a search by a dispatcher.
pub(crate) fn search(body: &str) -> String {
    post(
        "/routes/hydrants/query",
        &["monsoonring-caller: dispatch"],
        body,
    )
}

/// The bytes of a `GET`.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test{END_OF_HEAD}")
}
