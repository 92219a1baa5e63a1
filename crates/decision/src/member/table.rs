//! The member table: entry points and timers.

use super::detector::PendingProbe;
use super::event::{Action, BucketRange, Event, LogLine, ProbeId, Seed};
use super::roster::{BUCKETS, Roster};
use super::{Change, Incarnation, MemberId, Settings, State};
use crate::broadcast::Broadcast;
use crate::{Time, placement};
use monsoonring_configuration::id;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which deaths count as a sign of isolation, and within which a member that was itself
/// declared dead withdraws the deaths it declared.
pub(super) const ISOLATION_WINDOW: Duration = Duration::from_secs(30 * 60);

/// Minimum number of deaths for a member to be considered isolated.
const MIN_ISOLATION_DEATHS: usize = 2;

/// Number of refresh timeouts after which a member that receives messages but can't copy a table continues
/// without.
const MAX_REFRESH_TIMEOUTS: u32 = 6;

/// Members and their states, as known to this daemon.
///
/// Invariant: the record of `own` is alive, or left after [`Event::Leave`]. Changes received about it are
/// refuted, never applied.
#[derive(Debug)]
pub struct Table {
    pub(super) own: MemberId,
    pub(super) settings: Settings,
    pub(super) rng: ChaCha8Rng,
    pub(super) roster: Roster,
    pub(super) broadcast: Broadcast<MemberId>,
    /// Hosts in the platform's list, with whether they are marked as leaving.
    pub(super) listed: BTreeMap<MemberId, bool>,
    /// Members in the order in which they are probed in this round. Members that are not serving are
    /// skipped.
    pub(super) round: Vec<MemberId>,
    pub(super) round_position: usize,
    pub(super) probes: BTreeMap<ProbeId, PendingProbe>,
    pub(super) next_probe: ProbeId,
    pub(super) last_heard: Time,
    /// Members with a verdict that was not gossiped, because no messages were received at the time.
    pub(super) unpublished: BTreeSet<MemberId>,
    /// Peer whose table is being copied after a start or a pause, and the range to request next.
    pub(super) copying: Option<(MemberId, BucketRange)>,
    /// Peer from which a differing bucket was requested.
    pub(super) repairing: Option<MemberId>,
    /// Time at which the refresh of the table began; `None` once the table is current.
    pub(super) refreshing_since: Option<Time>,
    /// Whether a newer process uses this address.
    pub(super) superseded: bool,
    pub(super) isolated: bool,
    /// Time of the start or of the end of the last pause.
    started: Time,
    /// Number of pages requested since `started`.
    pub(super) pages_requested: u32,
    last_tick: Option<Time>,
    next_probe_at: Time,
    next_revival: Time,
    next_burst: Time,
    pub(super) next_repair: Time,
    pub(super) actions: Vec<Action>,
}

impl Table {
    /// Creates a table that contains only this member.
    pub fn new(
        own: placement::Member,
        start: id::Incarnation,
        settings: Settings,
        now: Time,
        rng: ChaCha8Rng,
    ) -> Self {
        let mut roster = Roster::new();
        let change = Change {
            id: own.id,
            incarnation: Incarnation {
                start,
                refutation: 0,
            },
            state: State::Alive,
            data_centre: own.data_centre,
        };
        let _ = roster.insert(change, now);
        let mut broadcast = Broadcast::new();
        broadcast.push(own.id);
        Self {
            own: own.id,
            settings,
            rng,
            roster,
            broadcast,
            listed: BTreeMap::new(),
            round: Vec::new(),
            round_position: 0,
            probes: BTreeMap::new(),
            next_probe: 0,
            last_heard: now,
            unpublished: BTreeSet::new(),
            copying: None,
            repairing: None,
            refreshing_since: Some(now),
            superseded: false,
            isolated: false,
            started: now,
            pages_requested: 0,
            last_tick: None,
            next_probe_at: now,
            next_revival: now,
            next_burst: now,
            next_repair: now,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Probed(message) => self.on_probe(message, now),
            Event::Acked(probe, message) => {
                self.probes.remove(&probe);
                self.on_message(message, now);
            }
            Event::Failed(probe) => self.on_probe_failed(probe, now),
            Event::Overheard(message) => self.on_message(message, now),
            Event::Listed(seeds) => self.update_listed(&seeds),
            Event::Pulled(from, page) => self.on_page(from, page, now),
            Event::PullFailed(from) => self.on_pull_failed(from),
            Event::Burst => self.burst(now),
            Event::Leave { successor } => self.leave(successor, now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the serving members, including this one unless it has left, without hosts marked as
    /// leaving.
    pub fn members(&self) -> Vec<placement::Member> {
        let leaving = |id: &MemberId| self.listed.get(id).copied().unwrap_or(false);
        self.roster
            .iter()
            .map(|record| &record.change)
            .filter(|change| change.state.is_serving() && !leaving(&change.id))
            .map(|change| placement::Member {
                id: change.id,
                data_centre: change.data_centre.clone(),
            })
            .collect()
    }

    /// Returns the suspected members, in time linear in their number.
    pub fn suspects(&self) -> impl Iterator<Item = MemberId> {
        self.roster.suspects().map(|record| record.change.id)
    }

    /// Returns the current record of a member.
    pub fn get(&self, id: MemberId) -> Option<&Change> {
        self.roster.get(id).map(|record| &record.change)
    }

    /// Returns the current records of all members, including tombstones of members that left or died.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.roster.iter().map(|record| &record.change)
    }

    /// Returns the peer address of this member.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Returns the number of records, including tombstones.
    pub fn known(&self) -> usize {
        self.roster.len()
    }

    /// Returns the number of serving members, including this one.
    pub fn serving(&self) -> usize {
        self.roster.serving()
    }

    /// Returns whether this daemon may accept new work: the table was refreshed from a peer since the start
    /// or the last pause (or no peer could be reached), and no newer process uses this address.
    pub fn is_current(&self) -> bool {
        self.refreshing_since.is_none() && !self.superseded
    }

    /// Returns whether so many members were declared dead that this side of a partition is probably the
    /// isolated one.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    fn tick(&mut self, now: Time) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.pause_threshold {
            self.resume(gap, now);
        }
        self.expire_probes(now);
        self.declare_overdue_dead(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.period(now);
            self.probe_next(now);
            self.request_page();
            self.update_isolation(now);
        }
        if now >= self.next_revival {
            self.next_revival = now + self.settings.revival_period;
            self.repairing = None;
            self.probe_unreached(now);
        }
        if self.refreshing_since.is_none() {
            let end = now.checked_sub(self.settings.tombstone_life);
            end.into_iter()
                .for_each(|end| self.roster.forget_before(end));
        }
        self.check_refresh_timeout(now);
    }

    fn period(&self, now: Time) -> Duration {
        match now < self.started + self.settings.startup {
            true => self.settings.startup_period,
            false => self.settings.period,
        }
    }

    /// Handles the end of a pause of the process, for example of its virtual machine.
    ///
    /// The table is outdated: members may have died, and changes still to be gossiped may have been
    /// refuted. Pending gossip is dropped, suspicions restart, and no new work is accepted until a peer's
    /// table was copied. Otherwise the daemon would accept work for routes whose home it no longer is,
    /// and make healthy members flap.
    fn resume(&mut self, gap: Duration, now: Time) {
        self.refreshing_since = Some(now);
        self.started = now;
        self.pages_requested = 0;
        self.last_heard = now;
        self.copying = None;
        self.repairing = None;
        self.probes.clear();
        self.broadcast.clear();
        self.broadcast.push(self.own);
        self.roster.restart_suspicions(now);
        self.log("paused", self.own, format!("no tick for {gap:?}"));
        self.actions.push(Action::Paused(gap));
    }

    /// Ends the refresh of a member that finds no peer to copy a table from, so that the isolated side of a
    /// partition keeps serving.
    fn check_refresh_timeout(&mut self, now: Time) {
        let Some(since) = self.refreshing_since else {
            return;
        };
        let waited = now.saturating_sub(since);
        let no_answer = self.last_heard <= since;
        let timeout = self.settings.refresh_timeout;
        if (no_answer && waited >= timeout) || waited >= timeout * MAX_REFRESH_TIMEOUTS {
            self.refreshing_since = None;
            self.copying = None;
            self.log(
                "alone",
                self.own,
                format!("no peer to copy a table from for {waited:?}"),
            );
        }
    }

    /// Detects and logs isolation. To a member, a partition looks like the death of all members on the
    /// other side.
    fn update_isolation(&mut self, now: Time) {
        let deaths = self
            .roster
            .deaths_since(now.saturating_sub(ISOLATION_WINDOW))
            .count();
        let serving = self.serving();
        let isolated = deaths >= MIN_ISOLATION_DEATHS && deaths >= serving;
        if isolated != self.isolated {
            self.isolated = isolated;
            let label = if isolated { "isolated" } else { "rejoined" };
            self.log(label, self.own, format!("{deaths} dead, {serving} serving"));
        }
    }

    fn update_listed(&mut self, seeds: &[Seed]) {
        let before = self.listed.get(&self.own).copied().unwrap_or(false);
        let listed = seeds.iter().map(|seed| (seed.id, seed.leaving)).collect();
        let old = std::mem::replace(&mut self.listed, listed);
        for (id, leaving) in self.listed.clone() {
            if old.get(&id).copied().unwrap_or(false) != leaving {
                if let Some(state) = self.get(id).map(|change| change.state) {
                    self.actions.push(Action::Changed(id, state));
                }
            }
        }
        if !before && self.listed.get(&self.own).copied().unwrap_or(false) {
            self.log(
                "listed_leaving",
                self.own,
                "marked as leaving in the list of hosts".to_owned(),
            );
            self.actions.push(Action::Leaving);
        }
    }

    fn leave(&mut self, successor: Option<MemberId>, now: Time) {
        let Some(own) = self.get(self.own).cloned() else {
            return;
        };
        let state = State::Left { successor };
        let _ = self.roster.insert(Change { state, ..own }, now);
        self.broadcast.push(self.own);
        self.log("left", self.own, format!("successor {successor:?}"));
        self.next_burst = now;
        self.burst(now);
    }

    /// Probes a few members immediately, at most once per `burst_period`, so that changes spread faster.
    pub(super) fn burst(&mut self, now: Time) {
        if now < self.next_burst {
            return;
        }
        self.next_burst = now + self.settings.burst_period;
        for to in self.pick_random(self.settings.burst_fanout, self.own) {
            self.probe(to, now);
        }
    }

    pub(super) fn log(&mut self, label: &'static str, member: MemberId, reason: String) {
        self.actions.push(Action::Log(LogLine {
            label,
            member,
            reason,
        }));
    }

    pub(super) fn all_buckets() -> BucketRange {
        BucketRange {
            first: 0,
            last: BUCKETS - 1,
        }
    }
}
