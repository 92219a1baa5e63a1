//! Handles clients' requests, from the head to the response.

mod offload;

use super::content::{Opaque, ServerRequest, ServerResponse};
use super::relay::{self, OnlyKeys, Relay};
use super::state::State;
use super::{Ingress, RequestInfo};
use crate::body::{self, MAX_RESPONSE_BYTES, Memory};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::metrics::label::OutcomeLabel;
use crate::server::stop::{Stage, Watch};
use crate::server::{Handler, Intake, LimitStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode};
use monsoonring_decision::content::Content;
use monsoonring_decision::gateway::Table;
use monsoonring_decision::gateway::table::{Route, Target};
use monsoonring_decision::home::event::{self, Scope};
use monsoonring_decision::outcome::{Answer, Outcome, Reason};
use monsoonring_decision::query::coverage::KeySet;
use monsoonring_decision::query::greatest::{greatest, records};
use monsoonring_decision::{Fingerprint, RequestId};
use rand::Rng;
use slog::{Logger, info};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

/// `Retry-After` of a host without a configuration: about the time that it takes to load one.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a request as its home reports it.
type HomeOutcome = Outcome<<Opaque as Content>::Value>;

/// A response, with the outcome and reason for the log.
struct Reply {
    response: Response<Full<Bytes>>,
    outcome: OutcomeLabel,
    reason: String,
}

/// Forwards clients' requests.
pub(super) struct Front<I> {
    pub(super) ingress: Arc<I>,
    pub(super) state: Arc<State>,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// Who sends the requests.
    pub(super) origin: Origin,
    /// Sends searches to other hosts.
    pub(super) relay: Arc<Relay>,
    /// Memory for responses.
    pub(super) memory: Arc<Memory>,
    /// Time that a response needs to reach a client of this host.
    pub(super) delivery_margin: Duration,
    /// Stage of the stop.
    pub(super) stop: Watch,
}

/// Time that a response needs to reach the client of the host that offloaded the search.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeliveryMargin(pub(super) Duration);

/// Who sends the requests to a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// Clients; their searches can be offloaded to another host.
    Client,
    /// Another host, whose searches are answered or declined but never offloaded again.
    Peer,
}

impl<I: Ingress> Handler for Front<I> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        self.answer(request, limit_status).await
    }
}

impl<I: Ingress> Front<I> {
    /// Answers a request, or has another host answer it.
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (mut head, body) = request.into_parts();
        let Some(intake) = head.extensions.remove::<Intake>() else {
            return self.malformed("not sent to a server");
        };
        let info = match self.ingress.parse(&head) {
            Ok(info) => info,
            Err(reason) => return self.malformed(reason),
        };
        intake.identify(&info.id);
        if limit_status == LimitStatus::Exceeded {
            return self.not_run(&info, "too many connections", DEFAULT_RETRY_AFTER);
        }
        let Some(view) = self.state.view() else {
            return self.not_run(&info, "no configuration yet", UNCONFIGURED_RETRY_AFTER);
        };
        let Some(route) = view.table.find(&info.host, head.uri.path()).cloned() else {
            return self.no_route(&info, &view.table, head.uri.path());
        };
        let body = self.read_body(body, &view.table, &info, &intake);
        let body = match self.unless_ending(body).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => return self.body_not_read(&info, &route, error),
            None => return self.not_run(&info, "stopping", Duration::ZERO),
        };
        let context = Context {
            info: &info,
            route: &route,
            version: view.table.version,
            arrived,
        };
        if let Some(response) = self.offload(&head, &body, &context).await {
            return response;
        }
        let shards = self.state.splits.next(&route);
        let Some(home) = shards.as_ref().and_then(|shards| view.homes.get(shards)) else {
            return self.not_run(&info, "route without a service", DEFAULT_RETRY_AFTER);
        };
        let id: RequestId = rand::rng().random();
        let peer_margin = head.extensions.get::<DeliveryMargin>();
        let delivery_margin = peer_margin.map_or(self.delivery_margin, |peer_margin| peer_margin.0);
        let only_keys = head
            .extensions
            .get::<OnlyKeys>()
            .map(|only_keys| only_keys.0.clone());
        let remote_shards = match only_keys {
            Some(_) => None,
            None => shards.as_ref().and_then(|set| view.remote_shards.get(set)),
        };
        let delegation = remote_shards.and_then(|remote_shards| self.relay.delegate(remote_shards));
        let delegation = delegation.map(|delegation| (delegation, head.clone(), body.clone()));
        let server_request = ServerRequest {
            is_merged: matches!(route.target, Target::FanOut(_)),
            ..self.ingress.forward(head, &info, body)
        };
        let home_request = event::Request {
            scope: Scope {
                only: only_keys.clone(),
                delegated: (delegation.as_ref())
                    .map(|(delegation, ..)| delegation.keys().clone())
                    .unwrap_or_default(),
            },
            ..self.home_request(
                id,
                &context,
                server_request,
                delivery_margin,
                only_keys.as_ref(),
            )
        };
        let mut line = LogLine {
            log: &self.log,
            metrics: &self.metrics,
            id,
            fingerprint: home_request.fingerprint,
            context: &context,
            written: false,
        };
        let outcome = match delegation {
            None => home.run(home_request).await,
            Some((delegation, head, body)) => {
                let part = self.delegate(delegation, head, body, &context, delivery_margin);
                offload::run_with_part(home, home_request, part).await
            }
        };
        let reply = match (&self.origin, &outcome) {
            (Origin::Peer, Outcome::NotRun { reason, .. }) if is_host_specific(*reason) => Reply {
                response: relay::decline("not able to"),
                outcome: OutcomeLabel::NotRun,
                reason: format!("declined: {reason}"),
            },
            _ => self.reply(outcome, &route, only_keys.as_ref()),
        };
        let status = reply.response.status().as_u16();
        line.write(reply.outcome, Some(status), &reply.reason);
        reply.response
    }
}

/// Returns whether a search was not run for a reason that may not apply to another host.
fn is_host_specific(reason: Reason) -> bool {
    matches!(reason, Reason::Unavailable | Reason::Stopping)
}

/// Why a request has no body.
#[derive(Clone, Copy, Debug)]
enum BodyError {
    /// The process has no memory for it now.
    NoMemory,
    /// The client is at fault; the status says how.
    Status(StatusCode),
}

/// A request while it is handled.
struct Context<'a> {
    info: &'a RequestInfo,
    route: &'a Route,
    version: u64,
    arrived: Instant,
}

impl Context<'_> {
    /// Returns the timeout of the request, counted from its arrival.
    fn timeout(&self) -> Duration {
        let timeout = self.route.timeout;
        self.info.timeout.unwrap_or(timeout).min(timeout)
    }
}

impl<I: Ingress> Front<I> {
    /// Waits for a future; returns `None` if a stop first reaches the stage in which requests in flight are answered.
    async fn unless_ending<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut stop = self.stop.clone();
        tokio::select! {
            biased;
            output = future => Some(output),
            () = stop.reached(Stage::Ending) => None,
        }
    }

    /// Reads the complete body within the configured limits.
    async fn read_body(
        &self,
        body: Incoming,
        table: &Table,
        info: &RequestInfo,
        intake: &Intake,
    ) -> Result<Bytes, BodyError> {
        let limit = info.timeout.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
        let mut line = BodyLine {
            log: &self.log,
            info,
            written: false,
        };
        let read = timeout(limit, intake.read(body, table.limits.body_bytes)).await;
        line.written = true;
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(body::Error::NoMemory)) => Err(BodyError::NoMemory),
            Ok(Err(body::Error::TooLong { .. })) => {
                Err(BodyError::Status(StatusCode::PAYLOAD_TOO_LARGE))
            }
            Ok(Err(body::Error::Truncated)) => Err(BodyError::Status(StatusCode::BAD_REQUEST)),
            Err(_) => Err(BodyError::Status(StatusCode::REQUEST_TIMEOUT)),
        }
    }

    fn home_request(
        &self,
        id: RequestId,
        context: &Context<'_>,
        server_request: ServerRequest,
        delivery_margin: Duration,
        only_keys: Option<&KeySet>,
    ) -> event::Request<Opaque> {
        let route = context.route;
        let params = route.params(delivery_margin);
        let params = match (&route.target, only_keys) {
            (Target::FanOut(fan_out), Some(only_keys)) => {
                params.for_groups(only_keys.len(), fan_out.shards.len())
            }
            _ => params,
        };
        event::Request {
            id,
            caller: route.host.clone().into(),
            class: route.class(),
            deadline: self.clock.time(context.arrived + context.timeout()),
            fingerprint: fingerprint(&server_request),
            body: Arc::new(server_request),
            execute_key: None,
            params: Some(params),
            scope: Scope::default(),
        }
    }

    /// Builds the reply for the outcome of a request.
    fn reply(&self, outcome: HomeOutcome, route: &Route, only_keys: Option<&KeySet>) -> Reply {
        match outcome {
            Outcome::Answered(answer) => self.reply_with_answer(answer, route, only_keys),
            Outcome::Executed(server_response) => Reply {
                reason: format!("status {}", server_response.status.as_u16()),
                response: self.ingress.single(server_response),
                outcome: OutcomeLabel::Complete,
            },
            Outcome::NotRun {
                reason,
                retry_after,
            } => Reply {
                response: self.retry_later(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
                outcome: OutcomeLabel::NotRun,
                reason: reason.to_string(),
            },
            Outcome::Failed { reason, .. } => Reply {
                response: empty_response(failure_status(reason)),
                outcome: OutcomeLabel::Failed,
                reason: reason.to_string(),
            },
            Outcome::Unknown { reason } => Reply {
                response: empty_response(failure_status(reason)),
                outcome: OutcomeLabel::Unknown,
                reason: reason.to_string(),
            },
        }
    }

    fn reply_with_answer(
        &self,
        answer: Answer<ServerResponse>,
        route: &Route,
        only_keys: Option<&KeySet>,
    ) -> Reply {
        let missing_keys: KeySet = answer.missing.iter().copied().collect();
        let missing = missing_keys.len() as usize;
        let version = answer.index_version;
        let outcome = match missing {
            0 => OutcomeLabel::Complete,
            _ => OutcomeLabel::Partial,
        };
        let mut parts: Vec<ServerResponse> =
            answer.items.into_iter().map(|item| item.value).collect();
        let (response, reason) = match &route.target {
            Target::FanOut(fan_out) => {
                let Some(records) = self.merge(&parts, fan_out.max_records) else {
                    return Reply {
                        response: empty_response(StatusCode::BAD_GATEWAY),
                        outcome: OutcomeLabel::Failed,
                        reason: "the merged response is too long".to_owned(),
                    };
                };
                let requested =
                    only_keys.map_or(fan_out.shards.len(), |only_keys| only_keys.len() as usize);
                let received = requested.saturating_sub(missing);
                let reason = format!("{received} parts, {missing} missing, set {version}");
                let mut response = self.ingress.merged(&parts, missing, records);
                if let Some(only_keys) = only_keys {
                    let covered = only_keys.difference(&missing_keys);
                    relay::set_covered(response.headers_mut(), &covered, version);
                }
                (response, reason)
            }
            Target::Split(_) => match parts.pop() {
                Some(server_response) => {
                    let reason = format!("status {}", server_response.status.as_u16());
                    (self.ingress.single(server_response), reason)
                }
                None => (
                    empty_response(StatusCode::BAD_GATEWAY),
                    "no response of a backend server".to_owned(),
                ),
            },
        };
        Reply {
            response,
            outcome,
            reason,
        }
    }

    /// Merges the records of several responses; returns `None` if the result would be longer than a response may be.
    fn merge(&self, parts: &[ServerResponse], max_records: usize) -> Option<Bytes> {
        let bodies = parts.iter().map(|part| &part.body[..]);
        let size = self.ingress.record_bytes();
        let count = records(bodies.clone(), size).min(max_records);
        let is_accepted = count.saturating_mul(size) <= MAX_RESPONSE_BYTES;
        is_accepted.then(|| self.memory.hold(greatest(bodies, size, count).into()))
    }

    fn retry_later(&self, time: Duration) -> Response<Full<Bytes>> {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        let value = self.ingress.retry_after(time);
        response.headers_mut().insert(RETRY_AFTER, value);
        response
    }

    fn malformed(&self, reason: &'static str) -> Response<Full<Bytes>> {
        self.metrics.front.record_refusal(None, None, "malformed");
        info!(self.log, "request"; "outcome" => "malformed", "why" => reason);
        empty_response(StatusCode::BAD_REQUEST)
    }

    fn not_run(
        &self,
        info: &RequestInfo,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<Full<Bytes>> {
        self.metrics.front.record_refusal(None, None, reason);
        info!(self.log, "request"; "id" => &info.id, "outcome" => OutcomeLabel::NotRun.to_string(),
            "why" => reason, "come_back_ms" => retry_after.as_millis());
        self.retry_later(retry_after)
    }

    fn no_route(&self, info: &RequestInfo, table: &Table, path: &str) -> Response<Full<Bytes>> {
        self.metrics.front.record_refusal(None, None, "no route");
        info!(self.log, "request"; "id" => &info.id, "outcome" => "no route", "asked_host" => &info.host,
            "path" => path, "configuration" => table.version);
        empty_response(StatusCode::NOT_FOUND)
    }

    fn body_not_read(
        &self,
        info: &RequestInfo,
        route: &Route,
        error: BodyError,
    ) -> Response<Full<Bytes>> {
        let status = match error {
            BodyError::Status(status) => status,
            BodyError::NoMemory => {
                return self.not_run(info, "no memory for the body", DEFAULT_RETRY_AFTER);
            }
        };
        let front = &self.metrics.front;
        front.record_refusal(Some(&route.name), Some(route.class()), "body not read");
        info!(self.log, "request"; "id" => &info.id, "route" => &*route.name,
            "outcome" => "body not read", "status" => status.as_u16());
        empty_response(status)
    }
}

/// Logs a request whose connection ends before its body is complete.
struct BodyLine<'a> {
    log: &'a Logger,
    info: &'a RequestInfo,
    written: bool,
}

impl Drop for BodyLine<'_> {
    fn drop(&mut self) {
        if !self.written {
            info!(self.log, "request"; "id" => &self.info.id,
                "outcome" => OutcomeLabel::Abandoned.to_string(),
                "why" => "the connection ended before the body");
        }
    }
}

/// Log line of a request that was given to a home.
///
/// The line links the client's request id to the id in the log of the home's decisions. If the
/// client disconnects, it is written when the request is dropped.
struct LogLine<'a> {
    log: &'a Logger,
    metrics: &'a Metrics,
    id: RequestId,
    fingerprint: Fingerprint,
    context: &'a Context<'a>,
    written: bool,
}

impl LogLine<'_> {
    fn write(&mut self, outcome: OutcomeLabel, status: Option<u16>, reason: &str) {
        self.written = true;
        let Context {
            info,
            route,
            version,
            arrived,
        } = self.context;
        let took = arrived.elapsed();
        let front = &self.metrics.front;
        front.record_outcome(Some(&route.name), Some(route.class()), outcome, took);
        info!(self.log, "request"; "id" => &info.id,
            "request" => format!("{:032x}", self.id),
            "fingerprint" => format!("{:016x}", self.fingerprint),
            "route" => &*route.name, "configuration" => version,
            "patience_ms" => info.timeout.map(|timeout| timeout.as_millis()),
            "took_us" => took.as_micros(), "outcome" => outcome.to_string(),
            "status" => status, "why" => reason);
    }
}

impl Drop for LogLine<'_> {
    fn drop(&mut self) {
        if !self.written {
            self.write(OutcomeLabel::Abandoned, None, "the client disconnected");
        }
    }
}

/// Returns the status for a request that may have run.
fn failure_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Hashes the method, target and body of a request. Identical requests of different clients have
/// the same hash.
fn fingerprint(server_request: &ServerRequest) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(server_request.method.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(server_request.target.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(&server_request.body);
    hash.digest()
}
