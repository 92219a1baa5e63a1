//! A stub daemon with fixed answers, and a helper that runs the command.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Reaction of the stub to a request.
#[derive(Clone)]
pub(crate) enum Reaction {
    /// Answers with a status, headers and a body.
    Answer(u16, Vec<(&'static str, &'static str)>, String),
    /// Closes the connection once the request has been read.
    HangUp,
}

/// Returns an answer without headers.
pub(crate) fn answer(status: u16, body: &str) -> Reaction {
    Reaction::Answer(status, Vec::new(), body.to_owned())
}

/// A stub daemon that runs until it is dropped.
pub(crate) struct Stub {
    /// Listening address.
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    _runtime: Runtime,
}

impl Stub {
    /// Starts a stub with a reaction for each path; other paths get status 404.
    pub(crate) fn start(reactions: Vec<(&'static str, Reaction)>) -> Self {
        let runtime = Runtime::new().expect("create a runtime");
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        runtime.spawn(serve(listener, Arc::new(reactions), requests.clone()));
        Self {
            address,
            requests,
            _runtime: runtime,
        }
    }

    /// Returns the requests received so far, one per line.
    pub(crate) fn requests(&self) -> String {
        self.requests
            .lock()
            .expect("lock is not poisoned")
            .join("\n")
    }
}

type Reactions = Arc<Vec<(&'static str, Reaction)>>;
type Requests = Arc<Mutex<Vec<String>>>;

async fn serve(listener: TcpListener, reactions: Reactions, requests: Requests) {
    while let Ok((stream, _)) = listener.accept().await {
        let reactions = reactions.clone();
        let requests = requests.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| react(request, reactions.clone(), requests.clone()));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn react(
    request: Request<Incoming>,
    reactions: Reactions,
    requests: Requests,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let line = describe(request).await;
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    requests.lock().expect("lock is not poisoned").push(line);
    let reaction = reactions.iter().find(|(known, _)| *known == path);
    match reaction.map(|(_, reaction)| reaction.clone()) {
        Some(Reaction::Answer(status, headers, body)) => {
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(name, value);
            }
            Ok(response
                .body(Full::new(body.into()))
                .expect("valid response"))
        }
        Some(Reaction::HangUp) => Err(std::io::Error::other("hung up")),
        None => Ok(Response::builder()
            .status(404)
            .body(Full::default())
            .expect("valid response")),
    }
}

/// Formats a request: method, path, sorted headers except `host` and `content-length`, and body.
async fn describe(request: Request<Incoming>) -> String {
    let (head, body) = request.into_parts();
    let body = body.collect().await.expect("read the body").to_bytes();
    let mut headers: Vec<String> = head
        .headers
        .iter()
        .filter(|(name, _)| !["host", "content-length"].contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value.to_str().expect("header is text")))
        .collect();
    headers.sort();
    format!(
        "{} {} [{}] {}",
        head.method,
        head.uri,
        headers.join(" "),
        String::from_utf8_lossy(&body)
    )
}

/// Runs the command and returns its exit code, standard output and standard error as one text.
pub(crate) fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_monsoonring"))
        .args(arguments)
        .output()
        .expect("run the command");
    format!(
        "exit {}\n--- output\n{}--- notices\n{}",
        output.status.code().expect("exit code"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}
