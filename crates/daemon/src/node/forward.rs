//! Tracks the requests that this daemon forwards to homes on other daemons.

use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::HomeLoad;
use monsoonring_wire::peer::DEADLINE_GRACE;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tarpc::context::Context;

/// Time for which a member that failed to answer is chosen only if there is no other.
///
/// Failure detection takes seconds. Until then every request forwarded to a hanging home would be
/// lost; this way, one lost request diverts the following ones.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// Forwarding statistics of one member.
#[derive(Clone, Copy, Debug, Default)]
struct PeerStats {
    outstanding: u32,
    silent_since: Option<Instant>,
    /// Time of the last answer to any request.
    last_answer: Option<Instant>,
}

/// Forwarding statistics of all members.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    stats: Mutex<HashMap<MemberId, PeerStats>>,
}

impl Tracker {
    /// Counts a request as outstanding until the guard is dropped.
    pub(super) fn begin(&self, member: MemberId) -> Guard<'_> {
        self.lock().entry(member).or_default().outstanding += 1;
        Guard {
            tracker: self,
            member,
            answered: None,
        }
    }

    /// Returns a member's load and health for the choice of a home.
    pub(super) fn load(&self, id: MemberId, near: bool, suspected: bool) -> HomeLoad {
        let stats = self.lock().get(&id).copied().unwrap_or_default();
        let silent = stats
            .silent_since
            .is_some_and(|since| since.elapsed() < AVOID_DURATION);
        HomeLoad {
            id,
            near,
            suspect: suspected || silent,
            outstanding: stats.outstanding,
        }
    }

    /// Returns whether a member has answered no request since `since`.
    pub(super) fn is_silent(&self, member: MemberId, since: Instant) -> bool {
        let last_answer = self.lock().get(&member).and_then(|stats| stats.last_answer);
        last_answer.is_none_or(|last_answer| last_answer < since)
    }

    /// Drops the statistics of members that `keep` rejects and that have no request outstanding.
    pub(super) fn retain(&self, keep: impl Fn(&MemberId) -> bool) {
        self.lock()
            .retain(|id, stats| keep(id) || stats.outstanding > 0);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<MemberId, PeerStats>> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An outstanding request to a member.
pub(super) struct Guard<'a> {
    tracker: &'a Tracker,
    member: MemberId,
    answered: Option<bool>,
}

impl Guard<'_> {
    /// Ends the request and records whether the member answered.
    pub(super) fn answered(mut self, answered: bool) {
        self.answered = Some(answered);
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut stats = self.tracker.lock();
        let Some(stats) = stats.get_mut(&self.member) else {
            return;
        };
        stats.outstanding = stats.outstanding.saturating_sub(1);
        match self.answered {
            Some(true) => {
                stats.silent_since = None;
                stats.last_answer = Some(Instant::now());
            }
            Some(false) => stats.silent_since = Some(Instant::now()),
            // Cancelled because the caller disconnected; no information on the member.
            None => {}
        }
    }
}

/// Returns the RPC context of a request with this deadline.
pub(super) fn context(deadline: Instant) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline + DEADLINE_GRACE;
    context
}
