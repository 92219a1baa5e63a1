//! Handles callers' requests: filters, service call and response.

use super::answer::{self, Reply};
use super::exchange::{Arrived, Exchange, Head, Operation};
use super::filter::{
    self, ComputeFingerprint, Filter, FindRoute, Identify, ReadBody, ReadDeadline, ReadKey, Result,
};
use super::header::IDEMPOTENCY_KEY;
use super::problem::Problem;
use super::read;
use super::request_log::{Entry, RequestLog};
use super::status;
use super::target::{Action, Target};
use crate::server::stop::{Stage, Watch};
use crate::server::{Handler, LimitStatus};
use crate::service::{Call, Service};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use monsoonring_decision::RequestId;
use monsoonring_decision::outcome::{Outcome, Reason};
use prometheus_client::metrics::counter::Counter;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after the deadline that the service has to report the outcome.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Request handler for callers.
pub(crate) struct Front {
    service: Arc<dyn Service>,
    request_log: RequestLog,
    stop: Watch,
    body_timeout: Duration,
    excess_connections: Counter,
    ids: Mutex<ChaCha12Rng>,
}

impl Front {
    /// Creates the handler for a service. `seed` makes the request ids reproducible.
    pub(crate) fn new(
        service: Arc<dyn Service>,
        request_log: RequestLog,
        stop: Watch,
        body_timeout: Duration,
        excess_connections: Counter,
        seed: Option<u64>,
    ) -> Self {
        let ids = match seed {
            Some(seed) => ChaCha12Rng::seed_from_u64(seed),
            None => ChaCha12Rng::from_rng(&mut rand::rng()),
        };
        Self {
            service,
            request_log,
            stop,
            body_timeout,
            excess_connections,
            ids: Mutex::new(ids),
        }
    }

    /// Generates a request id.
    ///
    /// The trace id of `traceparent` can't be used: a caller may send several requests under one
    /// trace, and daemons that identify requests by id would mix up their answers. It is logged
    /// beside the request id.
    fn new_request_id(&self) -> RequestId {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.random()
    }

    fn check_ready(&self) -> std::result::Result<(), &'static str> {
        if self.stop.stage() > Stage::Serving {
            return Err("stopping");
        }
        self.service.check_ready()
    }

    async fn serve_route(
        &self,
        request: Request<Incoming>,
        name: String,
        action: Action,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        let id = self.new_request_id();
        let arrived = Instant::now();
        let mut entry = self
            .request_log
            .open(id, read::trace_id(request.headers()), arrived);
        let repeated = action == Action::Execute && filter::may_be_repeated(request.headers());
        let processing = async {
            let exchange =
                self.open_exchange(id, arrived, request, (name, action), limit_status)?;
            let (call, operation) = self.apply_filters(exchange, &mut entry).await?;
            Ok(self.dispatch(call, operation).await)
        };
        let reply = processing.await.unwrap_or_else(|problem: Problem| {
            let problem = if repeated {
                problem.of_repeated_send()
            } else {
                problem
            };
            Reply::Problem(problem, None)
        });
        respond(id, reply, entry)
    }

    fn open_exchange(
        &self,
        id: RequestId,
        arrived: Instant,
        request: Request<Incoming>,
        (route, action): (String, Action),
        limit_status: LimitStatus,
    ) -> Result<Exchange<Arrived>> {
        if limit_status == LimitStatus::Exceeded {
            return Err(Problem::too_many_connections());
        }
        let configuration = self.service.configuration().ok_or_else(Problem::starting)?;
        let (mut parts, body) = request.into_parts();
        let intake = parts.extensions.remove().ok_or_else(Problem::starting)?;
        let head = Head {
            request: id,
            arrived,
            route,
            action,
            headers: parts.headers,
            intake,
            configuration,
        };
        Ok(Exchange {
            head,
            stage: Arrived,
            body,
        })
    }

    /// Applies the filters in order.
    async fn apply_filters(
        &self,
        exchange: Exchange<Arrived>,
        entry: &mut Entry,
    ) -> Result<(Call, Operation)> {
        let exchange = Identify.apply(exchange).await?;
        entry.set_class(exchange.stage.class);
        let exchange = FindRoute.apply(exchange).await?;
        entry.set_route(&exchange.stage.route.name);
        let exchange = ReadDeadline.apply(exchange).await?;
        let exchange = ReadKey.apply(exchange).await?;
        let read = ReadBody {
            timeout: self.body_timeout,
        };
        let exchange = read.apply(exchange).await?;
        let exchange = ComputeFingerprint.apply(exchange).await?;
        Ok(exchange.into_call())
    }

    /// Calls the service and writes its outcome.
    async fn dispatch(&self, call: Call, operation: Operation) -> Reply {
        let request = call.request;
        let latest = (call.deadline + ANSWER_GRACE).into();
        match operation {
            Operation::Search => {
                let outcome = self.wait(latest, self.service.search(call)).await;
                answer::outcome(request, &outcome.unwrap_or_else(search_without_outcome))
            }
            Operation::Mint => match self.wait(latest, self.service.mint(call)).await {
                Ok(Ok(key)) => answer::issued(request, &key),
                Ok(Err(outcome)) => answer::outcome(request, &outcome),
                Err(reason) => Reply::Problem(status::not_run(reason, None), None),
            },
            Operation::Execute { key, send } => {
                let execution = self.service.execute(call, key, send);
                let execution = self.wait(latest, execution).await;
                answer::execution(
                    request,
                    &execution.unwrap_or_else(|reason| Outcome::Unknown { reason }.into()),
                )
            }
        }
    }

    /// Waits for the service. Returns the reason if it has no outcome by `latest`, or when a stop
    /// has to answer the remaining requests; without these limits the caller, and a stop, could
    /// wait forever.
    async fn wait<T>(
        &self,
        latest: tokio::time::Instant,
        outcome: impl Future<Output = T>,
    ) -> std::result::Result<T, Reason> {
        let mut stop = self.stop.clone();
        tokio::select! {
            biased;
            outcome = tokio::time::timeout_at(latest, outcome) => {
                outcome.map_err(|_| Reason::Deadline)
            }
            () = stop.reached(Stage::Ending) => Err(Reason::Stopping),
        }
    }
}

/// Returns the outcome of a search whose result is not known; it may be sent again.
fn search_without_outcome(reason: Reason) -> Outcome {
    Outcome::Failed {
        reason,
        retry_after: None,
    }
}

impl Handler for Front {
    async fn handle(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        match Target::parse(request.method(), request.uri().path()) {
            Ok(Target::Health) => plain(StatusCode::OK, "alive"),
            Ok(Target::Ready) => match self.check_ready() {
                Ok(()) => plain(StatusCode::OK, "ready"),
                Err(reason) => plain(StatusCode::SERVICE_UNAVAILABLE, reason),
            },
            Ok(Target::Route { name, action }) => {
                self.serve_route(request, name, action, limit_status).await
            }
            Err(problem) => {
                let id = self.new_request_id();
                let entry = self.request_log.open(id, None, Instant::now());
                respond(id, Reply::Problem(problem, None), entry)
            }
        }
    }

    fn limit_exceeded(&self) {
        self.excess_connections.inc();
    }

    fn response_cut(&self) {
        self.request_log.response_cut();
    }
}

fn respond(id: RequestId, reply: Reply, entry: Entry) -> Response<Full<Bytes>> {
    match reply {
        Reply::Answer(response, ended, coverage) => {
            entry.record_answer(ended, coverage);
            response
        }
        Reply::Problem(problem, key) => {
            let mut response = problem.response(id);
            if let Some(key) = key {
                response.headers_mut().insert(IDEMPOTENCY_KEY, key);
            }
            entry.record_problem(&problem);
            response
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
