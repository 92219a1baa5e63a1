//! The load generator.
//!
//! A thread of its own sleeps until each intended time and hands the request to the runtime at once,
//! whether or not earlier ones were answered. The runtime's own timer has a grain of a millisecond,
//! which would show in every latency; the thread's sleep is some tens of microseconds late, and the
//! lag is recorded.

use crate::arrival::Arrivals;
use crate::caller::{Answer, Caller};
use crate::sample::Sample;
use crate::verify::{self, Data};
use monsoonring_configuration::document::Kind;
use monsoonring_configuration::id::{CallerId, RouteId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// What is sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Seed of the intended times.
    pub seed: u64,
    /// Caller addresses of the daemons, used in turn.
    pub daemons: Vec<SocketAddr>,
    /// Name of the route.
    pub route: RouteId,
    /// Whether the route searches or executes.
    pub kind: Kind,
    /// Name of the caller.
    pub caller: CallerId,
    /// Time in which each answer is wanted.
    pub deadline: Duration,
    /// What a whole answer holds.
    pub data: Data,
}

/// Sends the planned requests and returns what became of each, in the order of sending.
pub async fn run(plan: &Plan) -> Vec<Sample> {
    let plan = Arc::new(plan.clone());
    let caller = Caller::new(plan.caller.clone());
    let runtime = Handle::current();
    let sending = tokio::task::spawn_blocking(move || send_all(&plan, &caller, &runtime));
    let mut samples = Vec::new();
    for request in sending.await.unwrap_or_default() {
        samples.extend(request.await);
    }
    samples
}

fn send_all(plan: &Arc<Plan>, caller: &Caller, runtime: &Handle) -> Vec<JoinHandle<Sample>> {
    let start = Instant::now();
    let times = Arrivals::new(plan.rate, plan.seed).take_while(|at| *at < plan.duration);
    let mut requests = Vec::new();
    for (number, (intended, daemon)) in times.zip(plan.daemons.iter().cycle()).enumerate() {
        std::thread::sleep(intended.saturating_sub(start.elapsed()));
        let request = Request {
            plan: plan.clone(),
            caller: caller.clone(),
            daemon: *daemon,
            number,
            start,
            intended,
        };
        requests.push(runtime.spawn(request.send()));
    }
    requests
}

struct Request {
    plan: Arc<Plan>,
    caller: Caller,
    daemon: SocketAddr,
    number: usize,
    start: Instant,
    intended: Duration,
}

impl Request {
    async fn send(self) -> Sample {
        let lag = self.start.elapsed().saturating_sub(self.intended);
        let body = format!("{{\"number\":{}}}", self.number);
        let answer = match self.plan.kind {
            Kind::Search => self.query(body).await,
            Kind::Execute => self.execute(body).await,
        };
        let latency = self.start.elapsed().saturating_sub(self.intended);
        Sample {
            intended: self.intended,
            lag,
            latency,
            outcome: answer.outcome,
            coverage: (self.plan.kind == Kind::Search).then_some(answer.coverage),
            index_version: answer.index_version,
            untrue: !verify::is_true(&answer, &self.plan.data),
            reason: answer.why,
        }
    }

    async fn query(&self, body: String) -> Answer {
        let plan = &self.plan;
        let answer = self
            .caller
            .query(self.daemon, &plan.route, body, plan.deadline);
        answer.await
    }

    /// Gets a key and sends the request under it; without a key it isn't sent and did not run.
    async fn execute(&self, body: String) -> Answer {
        let plan = &self.plan;
        let key = self.caller.key(self.daemon, &plan.route, plan.deadline);
        let key = match key.await {
            Ok(key) => key,
            Err(error) => return Answer::not_run(&error),
        };
        let answer = self
            .caller
            .execute(self.daemon, &plan.route, &key, body, plan.deadline);
        answer.await
    }
}
