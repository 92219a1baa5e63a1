//! A daemon of canned answers, and a run of the built command against it.

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

/// What the stub does with a request for a path.
#[derive(Clone)]
pub(crate) enum Reaction {
    /// Answers with a status, headers and a body.
    Answer(u16, Vec<(&'static str, &'static str)>, String),
    /// Closes the connection once the request has been read.
    HangUp,
}

/// An answer without headers.
pub(crate) fn answer(status: u16, body: &str) -> Reaction {
    Reaction::Answer(status, Vec::new(), body.to_owned())
}

/// The stub, which lives as long as this value.
pub(crate) struct Stub {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    _runtime: Runtime,
}

impl Stub {
    /// Starts a stub with a reaction to each path.
    pub(crate) fn start(reactions: Vec<(&'static str, Reaction)>) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        runtime.spawn(serve(listener, Arc::new(reactions), seen.clone()));
        Self {
            address,
            seen,
            _runtime: runtime,
        }
    }

    /// Returns the requests seen so far, a line each.
    pub(crate) fn seen(&self) -> String {
        self.seen.lock().expect("no poison").join("\n")
    }
}

type Reactions = Arc<Vec<(&'static str, Reaction)>>;
type Seen = Arc<Mutex<Vec<String>>>;

async fn serve(listener: TcpListener, reactions: Reactions, seen: Seen) {
    while let Ok((stream, _)) = listener.accept().await {
        let reactions = reactions.clone();
        let seen = seen.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| react(request, reactions.clone(), seen.clone()));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn react(
    request: Request<Incoming>,
    reactions: Reactions,
    seen: Seen,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let line = describe(request).await;
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    seen.lock().expect("no poison").push(line);
    let reaction = reactions.iter().find(|(known, _)| *known == path);
    match reaction.map(|(_, reaction)| reaction.clone()) {
        Some(Reaction::Answer(status, headers, body)) => {
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(name, value);
            }
            Ok(response.body(Full::new(body.into())).expect("a response"))
        }
        Some(Reaction::HangUp) => Err(std::io::Error::other("hung up")),
        None => Ok(Response::builder()
            .status(404)
            .body(Full::default())
            .expect("a response")),
    }
}

/// Method, path, the headers of the protocol in order of name, and body.
async fn describe(request: Request<Incoming>) -> String {
    let (head, body) = request.into_parts();
    let body = body.collect().await.expect("a body").to_bytes();
    let mut headers: Vec<String> = head
        .headers
        .iter()
        .filter(|(name, _)| !["host", "content-length"].contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value.to_str().expect("text")))
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

/// Runs the built command and returns its exit code, output and notices as one text.
pub(crate) fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_monsoonring"))
        .args(arguments)
        .output()
        .expect("the command runs");
    format!(
        "exit {}\n--- output\n{}--- notices\n{}",
        output.status.code().expect("a code"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}
