//! Takes a caller's request from its head to its answer.

use super::answer::{self, Reply};
use super::exchange::{Arrived, Exchange, Head, Order};
use super::filter::{self, Deadline, Filter, Find, Identify, Key, Print, Read, Result};
use super::header::IDEMPOTENCY_KEY;
use super::ledger::{Entry, Ledger};
use super::problem::Problem;
use super::read;
use super::status;
use super::target::{Action, Target};
use crate::server::stop::{Stage, Watch};
use crate::server::{Handler, Standing};
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
const GRACE: Duration = Duration::from_secs(2);

/// The callers' side of the daemon.
pub(crate) struct Front {
    service: Arc<dyn Service>,
    ledger: Ledger,
    stop: Watch,
    body_timeout: Duration,
    exceeded: Counter,
    ids: Mutex<ChaCha12Rng>,
}

impl Front {
    /// Puts the filters before a service. `seed` makes the request ids the same in each run.
    pub(crate) fn new(
        service: Arc<dyn Service>,
        ledger: Ledger,
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
            ledger,
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
    fn id(&self) -> RequestId {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.random()
    }

    fn ready(&self) -> std::result::Result<(), &'static str> {
        if self.stop.stage() > Stage::Serving {
            return Err("stopping");
        }
        self.service.ready()
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        name: String,
        action: Action,
        standing: Standing,
    ) -> Response<Full<Bytes>> {
        let id = self.id();
        let arrived = Instant::now();
        let mut entry = self
            .ledger
            .open(id, read::trace(request.headers()), arrived);
        let repeated = action == Action::Execute && filter::may_be_repeated(request.headers());
        let answered = async {
            let exchange = self.arrive(id, arrived, request, (name, action), standing)?;
            let (call, order) = self.filter(exchange, &mut entry).await?;
            Ok(self.call(call, order).await)
        };
        let reply = answered.await.unwrap_or_else(|problem: Problem| {
            let problem = if repeated {
                problem.of_repeated_send()
            } else {
                problem
            };
            Reply::Problem(problem, None)
        });
        finish(id, reply, entry)
    }

    fn arrive(
        &self,
        id: RequestId,
        arrived: Instant,
        request: Request<Incoming>,
        (route, action): (String, Action),
        standing: Standing,
    ) -> Result<Exchange<Arrived>> {
        if standing == Standing::Excess {
            return Err(Problem::connections());
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
    async fn filter(
        &self,
        exchange: Exchange<Arrived>,
        entry: &mut Entry,
    ) -> Result<(Call, Order)> {
        let exchange = Identify.apply(exchange).await?;
        entry.class(exchange.stage.class);
        let exchange = Find.apply(exchange).await?;
        entry.route(&exchange.stage.route.name);
        let exchange = Deadline.apply(exchange).await?;
        let exchange = Key.apply(exchange).await?;
        let read = Read {
            timeout: self.body_timeout,
        };
        let exchange = read.apply(exchange).await?;
        let exchange = Print.apply(exchange).await?;
        Ok(exchange.into_call())
    }

    /// The end of the chain.
    async fn call(&self, call: Call, order: Order) -> Reply {
        let request = call.request;
        let last = (call.deadline + GRACE).into();
        match order {
            Order::Search => {
                let outcome = tokio::time::timeout_at(last, self.service.search(call)).await;
                answer::outcome(request, &outcome.unwrap_or(OVERDUE_SEARCH))
            }
            Order::Mint => match tokio::time::timeout_at(last, self.service.mint(call)).await {
                Ok(Ok(key)) => answer::issued(request, &key),
                Ok(Err(outcome)) => answer::outcome(request, &outcome),
                Err(_) => Reply::Problem(status::not_run(Reason::Deadline, None), None),
            },
            Order::Execute { key, send } => {
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
// stop would too; the requests that these outcomes end show as a duration of `GRACE` over the
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
        standing: Standing,
    ) -> Response<Full<Bytes>> {
        match Target::find(request.method(), request.uri().path()) {
            Ok(Target::Health) => plain(StatusCode::OK, "alive"),
            Ok(Target::Ready) => match self.ready() {
                Ok(()) => plain(StatusCode::OK, "ready"),
                Err(why) => plain(StatusCode::SERVICE_UNAVAILABLE, why),
            },
            Ok(Target::Route { name, action }) => self.route(request, name, action, standing).await,
            Err(problem) => {
                let id = self.id();
                let entry = self.ledger.open(id, None, Instant::now());
                finish(id, Reply::Problem(problem, None), entry)
            }
        }
    }

    fn exceeded(&self) {
        self.exceeded.inc();
    }

    fn answer_cut(&self) {
        self.ledger.answer_cut();
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
