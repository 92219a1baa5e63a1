//! A client's request from its head to its answer.

mod handing;

use super::content::{Forward, Opaque, Whole};
use super::relay::{self, Only, Relay};
use super::state::State;
use super::{Ask, Ingress};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::metrics::label::Ended;
use crate::server::{Handler, Standing};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode};
use monsoonring_decision::content::Content;
use monsoonring_decision::gateway::Table;
use monsoonring_decision::gateway::table::{Route, Target};
use monsoonring_decision::home::event::{self, Scope};
use monsoonring_decision::outcome::{Answer, Outcome, Reason};
use monsoonring_decision::query::coverage::KeySet;
use monsoonring_decision::query::greatest::greatest;
use monsoonring_decision::{Fingerprint, RequestId};
use rand::Rng;
use slog::{Logger, info};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

/// When to come back to a host that has no configuration yet: about the time that it takes to read
/// one.
const NO_CONFIGURATION: Duration = Duration::from_millis(300);

/// When to come back where nothing was learned of when it would help.
const COME_BACK: Duration = Duration::from_millis(200);

/// Time that a request's body may take where no deadline is given.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How a home says that a request ended.
type Ending = Outcome<<Opaque as Content>::Value>;

/// A response, and what the log says of how it came about.
struct Reply {
    response: Response<Full<Bytes>>,
    ended: Ended,
    why: String,
}

/// Forwards clients' requests.
pub(super) struct Front<I> {
    pub(super) ingress: Arc<I>,
    pub(super) state: Arc<State>,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// What is done with searches that another host could fan out.
    pub(super) passing: Passing,
    /// The hosts that could.
    pub(super) relay: Arc<Relay>,
    /// How long answers take on their way to callers of this host.
    pub(super) on_the_way: Duration,
}

/// How long an answer takes on its way to the caller of another host, which handed the search on.
#[derive(Clone, Copy, Debug)]
pub(super) struct OnTheWay(pub(super) Duration);

/// What is done with a search that another host could fan out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Passing {
    /// It is handed to one, if there is one.
    On,
    /// It was handed to this host, which answers or declines.
    Back,
}

impl<I: Ingress> Handler for Front<I> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        standing: Standing,
    ) -> Response<Full<Bytes>> {
        self.answer(request, standing).await
    }
}

impl<I: Ingress> Front<I> {
    /// Answers a request, by another host or by this one.
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        standing: Standing,
    ) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let ask = match self.ingress.ask(&head) {
            Ok(ask) => ask,
            Err(why) => return self.malformed(why),
        };
        if standing == Standing::Excess {
            return self.not_run(&ask, "too many connections", COME_BACK);
        }
        let Some(view) = self.state.view() else {
            return self.not_run(&ask, "no configuration yet", NO_CONFIGURATION);
        };
        let Some(route) = view.table.find(&ask.host, head.uri.path()).cloned() else {
            return self.unknown(&ask, &view.table, head.uri.path());
        };
        let body = match self.read(body, &view.table, &ask).await {
            Ok(body) => body,
            Err(status) => return self.unread(&ask, &route, status),
        };
        let asking = Asking {
            ask: &ask,
            route: &route,
            version: view.table.version,
            arrived,
        };
        if let Some(response) = self.pass_on(&head, &body, &asking).await {
            return response;
        }
        let shards = self.state.splits.next(&route);
        let Some(home) = shards.as_ref().and_then(|shards| view.homes.get(shards)) else {
            return self.not_run(&ask, "route without a service", COME_BACK);
        };
        let id: RequestId = rand::rng().random();
        let told = head.extensions.get::<OnTheWay>();
        let on_the_way = told.map_or(self.on_the_way, |told| told.0);
        let only = head.extensions.get::<Only>().map(|only| only.0.clone());
        let elsewhere = match only {
            Some(_) => None,
            None => shards.as_ref().and_then(|set| view.elsewhere.get(set)),
        };
        let sharing = elsewhere.and_then(|elsewhere| self.relay.share(elsewhere));
        let sharing = sharing.map(|sharing| (sharing, head.clone(), body.clone()));
        let forward = Forward {
            is_merged: matches!(route.target, Target::FanOut(_)),
            ..self.ingress.forward(head, &ask, body)
        };
        let asked = event::Request {
            scope: Scope {
                only: only.clone(),
                delegated: (sharing.as_ref())
                    .map(|(sharing, ..)| sharing.keys().clone())
                    .unwrap_or_default(),
            },
            ..self.asked(id, &asking, forward, on_the_way, only.as_ref())
        };
        let mut line = Line {
            log: &self.log,
            metrics: &self.metrics,
            id,
            asking: &asking,
            ended: false,
        };
        let outcome = match sharing {
            None => home.run(asked).await,
            Some((sharing, head, body)) => {
                let part = self.ask_part(sharing, head, body, &asking, on_the_way);
                handing::run_beside(home, asked, part).await
            }
        };
        let reply = match (&self.passing, &outcome) {
            (Passing::Back, Outcome::NotRun { reason, .. }) if is_own(*reason) => Reply {
                response: relay::declined("not able to"),
                ended: Ended::NotRun,
                why: format!("declined: {reason}"),
            },
            _ => self.reply(outcome, &route, only.as_ref()),
        };
        let status = reply.response.status().as_u16();
        line.write(reply.ended, Some(status), &reply.why);
        reply.response
    }
}

/// Tells whether a search was not run for a reason that another host may not have.
fn is_own(reason: Reason) -> bool {
    matches!(reason, Reason::Unavailable | Reason::Stopping)
}

/// A request on its way to an answer.
struct Asking<'a> {
    ask: &'a Ask,
    route: &'a Route,
    version: u64,
    arrived: Instant,
}

impl Asking<'_> {
    /// Returns the time from its arrival within which the request is to be answered.
    fn patience(&self) -> Duration {
        let timeout = self.route.timeout;
        self.ask.patience.unwrap_or(timeout).min(timeout)
    }
}

impl<I: Ingress> Front<I> {
    /// Reads a body whole, within the limits in force.
    async fn read(&self, body: Incoming, table: &Table, ask: &Ask) -> Result<Bytes, StatusCode> {
        let limit = ask.patience.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
        let whole = Limited::new(body, table.limits.body_bytes).collect();
        match timeout(limit, whole).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
            Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        }
    }

    fn asked(
        &self,
        id: RequestId,
        asking: &Asking<'_>,
        forward: Forward,
        on_the_way: Duration,
        only: Option<&KeySet>,
    ) -> event::Request<Opaque> {
        let route = asking.route;
        let terms = route.terms(on_the_way);
        let terms = match (&route.target, only) {
            (Target::FanOut(gather), Some(only)) => {
                terms.for_groups(only.len(), gather.shards.len())
            }
            _ => terms,
        };
        event::Request {
            id,
            caller: route.host.clone().into(),
            class: route.class(),
            deadline: self.clock.time(asking.arrived + asking.patience()),
            fingerprint: fingerprint(&forward),
            body: Arc::new(forward),
            execute_key: None,
            params: Some(terms),
            scope: Scope::default(),
        }
    }

    /// Writes how a request ended.
    fn reply(&self, outcome: Ending, route: &Route, only: Option<&KeySet>) -> Reply {
        match outcome {
            Outcome::Answered(answer) => self.answered(answer, route, only),
            Outcome::Executed(whole) => Reply {
                why: format!("status {}", whole.status.as_u16()),
                response: self.ingress.whole(whole),
                ended: Ended::Complete,
            },
            Outcome::NotRun {
                reason,
                retry_after,
            } => Reply {
                response: self.come_back(retry_after.unwrap_or(COME_BACK)),
                ended: Ended::NotRun,
                why: reason.to_string(),
            },
            Outcome::Failed { reason, .. } => Reply {
                response: plain(failed(reason)),
                ended: Ended::Failed,
                why: reason.to_string(),
            },
            Outcome::Unknown { reason } => Reply {
                response: plain(failed(reason)),
                ended: Ended::Unknown,
                why: reason.to_string(),
            },
        }
    }

    fn answered(&self, answer: Answer<Whole>, route: &Route, only: Option<&KeySet>) -> Reply {
        let lacking: KeySet = answer.missing.iter().copied().collect();
        let missing = lacking.len() as usize;
        let version = answer.index_version;
        let ended = match missing {
            0 => Ended::Complete,
            _ => Ended::Partial,
        };
        let mut parts: Vec<Whole> = answer.items.into_iter().map(|item| item.value).collect();
        let (response, why) = match &route.target {
            Target::FanOut(gather) => {
                let bodies = parts.iter().map(|part| &part.body[..]);
                let records = greatest(bodies, self.ingress.record_bytes(), gather.max_records);
                let asked = only.map_or(gather.shards.len(), |only| only.len() as usize);
                let held = asked.saturating_sub(missing);
                let why = format!("{held} parts, {missing} missing, set {version}");
                let mut response = self.ingress.merged(&parts, missing, records.into());
                if let Some(only) = only {
                    let covered = only.difference(&lacking);
                    relay::set_covered(response.headers_mut(), &covered, version);
                }
                (response, why)
            }
            Target::Split(_) => match parts.pop() {
                Some(whole) => {
                    let why = format!("status {}", whole.status.as_u16());
                    (self.ingress.whole(whole), why)
                }
                None => (plain(StatusCode::BAD_GATEWAY), "no answer".to_owned()),
            },
        };
        Reply {
            response,
            ended,
            why,
        }
    }

    fn come_back(&self, time: Duration) -> Response<Full<Bytes>> {
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
        let value = self.ingress.retry_after(time);
        response.headers_mut().insert(RETRY_AFTER, value);
        response
    }

    fn malformed(&self, why: &'static str) -> Response<Full<Bytes>> {
        self.metrics.front.refused(None, None, "malformed");
        info!(self.log, "request"; "outcome" => "malformed", "why" => why);
        plain(StatusCode::BAD_REQUEST)
    }

    fn not_run(&self, ask: &Ask, why: &'static str, come_back: Duration) -> Response<Full<Bytes>> {
        self.metrics.front.refused(None, None, why);
        info!(self.log, "request"; "id" => &ask.id, "outcome" => Ended::NotRun.to_string(),
            "why" => why, "come_back_ms" => come_back.as_millis());
        self.come_back(come_back)
    }

    fn unknown(&self, ask: &Ask, table: &Table, path: &str) -> Response<Full<Bytes>> {
        self.metrics.front.refused(None, None, "no route");
        info!(self.log, "request"; "id" => &ask.id, "outcome" => "no route", "asked_host" => &ask.host,
            "path" => path, "configuration" => table.version);
        plain(StatusCode::NOT_FOUND)
    }

    fn unread(&self, ask: &Ask, route: &Route, status: StatusCode) -> Response<Full<Bytes>> {
        let front = &self.metrics.front;
        front.refused(Some(&route.name), Some(route.class()), "body not read");
        info!(self.log, "request"; "id" => &ask.id, "route" => &*route.name,
            "outcome" => "body not read", "status" => status.as_u16());
        plain(status)
    }
}

/// The line of a request that went to a home. One whose client leaves is dropped in the midst of it,
/// and says so here: without a line that holds both ids nobody could find the decisions on it.
struct Line<'a> {
    log: &'a Logger,
    metrics: &'a Metrics,
    id: RequestId,
    asking: &'a Asking<'a>,
    ended: bool,
}

impl Line<'_> {
    fn write(&mut self, ended: Ended, status: Option<u16>, why: &str) {
        self.ended = true;
        let Asking {
            ask,
            route,
            version,
            arrived,
        } = self.asking;
        let took = arrived.elapsed();
        let front = &self.metrics.front;
        front.ended(Some(&route.name), Some(route.class()), ended, took);
        info!(self.log, "request"; "id" => &ask.id,
            "request" => format!("{:032x}", self.id),
            "route" => &*route.name, "configuration" => version,
            "patience_ms" => ask.patience.map(|patience| patience.as_millis()),
            "took_us" => took.as_micros(), "outcome" => ended.to_string(),
            "status" => status, "why" => why);
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.write(Ended::Abandoned, None, "the client left");
        }
    }
}

/// The status of a request that may have run.
fn failed(reason: Reason) -> StatusCode {
    match reason {
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Hash of what a request asks, the same whoever sends it and however often.
fn fingerprint(forward: &Forward) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(forward.method.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(forward.target.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(&forward.body);
    hash.digest()
}
