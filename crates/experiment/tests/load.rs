//! The load generator against a daemon of canned answers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use monsoonring_configuration::Range;
use monsoonring_configuration::document::Kind;
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::sample::Outcome;
use monsoonring_experiment::verify::Data;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::Barrier;

const ANSWER: &str = r#"{"request":"0a","status":"partial","coverage":0.5,"index_version":7,
"missing":[{"start":50,"end":100}],"items":[{"key":0,"value":{"key":0,"version":7}}]}"#;
const PROBLEM: &str = r#"{"status":503,"outcome":"not_run","title":"overload"}"#;
const EXECUTED: &str = r#"{"request":"0b","status":"executed","value":1}"#;

struct Daemon {
    status: u16,
    body: &'static str,
    barrier: Barrier,
    executed: AtomicUsize,
}

impl Daemon {
    async fn start(status: u16, body: &'static str, together: usize) -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let daemon = Arc::new(Self {
            status,
            body,
            barrier: Barrier::new(together),
            executed: AtomicUsize::new(0),
        });
        tokio::spawn(serve(listener, daemon.clone()));
        (address, daemon)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = Response::builder();
        if request.uri().path().ends_with("/keys") {
            let response = response.status(201).header("idempotency-key", "k");
            return Ok(response.body(Full::default()).expect("a response"));
        }
        let has_key = request.headers().contains_key("idempotency-key");
        self.executed
            .fetch_add(usize::from(has_key), Ordering::SeqCst);
        self.barrier.wait().await;
        let response = response.status(self.status).body(Full::from(self.body));
        Ok(response.expect("a response"))
    }
}

async fn serve(listener: TcpListener, daemon: Arc<Daemon>) {
    while let Ok((stream, _)) = listener.accept().await {
        let daemon = daemon.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| daemon.answer(request));
            let io = TokioIo::new(stream);
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

fn plan(daemon: SocketAddr, kind: Kind) -> Plan {
    Plan {
        rate: 100.0,
        duration: Duration::from_millis(200),
        seed: 5,
        daemons: vec![daemon],
        route: "route".into(),
        kind,
        caller: "caller".into(),
        deadline: Duration::from_secs(20),
        data: Data {
            keys: Range::new(0, 100),
            item_every: 50,
        },
    }
}

fn planned() -> usize {
    let plan = plan(SocketAddr::from(([127, 0, 0, 1], 1)), Kind::Search);
    monsoonring_experiment::arrival::Arrivals::new(plan.rate, plan.seed)
        .take_while(|at| *at < plan.duration)
        .count()
}

// Symptom: a system that stalls looks fast, because few requests are sent while it stalls.
// Events: the daemon answers nothing until every request of the plan has arrived.
// Cause: a generator that waits for an answer before it sends the next request. Here it would wait
// until its patience ends, and get no answer.
#[tokio::test]
async fn run_sends_without_waiting_for_answers() {
    let (address, _daemon) = Daemon::start(200, ANSWER, planned()).await;
    let samples = load::run(&plan(address, Kind::Search)).await;
    assert_eq!(samples.len(), planned());
    assert!(
        samples
            .iter()
            .all(|sample| sample.outcome == Outcome::Partial)
    );
    let last = samples.iter().map(|sample| sample.intended).max();
    let first = samples.first().expect("a sample");
    assert!(first.latency + first.intended >= last.expect("a sample"));
}

#[test_case(200, ANSWER, Outcome::Partial ; "partial")]
#[test_case(503, PROBLEM, Outcome::NotRun ; "not run")]
#[test_case(200, "<html>", Outcome::Failed ; "no json")]
#[test_case(500, ANSWER, Outcome::Failed ; "answer under a status of failure")]
#[tokio::test]
async fn run_outcome(status: u16, body: &'static str, outcome: Outcome) {
    let (address, _daemon) = Daemon::start(status, body, 1).await;
    let samples = load::run(&plan(address, Kind::Search)).await;
    assert_eq!(samples.len(), planned());
    assert!(samples.iter().all(|sample| sample.outcome == outcome));
    assert!(samples.iter().all(|sample| !sample.untrue));
}

#[tokio::test]
async fn run_without_a_daemon_is_unreachable() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let samples = load::run(&plan(nobody, Kind::Search)).await;
    assert!(
        samples
            .iter()
            .all(|sample| sample.outcome == Outcome::Unreachable)
    );
}

#[test_case(200, EXECUTED, Outcome::Executed ; "executed")]
#[test_case(200, "<html>", Outcome::Unknown ; "answer that proves nothing")]
#[tokio::test]
async fn run_execute_sends_each_under_a_key(status: u16, body: &'static str, outcome: Outcome) {
    let (address, daemon) = Daemon::start(status, body, 1).await;
    let samples = load::run(&plan(address, Kind::Execute)).await;
    assert!(samples.iter().all(|sample| sample.outcome == outcome));
    assert_eq!(daemon.executed.load(Ordering::SeqCst), samples.len());
}
