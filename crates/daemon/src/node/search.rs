//! Runs searches at a home, in this daemon or one hop away.

use super::Node;
use super::forward::context;
use super::routes::Entry;
use crate::service::Call;
use futures::stream::{FuturesUnordered, StreamExt};
use monsoonring_decision::RequestId;
use monsoonring_decision::home::event;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::placement::{self, HomeLoad};
use monsoonring_wire::message::{Rejection, Request};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum number of homes that a search is sent to. Searches are idempotent and may be retried at
/// another home; the limit prevents a retry storm during an outage.
const MAX_HOMES: usize = 3;

/// Divides the remaining time to give the silence timeout. A home that answers no request for that
/// long may be frozen or cut off without the failure detector having noticed, so the next home is
/// tried. A home that answers other requests is only busy; a second attempt would add load.
const SILENCE_TIMEOUT_DIVISOR: f64 = 4.0;

/// Retry-after if no home could be reached: about the time that the failure detector needs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A home and the reason for its choice.
pub(super) struct Choice {
    pub(super) home: MemberId,
    pub(super) reason: String,
}

/// Describes why a home was chosen.
fn describe(load: &HomeLoad, homes: usize) -> String {
    let distance = if load.near { "near" } else { "far" };
    let suspicion = if load.suspect { ", suspect" } else { "" };
    let outstanding = load.outstanding;
    format!("{distance}{suspicion}, {outstanding} outstanding, one of {homes} homes")
}

/// Returns the outcome of a request for which no home is available.
pub(super) fn unavailable() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Unavailable,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Result of sending a search to one home.
enum Attempt {
    /// The home returned an outcome.
    Finished(Outcome),
    /// The home did not accept the search.
    Declined,
    /// The call failed; the home may have run the search.
    Lost,
}

/// A search that is sent to one or more homes.
struct Search<'a> {
    node: &'a Node,
    entry: &'a Entry,
    call: &'a Call,
    tried: Vec<MemberId>,
    /// Whether a home may have run the search without returning an outcome.
    may_have_run: bool,
}

impl Search<'_> {
    /// Sends the search to one home after another until one returns an outcome.
    async fn run(mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        while let Some(choice) = self.next() {
            let home = choice.home;
            running.push(self.node.search_at(choice, self.entry, self.call));
            if let Some(outcome) = self.wait(home, &mut running).await {
                return outcome;
            }
            let reason = "no outcome yet; trying another home, if any";
            self.node
                .log_decision(self.call, "no answer", Some(home), reason);
        }
        while let Some(attempt) = running.next().await {
            if let Some(outcome) = self.record(attempt) {
                return outcome;
            }
        }
        self.final_outcome()
    }

    fn next(&mut self) -> Option<Choice> {
        let in_time = Instant::now() < self.call.deadline;
        if self.tried.len() == MAX_HOMES || !in_time {
            return None;
        }
        let choice = self
            .node
            .choose(self.entry, self.call.request, &self.tried)?;
        self.tried.push(choice.home);
        Some(choice)
    }

    /// Waits for an outcome; returns `None` if another home should be tried.
    async fn wait<F: Future<Output = Attempt>>(
        &mut self,
        home: MemberId,
        running: &mut FuturesUnordered<F>,
    ) -> Option<Outcome> {
        let since = Instant::now();
        let remaining = self.call.deadline.saturating_duration_since(since);
        let mut silence_timeout = pin!(sleep(remaining.div_f64(SILENCE_TIMEOUT_DIVISOR)));
        let mut timeout_armed = home != self.node.own.id;
        loop {
            tokio::select! {
                attempt = running.next() => {
                    let attempt = attempt?;
                    let outcome = self.record(attempt);
                    if outcome.is_some() || running.is_empty() {
                        return outcome;
                    }
                }
                () = &mut silence_timeout, if timeout_armed => {
                    timeout_armed = false;
                    if self.node.forwards.is_silent(home, since) {
                        return None;
                    }
                }
            }
        }
    }

    fn record(&mut self, attempt: Attempt) -> Option<Outcome> {
        match attempt {
            Attempt::Finished(outcome) => return Some(outcome),
            Attempt::Declined => {}
            Attempt::Lost => self.may_have_run = true,
        }
        None
    }

    /// Returns the outcome after all homes failed: "not run" only if no home can have run the
    /// search.
    fn final_outcome(&self) -> Outcome {
        let reason = match Instant::now() < self.call.deadline {
            true => Reason::Unavailable,
            false => Reason::Deadline,
        };
        let retry_after = Some(RETRY_AFTER);
        match self.may_have_run {
            true => Outcome::Failed {
                reason,
                retry_after,
            },
            false => Outcome::NotRun {
                reason,
                retry_after,
            },
        }
    }
}

impl Node {
    pub(super) async fn search_call(&self, call: Call) -> Outcome {
        if self.control.check_ready().is_err() {
            return unavailable();
        }
        let Some(entry) = self.routes.get(&call.route.name) else {
            return unavailable();
        };
        let search = Search {
            node: self,
            entry: &entry,
            call: &call,
            tried: Vec::new(),
            may_have_run: false,
        };
        search.run().await
    }

    /// Chooses a home that is not in `tried`.
    pub(super) fn choose(
        &self,
        entry: &Entry,
        request: RequestId,
        tried: &[MemberId],
    ) -> Option<Choice> {
        let homes = entry.homes.iter().filter(|home| !tried.contains(&home.id));
        let loads = homes.map(|home| {
            let near = home.data_centre == self.own.data_centre;
            self.forwards
                .load(home.id, near, self.control.is_suspect(home.id))
        });
        let loads: Vec<_> = loads.collect();
        let home = placement::choose(self.own.id, request, &loads)?;
        let load = loads.iter().find(|load| load.id == home)?;
        Some(Choice {
            home,
            reason: describe(load, loads.len()),
        })
    }

    async fn search_at(&self, choice: Choice, entry: &Entry, call: &Call) -> Attempt {
        let Choice { home, reason } = choice;
        if home == self.own.id {
            return match &entry.handle {
                Some(handle) => Attempt::Finished(handle.run(self.home_request(call, None)).await),
                None => Attempt::Declined,
            };
        }
        self.log_decision(call, "pass on", Some(home), &reason);
        let guard = self.forwards.begin(home);
        let Ok(client) = self.peers.client(home).await else {
            guard.answered(false);
            self.metrics.node.record_forward("lost");
            return Attempt::Declined;
        };
        let answer = client
            .search(context(call.deadline), self.wire_request(call))
            .await;
        guard.answered(answer.is_ok());
        self.metrics.node.record_forward(match &answer {
            Ok(Ok(_)) => "answered",
            Ok(Err(_)) => "declined",
            Err(_) => "lost",
        });
        match answer {
            Ok(Ok(outcome)) => Attempt::Finished(outcome),
            Ok(Err(Rejection::NotHome | Rejection::Ledger(_))) => Attempt::Declined,
            Err(_) => {
                self.peers.forget(home);
                Attempt::Lost
            }
        }
    }

    /// Converts a call to the request that a home in this daemon receives.
    pub(super) fn home_request(
        &self,
        call: &Call,
        execute_key: Option<Arc<str>>,
    ) -> event::Request {
        event::Request {
            id: call.request,
            caller: call.caller.clone(),
            class: call.class,
            deadline: self.clock.time(call.deadline),
            fingerprint: call.fingerprint,
            body: call.body.clone(),
            execute_key,
            params: None,
            scope: event::Scope::default(),
        }
    }

    /// Converts a call to the request that is forwarded to a peer.
    pub(super) fn wire_request(&self, call: &Call) -> Request {
        let version = self.control.version();
        Request {
            id: call.request,
            route: call.route.name.clone(),
            revision: version.map_or(0, |version| version.revision),
            caller: call.caller.clone(),
            class: call.class,
            fingerprint: call.fingerprint,
            body: call.body.clone(),
        }
    }

    /// Declines a forwarded request if this daemon is not ready, so that the peer tries another
    /// home.
    pub(super) fn check_ready(&self) -> Result<(), Rejection> {
        self.control.check_ready().map_err(|_| Rejection::NotHome)
    }

    /// Runs a search that a peer forwarded.
    pub(crate) async fn search_forwarded(&self, call: Call) -> Result<Outcome, Rejection> {
        self.check_ready()?;
        let entry = self
            .routes
            .get(&call.route.name)
            .ok_or(Rejection::NotHome)?;
        let handle = entry.handle.ok_or(Rejection::NotHome)?;
        Ok(handle.run(self.home_request(&call, None)).await)
    }

    /// Converts a peer's request to a call; `None` if this daemon does not know the route.
    pub(crate) fn call(&self, request: Request, deadline: Instant) -> Option<Call> {
        let entry = self.routes.get(&request.route)?;
        Some(Call {
            request: request.id,
            route: entry.route,
            caller: request.caller,
            class: request.class,
            deadline,
            fingerprint: request.fingerprint,
            body: request.body,
        })
    }
}
