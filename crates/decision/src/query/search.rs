//! A search in progress.
//!
//! A run is a set of parts, each a set of keys of one group that somebody has to look through. The
//! parts' keys are disjoint and disjoint from what is merged; what is neither merged nor in a part
//! does not exist, so a hole can't be hidden. A reply takes keys out of parts, wherever they stand
//! after a repartitioning; a new route deals the missing keys out again.

use super::attempt::{self, Fanout};
use super::coverage::{self, KeySet};
use super::merge::Merge;
use crate::attempt::{AttemptId, Failure, Refusal};
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

/// Id of a part, unique within its run.
pub(crate) type PartId = u32;

/// A request, or a part of one, that waits: the most urgent class goes first, then the oldest.
pub(crate) type Waiter = (Class, Time, RequestId, Option<PartId>);

/// Why an attempt is made; it decides what the attempt costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Nobody has been asked for these keys.
    #[default]
    First,
    /// An attempt failed after it had left: one more out of the retry budget.
    Retry,
    /// An attempt did not leave, or its reply covered a part: what remains costs no budget. It
    /// can't go on for long, as each such server is not asked again for these keys.
    Remainder,
    /// An attempt is slower than is usual: a second one out of what the hedge budget has to spare.
    Hedge,
    /// An attempt is among the slowest of its group, and was not hedged: a second one out of the
    /// whole hedge budget.
    LateHedge,
    /// An attempt is far slower than its server ever is, and was not hedged: a second one out of the
    /// retry budget. Silence meets many attempts at once, and hedges are meant for a few.
    Overdue,
}

impl Cause {
    /// Tells whether the attempt is one beside another that is slow.
    pub(crate) fn is_hedge(self) -> bool {
        matches!(self, Self::Hedge | Self::LateHedge)
    }

    /// Tells whether the attempt is made beside another one for the same keys.
    pub(crate) fn is_second(self) -> bool {
        matches!(self, Self::Hedge | Self::LateHedge | Self::Overdue)
    }

    /// Returns the word for the log.
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
    /// The keys.
    pub(crate) wanted: KeySet,
    /// Attempts queued or sent for these keys.
    pub(crate) live: SmallVec<[AttemptId; 2]>,
    /// Servers that had an attempt; another one is preferred.
    pub(crate) tried: SmallVec<[BackendServerId; 1]>,
    /// Servers that can't serve these keys at the pinned version.
    pub(crate) unable: SmallVec<[BackendServerId; 1]>,
    /// Attempts made, hedges included.
    pub(crate) attempts: u32,
    /// Those of them that provably did not run.
    pub(crate) not_run: u32,
    /// Why the next attempt is made.
    pub(crate) cause: Cause,
    /// How the last attempt ended.
    pub(crate) last_failure: Option<Reason>,
    /// Why nobody will be asked any more.
    pub(crate) given_up: Option<Reason>,
    /// Whether every server in question has turned out not to serve the pinned version.
    pub(crate) vanished: bool,
}

impl Part {
    /// Returns how many attempts may have run, or may still do.
    pub(crate) fn may_have_run(&self) -> u32 {
        self.attempts.saturating_sub(self.not_run)
    }

    /// Stops asking for these keys.
    pub(crate) fn give_up(&mut self) {
        self.given_up = Some(self.last_failure.unwrap_or(Reason::Unavailable));
    }
}

/// What an accepted reply changed.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// Attempts that nobody needs any more.
    pub(crate) losers: Vec<AttemptId>,
    /// Whether the reply added any key.
    pub(crate) progress: bool,
}

/// A search in progress.
#[derive(Debug)]
pub(crate) struct Search<C: Content> {
    pub(crate) request: Request<C>,
    pub(crate) started: Time,
    /// The one version that is merged; `None` until the first reply of an unpinned run.
    pub(crate) pin: Option<IndexVersion>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) fanout: Fanout,
    /// Retries made, over all parts.
    pub(crate) retries: u32,
    /// Failed parts that wait for what becomes of the others.
    pub(crate) deferred: BTreeSet<PartId>,
    /// Whether its parts are held back until a server has a slot free, when last decided.
    pub(crate) yields: bool,
    /// Whether the run has begun again at a newer version.
    pub(crate) restarted: bool,
    /// Attempts whose part was dealt out again; their replies are still welcome.
    pub(crate) detached: Vec<AttemptId>,
    /// Keys that another home looks through and has not told of yet.
    delegated: KeySet,
    merge: Merge<C::Value>,
    previous: Option<(IndexVersion, Merge<C::Value>)>,
    next_part: PartId,
    retry_after: Option<Duration>,
}

impl<C: Content> Search<C> {
    pub(crate) fn new(
        request: Request<C>,
        pin: Option<IndexVersion>,
        route: &Route,
        now: Time,
    ) -> Self {
        let mut run = Self {
            request,
            started: now,
            pin,
            parts: BTreeMap::new(),
            fanout: Fanout::default(),
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
        run.delegated = run.request.scope.delegated.clone();
        let here = run.wanted(route).difference(&run.delegated);
        run.add_parts(&here, route, &Part::default());
        run
    }

    /// Returns the keys that the request asks for.
    fn wanted(&self, route: &Route) -> KeySet {
        let only = self.request.scope.only.clone();
        only.unwrap_or_else(|| KeySet::from(route.keys))
    }

    /// Returns the keys that another home looks through, which is not waited for any more.
    pub(crate) fn take_delegated(&mut self) -> KeySet {
        std::mem::take(&mut self.delegated)
    }

    /// Tells whether another home is still waited for.
    pub(crate) fn has_delegated(&self) -> bool {
        !self.delegated.is_empty()
    }

    /// Takes what another home has covered.
    pub(crate) fn accept_delegated(&mut self, covered: &KeySet, reply: Reply<C::Value>) {
        self.merge.accept(covered, reply);
    }

    /// Makes parts of keys that nobody has asked for.
    pub(crate) fn add_new_parts(&mut self, keys: &KeySet, route: &Route) -> Vec<PartId> {
        self.add_parts(keys, route, &Part::default())
    }

    /// Gives up keys that nobody here has asked for.
    pub(crate) fn give_up_keys(&mut self, keys: &KeySet, route: &Route, reason: Reason) {
        let origin = Part {
            last_failure: Some(reason),
            ..Part::default()
        };
        for part in self.add_parts(keys, route, &origin) {
            self.give_up(part);
        }
    }

    /// Makes parts of the keys by the groups that hold them now, and returns their ids. Their
    /// history is that of `origin`.
    pub(crate) fn add_parts(&mut self, keys: &KeySet, route: &Route, origin: &Part) -> Vec<PartId> {
        let mut made = Vec::new();
        for (group, placed) in route.groups.iter().enumerate() {
            let wanted = keys.intersection(&KeySet::from(placed.keys));
            if wanted.is_empty() {
                continue;
            }
            let part = Part {
                group,
                wanted,
                tried: origin.tried.clone(),
                unable: origin.unable.clone(),
                attempts: origin.attempts,
                not_run: origin.not_run,
                last_failure: origin.last_failure,
                ..Part::default()
            };
            self.parts.insert(self.next_part, part);
            made.push(self.next_part);
            self.next_part += 1;
        }
        made
    }

    /// Returns the place of a part among those who wait.
    pub(crate) fn waiter(&self, part: PartId) -> Waiter {
        let request = &self.request;
        (request.class, self.started, request.id, Some(part))
    }

    /// Takes a reply of the pinned version, and says who is not needed any more.
    pub(crate) fn accept(
        &mut self,
        part: PartId,
        asked: &KeySet,
        reply: Reply<C::Value>,
    ) -> Change {
        let new = self.merge.accept(asked, reply);
        let mut change = Change {
            progress: !new.is_empty(),
            ..Change::default()
        };
        let whole = match self.parts.get(&part) {
            Some(own) => new.difference(&own.wanted).is_empty(),
            None => false,
        };
        if whole {
            self.take(part, &new, &mut change);
            return change;
        }
        for id in self.parts.keys().copied().collect::<Vec<_>>() {
            self.take(id, &new, &mut change);
        }
        change
    }

    /// Tells whether a reply is from the pinned version. The first reply of an unpinned run pins
    /// it.
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

    /// Notes that an attempt has ended.
    pub(crate) fn remove_attempt(&mut self, part: PartId, attempt: AttemptId) {
        match self.parts.get_mut(&part) {
            Some(part) => part.live.retain(|live| *live != attempt),
            None => self.detached.retain(|live| *live != attempt),
        }
    }

    /// Notes that a server can't serve what a part still lacks.
    pub(crate) fn exclude(&mut self, part: PartId, server: BackendServerId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.unable.push(server);
        }
    }

    /// Stops asking for the keys of a part.
    pub(crate) fn give_up(&mut self, part: PartId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.give_up();
        }
    }

    fn take(&mut self, id: PartId, new: &KeySet, change: &mut Change) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        part.wanted = part.wanted.difference(new);
        if part.wanted.is_empty() {
            change.losers.extend(part.live.drain(..));
            self.parts.remove(&id);
        }
    }

    /// Begins again at a newer version; returns the attempts that are of no more use.
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
        let here = self.wanted(route).difference(&self.delegated);
        self.add_parts(&here, route, &Part::default());
        live
    }

    /// Returns all attempts in progress.
    pub(crate) fn live(&self) -> Vec<AttemptId> {
        let parts = self.parts.values();
        let live = parts.flat_map(|part| &part.live);
        live.chain(&self.detached).copied().collect()
    }

    /// Notes how an attempt failed.
    pub(crate) fn record_failure(&mut self, part: PartId, failure: &Failure) {
        self.fanout.fail(failure);
        if let Some(part) = self.parts.get_mut(&part) {
            part.last_failure = Some(reason(failure));
            part.not_run += u32::from(failure.is_not_run());
        }
        if let Failure::Refused { retry_after, .. } = failure {
            self.retry_after = self.retry_after.max(*retry_after);
        }
    }

    /// Share of the data that the answer would cover now.
    pub(crate) fn coverage(&self, route: &Route) -> f64 {
        self.share(self.merge.covered(), route)
    }

    fn share(&self, set: &KeySet, route: &Route) -> f64 {
        match &self.request.scope.only {
            Some(only) => coverage::share_of(set, only, route),
            None => coverage::share(set, route),
        }
    }

    /// Share of the data that the answer can still cover: without the parts that were given up, and
    /// without `other` if one is named.
    pub(crate) fn reachable(&self, route: &Route, other: Option<PartId>) -> f64 {
        let lost = |id: &PartId, part: &Part| part.given_up.is_some() || Some(*id) == other;
        let mut reachable = self.merge.covered().clone();
        reachable.union_with(&self.delegated);
        for (_, part) in self.parts.iter().filter(|(id, part)| !lost(id, part)) {
            reachable.union_with(&part.wanted);
        }
        self.share(&reachable, route)
    }

    /// Tells whether every key asked for has been merged.
    pub(crate) fn is_complete(&self, route: &Route) -> bool {
        match &self.request.scope.only {
            Some(only) => only.difference(self.merge.covered()).is_empty(),
            None => coverage::is_complete(self.merge.covered(), route),
        }
    }

    /// Returns the keys that are neither merged nor in a part.
    pub(crate) fn unplanned(&self, route: &Route) -> KeySet {
        let mut planned = self.merge.covered().clone();
        planned.union_with(&self.delegated);
        for part in self.parts.values() {
            planned.union_with(&part.wanted);
        }
        self.wanted(route).difference(&planned)
    }

    /// Tells whether somebody still works on the run, or is expected to.
    pub(crate) fn is_open(&self) -> bool {
        self.has_delegated() || self.parts.values().any(|part| part.given_up.is_none())
    }

    /// Returns why parts were given up: the first of them speaks for all.
    pub(crate) fn reason(&self) -> Reason {
        let mut reasons = self.parts.values().filter_map(|part| part.given_up);
        reasons.next().unwrap_or(Reason::Unavailable)
    }

    /// Ends the run with what it has. After a restart the better covered of the two versions is
    /// given, the newer one if they are equal. An answer that covers less than `least` is none.
    pub(crate) fn finish(mut self, route: &Route, least: f64, reason: Reason) -> Outcome<C::Value> {
        // Another home may have begun what it has not told of.
        if self.has_delegated() {
            self.fanout.send();
        }
        let wanted = self.wanted(route);
        let share = |merge: &Merge<C::Value>| coverage::share_of(merge.covered(), &wanted, route);
        let here = share(&self.merge);
        let before = self
            .previous
            .filter(|(version, _)| *version >= route.minimum_index_version)
            .filter(|(_, merge)| share(merge) > here);
        let merged = before.or(self.pin.map(|version| (version, self.merge)));
        let minimum = route.minimum_index_version;
        let may = |found: &(IndexVersion, Merge<C::Value>)| {
            found.0 >= minimum && !found.1.covered().is_empty() && share(&found.1) >= least
        };
        match merged.filter(may) {
            Some((version, merge)) => Outcome::Answered(Answer {
                index_version: version,
                coverage: share(&merge),
                missing: wanted.difference(merge.covered()).ranges().to_vec(),
                items: merge.into_items(),
            }),
            None => refusal(&self.fanout, reason, self.retry_after),
        }
    }
}

fn refusal<V>(fanout: &Fanout, reason: Reason, retry_after: Option<Duration>) -> Outcome<V> {
    match fanout.unrun() {
        Some(unrun) => unrun.into_outcome(reason, retry_after),
        None => Outcome::Failed {
            reason,
            retry_after: attempt::retry_after_or_default(reason, retry_after),
        },
    }
}

/// Returns the reason that a failure gives for giving up.
pub(crate) fn reason(failure: &Failure) -> Reason {
    match failure {
        Failure::Refused { refusal, .. } => refused(refusal),
        Failure::NotSent => Reason::Unavailable,
        Failure::ServerError { .. } => Reason::BackendServer,
        Failure::Lost | Failure::Dropped | Failure::Mismatched | Failure::Cancelled { .. } => {
            Reason::Lost
        }
    }
}

fn refused(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::Shedding | Refusal::Connections => Reason::Overload,
        Refusal::Draining | Refusal::Starting | Refusal::IndexVersion { .. } => Reason::Unavailable,
        Refusal::Deadline => Reason::Deadline,
        Refusal::Malformed => Reason::BackendServer,
    }
}

/// Tells whether another server would answer the same.
pub(crate) fn is_final(failure: &Failure) -> bool {
    let malformed = Refusal::Malformed;
    matches!(failure, Failure::Refused { refusal, .. } if *refusal == malformed)
}
