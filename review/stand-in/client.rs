//! Clients. They keep connections, and repeat nothing.

use crate::http::{self, Message};
use crate::record::{Event, Record};
use std::io::{BufReader, Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request of a client.
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// A client with one connection, which it keeps.
pub struct Client {
    name: String,
    front: SocketAddr,
    record: Record,
    connection: Option<BufReader<TcpStream>>,
    sent: u64,
}

impl Client {
    pub fn new(name: String, front: SocketAddr, record: &Record) -> Self {
        Self {
            name,
            front,
            record: record.clone(),
            connection: None,
            sent: 0,
        }
    }

    /// Sends a request under a new id and waits for its answer. Returns the id and the answer.
    pub fn send(&mut self, request: &Request) -> (String, Option<Message>) {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let line = format!(
            "{} {} {:016x}",
            request.method,
            request.path,
            crate::backend::hash(&request.body)
        );
        self.record.add(Event::Sent {
            id: id.clone(),
            line,
        });
        let answer = self.exchange(&id, request).ok();
        let status = answer.as_ref().map_or(0, Message::status);
        self.record.add(Event::Answered {
            id: id.clone(),
            status,
        });
        let closes = answer
            .as_ref()
            .and_then(|answer| answer.header("connection"))
            == Some("close");
        if answer.is_none() || closes {
            self.connection = None;
        }
        (id, answer)
    }

    fn exchange(&mut self, id: &str, request: &Request) -> Result<Message> {
        let deadline = request.deadline.as_millis().to_string();
        let headers = [
            ("Host", request.host),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &deadline),
        ];
        let first_line = format!("{} {} HTTP/1.1", request.method, request.path);
        let bytes = http::encode(&first_line, &headers, &request.body);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => connect(self.front, request.deadline)?,
        };
        http::write(&mut connection, &bytes)?;
        let answer = http::read(&mut connection)?;
        self.connection = Some(connection);
        answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }
}

fn connect(address: SocketAddr, deadline: Duration) -> Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline + Duration::from_millis(500)))?;
    Ok(BufReader::new(stream))
}

/// Sends bytes on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Result<Message> {
    let mut connection = connect(address, limit)?;
    http::write(&mut connection, bytes)?;
    let answer = http::read(&mut connection)?;
    answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}
