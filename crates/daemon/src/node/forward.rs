//! The one hop from the daemon that took a request to a home.

use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::HomeLoad;
use monsoonring_wire::peer::GRACE;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tarpc::context::Context;

/// Time for which a member that did not answer is only chosen when there is no other.
///
/// Members take seconds to suspect one of them; until then each query that is passed to a home
/// which hangs would be lost. One lost query here keeps the following ones away.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// What this daemon has stats of a member while passing requests on.
#[derive(Clone, Copy, Debug, Default)]
struct PeerStats {
    outstanding: u32,
    silent_since: Option<Instant>,
    /// When it last answered anything.
    last_answer: Option<Instant>,
}

/// What this daemon has stats of all members.
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

    /// Returns what placement needs to know of a member.
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

    /// Tells whether a member has answered nothing since a point in time.
    pub(super) fn is_silent(&self, member: MemberId, since: Instant) -> bool {
        let last_answer = self.lock().get(&member).and_then(|stats| stats.last_answer);
        last_answer.is_none_or(|last_answer| last_answer < since)
    }

    /// Forgets members that are gone.
    pub(super) fn retain(&self, keep: impl Fn(&MemberId) -> bool) {
        self.lock()
            .retain(|id, stats| keep(id) || stats.outstanding > 0);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<MemberId, PeerStats>> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request on its way to a member.
pub(super) struct Guard<'a> {
    tracker: &'a Tracker,
    member: MemberId,
    answered: Option<bool>,
}

impl Guard<'_> {
    /// Notes whether the member answered.
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
            // The caller went away first; that says nothing of the member.
            None => {}
        }
    }
}

/// Makes the context of a call whose request has to be answered by `deadline`.
pub(super) fn context(deadline: Instant) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline + GRACE;
    context
}
