//! Takes a caller's request from its head to its answer.

use super::answer::{self, Reply};
use super::exchange::{Arrived, Exchange, Head, Operation};
use super::filter::{
    self, ComputeFingerprint, Deadline, Filter, FindRoute, Identify, Key, ReadBody, Result,
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

/// Time after its deadline that the service gets to say how a request ended.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// The callers' side of the daemon.
pub(crate) struct Front {
    service: Arc<dyn Service>,
    request_log: RequestLog,
    stop: Watch,
    body_timeout: Duration,
    exceeded: Counter,
    ids: Mutex<ChaCha12Rng>,
}

impl Front {
    /// Puts the filters before a service. `seed` makes the request ids the same in each run.
    pub(crate) fn new(
        service: Arc<dyn Service>,
        request_log: RequestLog,
        stop: Watch,
        body_timeout: Duration,
        exceeded: Counter,
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
            exceeded,
            ids: Mutex::new(ids),
        }
    }

    /// Makes the id of a request.
    ///
    /// The trace id of `traceparent` does not serve as one: a caller that asks two questions for
    /// one dispatch sends both under one trace, and daemons that know requests by their ids would
    /// give the answer of the one to the other. It is logged beside the id instead.
    fn new_request_id(&self) -> RequestId {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.random()
    }

    fn ready(&self) -> std::result::Result<(), &'static str> {
        if self.stop.stage() > Stage::Serving {
            return Err("stopping");
        }
        self.service.ready()
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
        let filtered = async {
            let exchange =
                self.open_exchange(id, arrived, request, (name, action), limit_status)?;
            let (call, operation) = self.apply_filters(exchange, &mut entry).await?;
            Ok(self.dispatch(call, operation).await)
        };
        let reply = filtered.await.unwrap_or_else(|problem: Problem| {
            let problem = if repeated {
                problem.of_repeated_send()
            } else {
                problem
            };
            Reply::Problem(problem, None)
        });
        finish(id, reply, entry)
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
        let configuration = self.service.document().ok_or_else(Problem::starting)?;
        let (parts, body) = request.into_parts();
        let head = Head {
            request: id,
            arrived,
            route,
            action,
            headers: parts.headers,
            configuration,
        };
        Ok(Exchange {
            head,
            stage: Arrived,
            body,
        })
    }

    /// The chain of filters.
    async fn apply_filters(
        &self,
        exchange: Exchange<Arrived>,
        entry: &mut Entry,
    ) -> Result<(Call, Operation)> {
        let exchange = Identify.apply(exchange).await?;
        entry.set_class(exchange.stage.class);
        let exchange = FindRoute.apply(exchange).await?;
        entry.set_route(&exchange.stage.route.name);
        let exchange = Deadline.apply(exchange).await?;
        let exchange = Key.apply(exchange).await?;
        let read = ReadBody {
            timeout: self.body_timeout,
        };
        let exchange = read.apply(exchange).await?;
        let exchange = ComputeFingerprint.apply(exchange).await?;
        Ok(exchange.into_call())
    }

    /// The end of the chain.
    async fn dispatch(&self, call: Call, operation: Operation) -> Reply {
        let request = call.request;
        let last = (call.deadline + ANSWER_GRACE).into();
        match operation {
            Operation::Search => {
                let outcome = tokio::time::timeout_at(last, self.service.search(call)).await;
                answer::outcome(request, &outcome.unwrap_or(OVERDUE_SEARCH))
            }
            Operation::Mint => match tokio::time::timeout_at(last, self.service.mint(call)).await {
                Ok(Ok(key)) => answer::issued(request, &key),
                Ok(Err(outcome)) => answer::outcome(request, &outcome),
                Err(_) => Reply::Problem(status::not_run(Reason::Deadline, None), None),
            },
            Operation::Execute { key, send } => {
                let execution = self.service.execute(call, key, send);
                let execution = tokio::time::timeout_at(last, execution).await;
                answer::execution(
                    request,
                    &execution.unwrap_or_else(|_| OVERDUE_EXECUTION.into()),
                )
            }
        }
    }
}

// The service answers by the deadline. Should it ever not, its caller would wait for good, and a
// stop would too; the requests that these outcomes end show as a duration of `ANSWER_GRACE` over the
// deadline. A search can be said to have failed, a non-idempotent request may have run.
const OVERDUE_SEARCH: Outcome = Outcome::Failed {
    reason: Reason::Deadline,
    retry_after: None,
};
const OVERDUE_EXECUTION: Outcome = Outcome::Unknown {
    reason: Reason::Deadline,
};

impl Handler for Front {
    async fn handle(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        match Target::find(request.method(), request.uri().path()) {
            Ok(Target::Health) => plain(StatusCode::OK, "alive"),
            Ok(Target::Ready) => match self.ready() {
                Ok(()) => plain(StatusCode::OK, "ready"),
                Err(reason) => plain(StatusCode::SERVICE_UNAVAILABLE, reason),
            },
            Ok(Target::Route { name, action }) => {
                self.serve_route(request, name, action, limit_status).await
            }
            Err(problem) => {
                let id = self.new_request_id();
                let entry = self.request_log.open(id, None, Instant::now());
                finish(id, Reply::Problem(problem, None), entry)
            }
        }
    }

    fn exceeded(&self) {
        self.exceeded.inc();
    }

    fn answer_cut(&self) {
        self.request_log.answer_cut();
    }
}

fn finish(id: RequestId, reply: Reply, entry: Entry) -> Response<Full<Bytes>> {
    match reply {
        Reply::Answer(response, ended, coverage) => {
            entry.answered(ended, coverage);
            response
        }
        Reply::Problem(problem, key) => {
            let mut response = problem.response(id);
            if let Some(key) = key {
                response.headers_mut().insert(IDEMPOTENCY_KEY, key);
            }
            entry.refused(&problem);
            response
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
