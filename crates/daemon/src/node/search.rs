//! Searches: here, or one hop away.

use super::Node;
use super::hop::context;
use super::routes::Entry;
use crate::service::Call;
use monsoonring_decision::home::event;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::placement;
use monsoonring_wire::message::{Declined, Request};
use slog::info;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Homes that a search is brought to at most. It is idempotent, so that a home that failed may be
/// followed by another; more than this would make a storm of an outage.
const MAX_HOPS: usize = 3;

/// When to come back where no home could be reached: about the time that members need to find out.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// "Not run", for want of a home.
pub(super) fn unavailable() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Unavailable,
        retry_after: Some(RETRY_AFTER),
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
        let mut tried = Vec::new();
        while tried.len() < MAX_HOPS && Instant::now() < call.deadline {
            let Some(home) = self.choose(&entry, call.request, &tried) else {
                break;
            };
            if let Some(outcome) = self.search_at(home, &entry, &call).await {
                return outcome;
            }
            tried.push(home);
        }
        match Instant::now() < call.deadline {
            true => unavailable(),
            false => Outcome::Failed {
                reason: Reason::Deadline,
                retry_after: Some(RETRY_AFTER),
            },
        }
    }

    /// Chooses a home among those that were not tried.
    pub(super) fn choose(
        &self,
        entry: &Entry,
        request: monsoonring_decision::RequestId,
        tried: &[MemberId],
    ) -> Option<MemberId> {
        let view = self.control.view();
        let data_centre = |home: &MemberId| {
            let member = view.members.iter().find(|member| member.id == *home);
            member.is_some_and(|member| member.data_centre == self.own.data_centre)
        };
        let homes = entry.homes.iter().filter(|home| !tried.contains(home));
        let standings = homes.map(|home| {
            self.hops
                .standing(*home, data_centre(home), view.suspects.contains(home))
        });
        let standings: Vec<_> = standings.collect();
        placement::choose(self.own.id, request, &standings)
    }

    async fn search_at(&self, home: MemberId, entry: &Entry, call: &Call) -> Option<Outcome> {
        if home == self.own.id {
            let handle = entry.handle.as_ref()?;
            return Some(handle.run(self.local(call, None)).await);
        }
        info!(self.log, "decision"; "decision" => "pass on", "route" => &*call.route.name,
            "request" => format!("{:032x}", call.request), "home" => %home,
            "reason" => "this daemon is no home of the route");
        let guard = self.hops.begin(home);
        let Ok(client) = self.peers.client(home).await else {
            guard.answered(false);
            return None;
        };
        let answer = client
            .search(context(call.deadline), self.passed(call))
            .await;
        guard.answered(answer.is_ok());
        match answer {
            Ok(Ok(outcome)) => Some(outcome),
            Ok(Err(Declined::NotHome | Declined::Ledger(_))) => None,
            Err(_) => {
                self.peers.forget(home);
                None
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
        }
    }

    /// Makes the request as another daemon takes it.
    pub(super) fn passed(&self, call: &Call) -> Request {
        let version = self.control.view().version;
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
    pub(crate) async fn search_passed(&self, call: Call) -> Result<Outcome, Declined> {
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
