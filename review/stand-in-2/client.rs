//! Clients.

use crate::http::{self, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub id: String,
    pub deadline: Duration,
    pub body: String,
}

impl Request {
    pub fn encode(&self) -> Vec<u8> {
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{}",
            self.method,
            self.target,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.body.len(),
            self.body
        );
        text.into_bytes()
    }
}

/// Sends a request on a new connection. Returns the answer, or why there was none.
pub fn send(front: SocketAddr, request: &Request, record: &Record) -> Result<Message, String> {
    record.line(&format!(
        "client sends {} {} id {}",
        request.method, request.target, request.id
    ));
    let answer = exchange(front, request);
    record.line(&match &answer {
        Ok(answer) => format!("client gets {} for id {}", answer.first, request.id),
        Err(error) => format!("client gets no answer for id {}: {error}", request.id),
    });
    answer
}

fn exchange(front: SocketAddr, request: &Request) -> Result<Message, String> {
    let text = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let patience = request.deadline + Duration::from_millis(500);
    stream.set_read_timeout(Some(patience)).map_err(text)?;
    let mut writer = stream.try_clone().map_err(text)?;
    writer.write_all(&request.encode()).map_err(text)?;
    let answer = http::read(&mut BufReader::new(stream)).map_err(text)?;
    answer.ok_or_else(|| "the connection was closed".to_owned())
}

/// Returns the status of a plain GET request, or `None` without an answer.
pub fn get(address: SocketAddr, target: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    let mut writer = stream.try_clone().ok()?;
    let text = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    writer.write_all(text.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
