//! The load generator.
//!
//! A dedicated thread sleeps until each intended send time and spawns the request on the runtime,
//! whether or not earlier requests were answered. The runtime's timer is too coarse for this: its
//! resolution of a millisecond would add to every latency. Each sample records the remaining lag.

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

/// Load to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests per second.
    pub rate: f64,
    /// Duration for which requests are sent.
    pub duration: Duration,
    /// Seed of the intended send times.
    pub seed: u64,
    /// Caller addresses of the daemons, used round-robin.
    pub daemons: Vec<SocketAddr>,
    /// Name of the route.
    pub route: RouteId,
    /// Whether the route searches or executes.
    pub kind: Kind,
    /// Name of the caller.
    pub caller: CallerId,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Contents of a complete answer.
    pub data: Data,
}

/// Sends the planned requests and returns their samples in send order.
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
            untrue: !verify::is_correct(&answer, &self.plan.data),
            reason: answer.reason,
        }
    }

    async fn query(&self, body: String) -> Answer {
        let plan = &self.plan;
        let answer = self
            .caller
            .query(self.daemon, &plan.route, body, plan.deadline);
        answer.await
    }

    /// Gets an idempotency key and sends the request with it. Without a key, the request is not sent.
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
