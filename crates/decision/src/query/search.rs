//! A search in progress.
//!
//! A search consists of parts, each a set of keys of one group that a server has yet to search. The
//! keys of the parts are disjoint from each other and from the merged keys, and coverage counts
//! merged keys only, so an answer can't hide a gap. A reply removes its keys from all parts that
//! hold them; after a route change the remaining keys are split into parts again.

use super::attempt::{self, Fanout};
use super::coverage::{self, KeySet};
use super::merge::Merge;
use crate::attempt::{AttemptId, ConnectionId, Failure, Refusal};
use crate::content::Content;
use crate::home::event::Request;
use crate::outcome::{Answer, Outcome, Reason};
use crate::reply::Reply;
use crate::{RequestId, Time};
use monsoonring_configuration::document::{Class, Route};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Id of a part, unique within its search.
pub(crate) type PartId = u32;

/// Queue position of a waiting request or part: the most urgent class first, then the oldest.
pub(crate) type Waiter = (Class, Time, RequestId, Option<PartId>);

/// Why an attempt is made, which determines the budget that it is charged to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The first attempt for these keys.
    #[default]
    First,
    /// An attempt failed after it was sent; charged to the retry budget.
    Retry,
    /// An attempt was not sent, or its reply covered only some of the keys; not charged. The number
    /// of such attempts is bounded, because after each one its server is excluded for the remaining
    /// keys.
    Remainder,
    /// An attempt is slower than usual: a second one, charged to the hedge budget without its
    /// reserve.
    Hedge,
    /// An attempt is among the slowest of its group and was not hedged: a second one, charged to
    /// the hedge budget including its reserve.
    LateHedge,
    /// An attempt is far slower than its server ever is and was not hedged: a second one, charged
    /// to the retry budget. A silent server delays many attempts, more than the hedge budget
    /// covers.
    Overdue,
}

impl Cause {
    /// Returns whether the attempt is charged to the hedge budget.
    pub(crate) fn is_hedge(self) -> bool {
        matches!(self, Self::Hedge | Self::LateHedge)
    }

    /// Returns whether the attempt runs concurrently with another one for the same keys.
    pub(crate) fn is_second(self) -> bool {
        matches!(self, Self::Hedge | Self::LateHedge | Self::Overdue)
    }

    /// Returns the label for the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::First => "send",
            Self::Retry => "retry",
            Self::Remainder => "rest",
            Self::Hedge => "hedge",
            Self::LateHedge => "late hedge",
            Self::Overdue => "overdue",
        }
    }
}

/// Keys of one group that have not been merged yet.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Index of the group in the route in force.
    pub(crate) group: usize,
    /// The keys to search.
    pub(crate) wanted: KeySet,
    /// Queued and sent attempts for these keys.
    pub(crate) live: SmallVec<[AttemptId; 2]>,
    /// Servers that had an attempt; other servers are preferred.
    pub(crate) tried: SmallVec<[BackendServerId; 1]>,
    /// Servers that can't serve these keys at the pinned version.
    pub(crate) excluded: SmallVec<[BackendServerId; 1]>,
    /// Number of attempts, hedges included.
    pub(crate) attempts: u32,
    /// Number of attempts that provably did not run.
    pub(crate) not_run: u32,
    /// Cause of the next attempt.
    pub(crate) cause: Cause,
    /// Reason of the last failure.
    pub(crate) last_failure: Option<Reason>,
    /// Reason for giving up the part; `None` while it is pursued.
    pub(crate) given_up: Option<Reason>,
    /// Whether no server of the group serves the pinned version any more.
    pub(crate) version_gone: bool,
}

impl Part {
    /// Returns the number of attempts that may have run or may be running.
    pub(crate) fn may_have_run(&self) -> u32 {
        self.attempts.saturating_sub(self.not_run)
    }

    /// Stops making attempts for these keys.
    pub(crate) fn give_up(&mut self) {
        self.given_up = Some(self.last_failure.unwrap_or(Reason::Unavailable));
    }
}

/// Effect of a merged reply.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// Attempts that became redundant.
    pub(crate) losers: Vec<AttemptId>,
    /// Whether the reply covered any new key.
    pub(crate) progress: bool,
}

/// State of one search.
#[derive(Debug)]
pub(crate) struct Search<C: Content> {
    pub(crate) request: Request<C>,
    pub(crate) started: Time,
    /// The only version that is merged; `None` until the first reply of an unpinned search.
    pub(crate) pin: Option<IndexVersion>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) fanout: Fanout,
    /// Connections on which an attempt was sent, which no later attempt may use.
    pub(crate) connections: Vec<ConnectionId>,
    /// Number of retries, over all parts.
    pub(crate) retries: u32,
    /// Failed parts whose retry is deferred until the attempts in progress have ended.
    pub(crate) deferred: BTreeSet<PartId>,
    /// Whether the search yields to more urgent ones, as of the last decision; its parts then wait
    /// until a server has a free slot.
    pub(crate) yields: bool,
    /// Whether the search was restarted at a newer version.
    pub(crate) restarted: bool,
    /// Attempts whose part was split again; their replies are still merged.
    pub(crate) detached: Vec<AttemptId>,
    /// Keys that another home searches and has not replied to yet.
    delegated: KeySet,
    merge: Merge<C::Value>,
    /// Version and merged replies before the restart.
    previous: Option<(IndexVersion, Merge<C::Value>)>,
    next_part: PartId,
    /// Longest retry delay that a refusal gave.
    retry_after: Option<Duration>,
}

impl<C: Content> Search<C> {
    pub(crate) fn new(
        request: Request<C>,
        pin: Option<IndexVersion>,
        route: &Route,
        now: Time,
    ) -> Self {
        let mut search = Self {
            request,
            started: now,
            pin,
            parts: BTreeMap::new(),
            fanout: Fanout::default(),
            connections: Vec::new(),
            retries: 0,
            deferred: BTreeSet::new(),
            yields: false,
            restarted: false,
            detached: Vec::new(),
            delegated: KeySet::default(),
            merge: Merge::default(),
            previous: None,
            next_part: 0,
            retry_after: None,
        };
        search.delegated = search.request.scope.delegated.clone();
        let local = search.wanted(route).difference(&search.delegated);
        search.add_parts(&local, route, &Part::default());
        search
    }

    /// Returns the requested keys.
    fn wanted(&self, route: &Route) -> KeySet {
        let only = self.request.scope.only.clone();
        only.unwrap_or_else(|| KeySet::from(route.keys))
    }

    /// Returns the delegated keys and stops waiting for the other home.
    pub(crate) fn take_delegated(&mut self) -> KeySet {
        std::mem::take(&mut self.delegated)
    }

    /// Returns whether another home has yet to reply.
    pub(crate) fn has_delegated(&self) -> bool {
        !self.delegated.is_empty()
    }

    /// Merges the reply of another home.
    pub(crate) fn accept_delegated(&mut self, covered: &KeySet, reply: Reply<C::Value>) {
        self.merge.accept(covered, reply);
    }

    /// Adds parts without history for the keys, and returns their ids.
    pub(crate) fn add_new_parts(&mut self, keys: &KeySet, route: &Route) -> Vec<PartId> {
        self.add_parts(keys, route, &Part::default())
    }

    /// Adds parts for the keys and gives them up.
    pub(crate) fn give_up_keys(&mut self, keys: &KeySet, route: &Route, reason: Reason) {
        let origin = Part {
            last_failure: Some(reason),
            ..Part::default()
        };
        for part in self.add_parts(keys, route, &origin) {
            self.give_up(part);
        }
    }

    /// Splits the keys into parts by the groups of the current route, and returns the ids of the
    /// parts. They inherit the history of `origin`.
    pub(crate) fn add_parts(&mut self, keys: &KeySet, route: &Route, origin: &Part) -> Vec<PartId> {
        let mut ids = Vec::new();
        for (group, entry) in route.groups.iter().enumerate() {
            let wanted = keys.intersection(&KeySet::from(entry.keys));
            if wanted.is_empty() {
                continue;
            }
            let part = Part {
                group,
                wanted,
                tried: origin.tried.clone(),
                excluded: origin.excluded.clone(),
                attempts: origin.attempts,
                not_run: origin.not_run,
                last_failure: origin.last_failure,
                ..Part::default()
            };
            self.parts.insert(self.next_part, part);
            ids.push(self.next_part);
            self.next_part += 1;
        }
        ids
    }

    /// Returns the part's position in the queue.
    pub(crate) fn waiter(&self, part: PartId) -> Waiter {
        let request = &self.request;
        (request.class, self.started, request.id, Some(part))
    }

    /// Merges a reply of the pinned version, and removes its keys from all parts.
    pub(crate) fn accept(
        &mut self,
        part: PartId,
        requested: &KeySet,
        reply: Reply<C::Value>,
    ) -> Change {
        let new = self.merge.accept(requested, reply);
        let mut change = Change {
            progress: !new.is_empty(),
            ..Change::default()
        };
        // Parts are disjoint, so keys within this part are in no other one.
        let is_within_part = match self.parts.get(&part) {
            Some(own) => new.difference(&own.wanted).is_empty(),
            None => false,
        };
        if is_within_part {
            self.remove_merged(part, &new, &mut change);
            return change;
        }
        for id in self.parts.keys().copied().collect::<Vec<_>>() {
            self.remove_merged(id, &new, &mut change);
        }
        change
    }

    /// Returns whether a reply is of the pinned version, and this is at least `minimum`. The first
    /// such reply of an unpinned search pins its version.
    pub(crate) fn accepts_version(
        &mut self,
        version: Option<IndexVersion>,
        minimum: IndexVersion,
    ) -> bool {
        let Some(version) = version.filter(|version| *version >= minimum) else {
            return false;
        };
        *self.pin.get_or_insert(version) == version
    }

    /// Removes an attempt that has ended.
    pub(crate) fn remove_attempt(&mut self, part: PartId, attempt: AttemptId) {
        match self.parts.get_mut(&part) {
            Some(part) => part.live.retain(|live| *live != attempt),
            None => self.detached.retain(|live| *live != attempt),
        }
    }

    /// Excludes a server that can't serve the remaining keys of a part.
    pub(crate) fn exclude(&mut self, part: PartId, server: BackendServerId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.excluded.push(server);
        }
    }

    /// Stops making attempts for a part.
    pub(crate) fn give_up(&mut self, part: PartId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.give_up();
        }
    }

    fn remove_merged(&mut self, id: PartId, new: &KeySet, change: &mut Change) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        part.wanted = part.wanted.difference(new);
        if part.wanted.is_empty() {
            change.losers.extend(part.live.drain(..));
            self.parts.remove(&id);
        }
    }

    /// Restarts at a newer version, and returns the attempts to cancel.
    pub(crate) fn restart(&mut self, version: IndexVersion, route: &Route) -> Vec<AttemptId> {
        let merge = std::mem::take(&mut self.merge);
        if let Some(old) = self.pin.replace(version) {
            self.previous = Some((old, merge));
        }
        self.restarted = true;
        let live = self.live();
        self.parts.clear();
        self.deferred.clear();
        self.detached.clear();
        let local = self.wanted(route).difference(&self.delegated);
        self.add_parts(&local, route, &Part::default());
        live
    }

    /// Returns all attempts in progress.
    pub(crate) fn live(&self) -> Vec<AttemptId> {
        let parts = self.parts.values();
        let live = parts.flat_map(|part| &part.live);
        live.chain(&self.detached).copied().collect()
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(&mut self, part: PartId, failure: &Failure) {
        self.fanout.record_failure(failure);
        if let Some(part) = self.parts.get_mut(&part) {
            part.last_failure = Some(reason(failure));
            part.not_run += u32::from(failure.is_not_run());
        }
        if let Failure::Refused { retry_after, .. } = failure {
            self.retry_after = self.retry_after.max(*retry_after);
        }
    }

    /// Returns whether no attempt has run or can be running, here or at another home.
    pub(crate) fn has_not_run(&self) -> bool {
        self.fanout.not_run_proof().is_some() && !self.has_delegated()
    }

    /// Returns the share of the data that is merged.
    pub(crate) fn coverage(&self, route: &Route) -> f64 {
        self.share(self.merge.covered(), route)
    }

    fn share(&self, set: &KeySet, route: &Route) -> f64 {
        match &self.request.scope.only {
            Some(only) => coverage::share_of(set, only, route),
            None => coverage::share(set, route),
        }
    }

    /// Returns the share of the data that the answer can still cover, without the parts that were
    /// given up and without `excluding`.
    pub(crate) fn reachable(&self, route: &Route, excluding: Option<PartId>) -> f64 {
        let is_unreachable =
            |id: &PartId, part: &Part| part.given_up.is_some() || Some(*id) == excluding;
        let mut reachable = self.merge.covered().clone();
        reachable.union_with(&self.delegated);
        for (_, part) in self
            .parts
            .iter()
            .filter(|(id, part)| !is_unreachable(id, part))
        {
            reachable.union_with(&part.wanted);
        }
        self.share(&reachable, route)
    }

    /// Returns whether all requested keys are merged.
    pub(crate) fn is_complete(&self, route: &Route) -> bool {
        match &self.request.scope.only {
            Some(only) => only.difference(self.merge.covered()).is_empty(),
            None => coverage::is_complete(self.merge.covered(), route),
        }
    }

    /// Returns the requested keys that are neither merged, delegated nor in a part.
    pub(crate) fn unplanned(&self, route: &Route) -> KeySet {
        let mut planned = self.merge.covered().clone();
        planned.union_with(&self.delegated);
        for part in self.parts.values() {
            planned.union_with(&part.wanted);
        }
        self.wanted(route).difference(&planned)
    }

    /// Returns whether any part is pursued or another home has yet to reply.
    pub(crate) fn is_open(&self) -> bool {
        self.has_delegated() || self.parts.values().any(|part| part.given_up.is_none())
    }

    /// Returns the reason of the first part that was given up.
    pub(crate) fn reason(&self) -> Reason {
        let mut reasons = self.parts.values().filter_map(|part| part.given_up);
        reasons.next().unwrap_or(Reason::Unavailable)
    }

    /// Ends the search with the merged items. After a restart the version with the higher coverage
    /// is returned, the newer one if both are equal. Coverage below `min_coverage` is a failure.
    pub(crate) fn finish(
        mut self,
        route: &Route,
        min_coverage: f64,
        reason: Reason,
    ) -> Outcome<C::Value> {
        // The other home may have sent attempts, so "not run" is not proven.
        if self.has_delegated() {
            self.fanout.record_send();
        }
        let wanted = self.wanted(route);
        let share = |merge: &Merge<C::Value>| coverage::share_of(merge.covered(), &wanted, route);
        let current = share(&self.merge);
        let older = self
            .previous
            .filter(|(version, _)| *version >= route.minimum_index_version)
            .filter(|(_, merge)| share(merge) > current);
        let merged = older.or(self.pin.map(|version| (version, self.merge)));
        let minimum = route.minimum_index_version;
        let is_usable = |found: &(IndexVersion, Merge<C::Value>)| {
            found.0 >= minimum && !found.1.covered().is_empty() && share(&found.1) >= min_coverage
        };
        match merged.filter(is_usable) {
            Some((version, merge)) => Outcome::Answered(Answer {
                index_version: version,
                coverage: share(&merge),
                missing: wanted.difference(merge.covered()).ranges().to_vec(),
                items: merge.into_items(),
            }),
            None => outcome_without_answer(&self.fanout, reason, self.retry_after),
        }
    }
}

fn outcome_without_answer<V>(
    fanout: &Fanout,
    reason: Reason,
    retry_after: Option<Duration>,
) -> Outcome<V> {
    match fanout.not_run_proof() {
        Some(proof) => proof.into_outcome(reason, retry_after),
        None => Outcome::Failed {
            reason,
            retry_after: attempt::retry_after_or_default(reason, retry_after),
        },
    }
}

/// Returns the outcome reason that corresponds to a failure.
pub(crate) fn reason(failure: &Failure) -> Reason {
    match failure {
        Failure::Refused { refusal, .. } => refusal_reason(refusal),
        Failure::NotSent => Reason::Unavailable,
        Failure::ServerError { .. } => Reason::BackendServer,
        Failure::Lost | Failure::Dropped | Failure::Mismatched | Failure::Cancelled { .. } => {
            Reason::Lost
        }
    }
}

fn refusal_reason(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::Shedding | Refusal::Connections => Reason::Overload,
        Refusal::Draining | Refusal::Starting | Refusal::IndexVersion { .. } => Reason::Unavailable,
        Refusal::Deadline => Reason::Deadline,
        Refusal::Malformed => Reason::BackendServer,
    }
}

/// Returns whether every other server would fail the request in the same way.
pub(crate) fn is_final(failure: &Failure) -> bool {
    let malformed = Refusal::Malformed;
    matches!(failure, Failure::Refused { refusal, .. } if *refusal == malformed)
}
