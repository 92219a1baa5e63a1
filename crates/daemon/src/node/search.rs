//! Searches: here, or one hop away.

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
use monsoonring_wire::message::{Declined, Request};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Homes that a search is brought to at most. It is idempotent, so that a home that failed may be
/// followed by another; more than this would make a storm of an outage.
const MAX_HOPS: usize = 3;

/// The part of the remaining time after which a home that has said nothing at all counts as silent: a
/// frozen process or a cut that the members have not noticed yet. A home that answers others in the
/// meantime is only busy, and a second one would double its work for nothing.
const PATIENCE_DIVISOR: f64 = 4.0;

/// When to come back where no home could be reached: about the time that members need to find out.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A home, and why it was chosen.
pub(super) struct Choice {
    pub(super) home: MemberId,
    pub(super) why: String,
}

/// Says what told for a home.
fn why(standing: &HomeLoad, homes: usize) -> String {
    let place = if standing.near { "near" } else { "far" };
    let doubt = if standing.suspect { ", suspect" } else { "" };
    let outstanding = standing.outstanding;
    format!("{place}{doubt}, {outstanding} outstanding, one of {homes} homes")
}

/// "Not run", for want of a home.
pub(super) fn unavailable() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Unavailable,
        retry_after: Some(RETRY_AFTER),
    }
}

/// How far a search got at one home.
enum Reached {
    /// The home told how it ended.
    Ended(Outcome),
    /// The home did not take it.
    Declined,
    /// The home may have run it; its answer did not arrive.
    Lost,
}

/// A search on its way to one or more homes.
struct Search<'a> {
    node: &'a Node,
    entry: &'a Entry,
    call: &'a Call,
    tried: Vec<MemberId>,
    /// Whether a home may have run it.
    reached: bool,
}

impl Search<'_> {
    /// Brings the search to one home after the other until one of them tells how it ended.
    async fn run(mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        while let Some(choice) = self.next() {
            let home = choice.home;
            running.push(self.node.search_at(choice, self.entry, self.call));
            if let Some(outcome) = self.wait(home, &mut running).await {
                return outcome;
            }
            let why = "the next home, if any";
            self.node.note(self.call, "no answer", Some(home), why);
        }
        while let Some(reached) = running.next().await {
            if let Some(outcome) = self.note(reached) {
                return outcome;
            }
        }
        self.given_up()
    }

    fn next(&mut self) -> Option<Choice> {
        let in_time = Instant::now() < self.call.deadline;
        if self.tried.len() == MAX_HOPS || !in_time {
            return None;
        }
        let choice = self
            .node
            .choose(self.entry, self.call.request, &self.tried)?;
        self.tried.push(choice.home);
        Some(choice)
    }

    /// Waits for an outcome; returns without one where another home should be tried.
    async fn wait<F: Future<Output = Reached>>(
        &mut self,
        home: MemberId,
        running: &mut FuturesUnordered<F>,
    ) -> Option<Outcome> {
        let since = Instant::now();
        let remaining = self.call.deadline.saturating_duration_since(since);
        let mut patience = pin!(sleep(remaining.div_f64(PATIENCE_DIVISOR)));
        let mut patient = home != self.node.own.id;
        loop {
            tokio::select! {
                reached = running.next() => {
                    let reached = reached?;
                    let outcome = self.note(reached);
                    if outcome.is_some() || running.is_empty() {
                        return outcome;
                    }
                }
                () = &mut patience, if patient => {
                    patient = false;
                    if self.node.forwards.is_silent(home, since) {
                        return None;
                    }
                }
            }
        }
    }

    fn note(&mut self, reached: Reached) -> Option<Outcome> {
        match reached {
            Reached::Ended(outcome) => return Some(outcome),
            Reached::Declined => {}
            Reached::Lost => self.reached = true,
        }
        None
    }

    /// "Not run" only where no home can have run it.
    fn given_up(&self) -> Outcome {
        let reason = match Instant::now() < self.call.deadline {
            true => Reason::Unavailable,
            false => Reason::Deadline,
        };
        let retry_after = Some(RETRY_AFTER);
        match self.reached {
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
        if self.control.ready().is_err() {
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
            reached: false,
        };
        search.run().await
    }

    /// Chooses a home among those that were not tried.
    pub(super) fn choose(
        &self,
        entry: &Entry,
        request: RequestId,
        tried: &[MemberId],
    ) -> Option<Choice> {
        let homes = entry.homes.iter().filter(|home| !tried.contains(&home.id));
        let standings = homes.map(|home| {
            let near = home.data_centre == self.own.data_centre;
            self.forwards
                .load(home.id, near, self.control.is_suspect(home.id))
        });
        let standings: Vec<_> = standings.collect();
        let home = placement::choose(self.own.id, request, &standings)?;
        let standing = standings.iter().find(|standing| standing.id == home)?;
        Some(Choice {
            home,
            why: why(standing, standings.len()),
        })
    }

    async fn search_at(&self, choice: Choice, entry: &Entry, call: &Call) -> Reached {
        let Choice { home, why } = choice;
        if home == self.own.id {
            return match &entry.handle {
                Some(handle) => Reached::Ended(handle.run(self.local(call, None)).await),
                None => Reached::Declined,
            };
        }
        self.note(call, "pass on", Some(home), &why);
        let guard = self.forwards.begin(home);
        let Ok(client) = self.peers.client(home).await else {
            guard.answered(false);
            self.metrics.node.hopped("lost");
            return Reached::Declined;
        };
        let answer = client
            .search(context(call.deadline), self.passed(call))
            .await;
        guard.answered(answer.is_ok());
        self.metrics.node.hopped(match &answer {
            Ok(Ok(_)) => "answered",
            Ok(Err(_)) => "declined",
            Err(_) => "lost",
        });
        match answer {
            Ok(Ok(outcome)) => Reached::Ended(outcome),
            Ok(Err(Declined::NotHome | Declined::Ledger(_))) => Reached::Declined,
            Err(_) => {
                self.peers.forget(home);
                Reached::Lost
            }
        }
    }

    /// Makes the request as a home here takes it.
    pub(super) fn local(&self, call: &Call, execute_key: Option<Arc<str>>) -> event::Request {
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

    /// Makes the request as another daemon takes it.
    pub(super) fn passed(&self, call: &Call) -> Request {
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

    /// Declines what a peer passed on, if this daemon may not take new work; another home may.
    pub(super) fn rested(&self) -> Result<(), Declined> {
        self.control.ready().map_err(|_| Declined::NotHome)
    }

    /// Runs a search that a peer passed on.
    pub(crate) async fn search_forwarded(&self, call: Call) -> Result<Outcome, Declined> {
        self.rested()?;
        let entry = self.routes.get(&call.route.name).ok_or(Declined::NotHome)?;
        let handle = entry.handle.ok_or(Declined::NotHome)?;
        Ok(handle.run(self.local(&call, None)).await)
    }

    /// Returns a peer's request as a call, if its route is known here.
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
