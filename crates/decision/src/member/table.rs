//! The members as one daemon sees them: entry points, and what happens as time passes.

use super::detector::Pending;
use super::event::{Action, BucketRange, Event, LogLine, ProbeId, Seed};
use super::roster::{BUCKETS, Roster};
use super::{Change, Incarnation, MemberId, Settings, State};
use crate::broadcast::Broadcast;
use crate::{Time, placement};
use monsoonring_configuration::id;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a mass death counts towards being isolated, and for which deaths declared by a
/// member that was itself declared dead are taken back.
pub(super) const ISOLATION_WINDOW: Duration = Duration::from_secs(30 * 60);

/// Deaths below this number never count as isolation.
const ISOLATION_DEATHS: usize = 2;

/// A resumed member that hears peers but can't copy a table goes on after this many patiences.
const PATIENCES: u32 = 6;

/// Members and their states, as this daemon knows them.
///
/// Invariant: the record of `own` is alive, or left once [`Event::Leave`] was fed; what others say
/// of it is contradicted, never believed.
#[derive(Debug)]
pub struct Table {
    pub(super) own: MemberId,
    pub(super) settings: Settings,
    pub(super) rng: ChaCha8Rng,
    pub(super) roster: Roster,
    pub(super) broadcast: Broadcast<MemberId>,
    /// The list of hosts; the value tells whether the host is leaving.
    pub(super) listed: BTreeMap<MemberId, bool>,
    /// Members in the order in which they are probed; those that are not serving are skipped.
    pub(super) round: Vec<MemberId>,
    pub(super) position: usize,
    pub(super) probes: BTreeMap<ProbeId, Pending>,
    pub(super) next_probe: ProbeId,
    pub(super) last_heard: Time,
    /// Members condemned while nothing at all was heard; nobody was told.
    pub(super) unspoken: BTreeSet<MemberId>,
    /// Copying of another's table, after a start or a pause.
    pub(super) copying: Option<(MemberId, BucketRange)>,
    /// Repair of one bucket that differs.
    pub(super) repairing: Option<MemberId>,
    /// Since when the table waits to be refreshed; `None` once it is current.
    pub(super) waiting: Option<Time>,
    /// Whether a newer process has this address.
    pub(super) superseded: bool,
    pub(super) isolated: bool,
    /// When it started, or woke from a pause.
    began: Time,
    /// Pages that were asked for since then.
    pub(super) pages: u32,
    last_tick: Option<Time>,
    due_probe: Time,
    due_revival: Time,
    due_burst: Time,
    pub(super) due_repair: Time,
    pub(super) out: Vec<Action>,
}

impl Table {
    /// Makes a table that knows only its own daemon.
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
            position: 0,
            probes: BTreeMap::new(),
            next_probe: 0,
            last_heard: now,
            unspoken: BTreeSet::new(),
            copying: None,
            repairing: None,
            waiting: Some(now),
            superseded: false,
            isolated: false,
            began: now,
            pages: 0,
            last_tick: None,
            due_probe: now,
            due_revival: now,
            due_burst: now,
            due_repair: now,
            out: Vec::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Probed(message) => self.probed(message, now),
            Event::Acked(probe, message) => {
                self.probes.remove(&probe);
                self.heard(message, now);
            }
            Event::Failed(probe) => self.failed(probe, now),
            Event::Overheard(message) => self.heard(message, now),
            Event::Listed(seeds) => self.list(&seeds),
            Event::Pulled(from, page) => self.pulled(from, page, now),
            Event::PullFailed(from) => self.pull_failed(from),
            Event::Burst => self.burst(now),
            Event::Leave { successor } => self.leave(successor, now),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the members that serve, this one included unless it has left, without the hosts
    /// that the list says are leaving.
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

    /// Returns the members that are suspected of being dead. The cost grows with these, not with
    /// all members.
    pub fn suspects(&self) -> impl Iterator<Item = MemberId> {
        self.roster.suspects().map(|record| record.change.id)
    }

    /// Returns what is known of a member.
    pub fn get(&self, id: MemberId) -> Option<&Change> {
        self.roster.get(id).map(|record| &record.change)
    }

    /// Returns all that is known, members that left or died lately included.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.roster.iter().map(|record| &record.change)
    }

    /// Returns the address of this member.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Number of members on record, those that left or died lately included.
    pub fn known(&self) -> usize {
        self.roster.len()
    }

    /// Number of members that serve, this one included.
    pub fn serving(&self) -> usize {
        self.roster.serving()
    }

    /// Tells whether new work may be taken: the table was refreshed from a peer since the start or
    /// the last pause (or no peer could be reached), and no newer process has this address.
    pub fn is_current(&self) -> bool {
        self.waiting.is_none() && !self.superseded
    }

    /// Tells whether so many members died at once that this side is more likely cut off.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    fn tick(&mut self, now: Time) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.pause_threshold {
            self.resume(gap, now);
        }
        self.give_up_probes(now);
        self.bury_suspects(now);
        if now >= self.due_probe {
            self.due_probe = now + self.period(now);
            self.probe_next(now);
            self.copy();
            self.note_isolation(now);
        }
        if now >= self.due_revival {
            self.due_revival = now + self.settings.revival_period;
            self.repairing = None;
            self.probe_unreached(now);
        }
        if self.waiting.is_none() {
            let end = now.checked_sub(self.settings.tombstone_life);
            end.into_iter()
                .for_each(|end| self.roster.forget_before(end));
        }
        self.settle(now);
    }

    fn period(&self, now: Time) -> Duration {
        match now < self.began + self.settings.startup {
            true => self.settings.startup_period,
            false => self.settings.period,
        }
    }

    /// The process slept, and its facts with it: members that it takes for alive may be dead, and
    /// what it had to pass on may be long refuted. Without this it would take work for a route
    /// whose home it no longer is, bury peers that it could not have heard, and spread old news;
    /// one would see members flap after each pause. Nothing old is passed on, suspicions start
    /// anew, and no new work is taken until a peer's table was copied.
    fn resume(&mut self, gap: Duration, now: Time) {
        self.waiting = Some(now);
        self.began = now;
        self.pages = 0;
        self.last_heard = now;
        self.copying = None;
        self.repairing = None;
        self.probes.clear();
        self.broadcast.clear();
        self.broadcast.push(self.own);
        self.roster.restart_suspicions(now);
        self.log("paused", self.own, format!("no tick for {gap:?}"));
        self.out.push(Action::Paused(gap));
    }

    /// Ends the wait of a member that finds nobody to copy from: a side that is cut off serves.
    fn settle(&mut self, now: Time) {
        let Some(since) = self.waiting else {
            return;
        };
        let waited = now.saturating_sub(since);
        let unheard = self.last_heard <= since;
        let patience = self.settings.refresh_timeout;
        if (unheard && waited >= patience) || waited >= patience * PATIENCES {
            self.waiting = None;
            self.copying = None;
            self.log(
                "alone",
                self.own,
                format!("nobody to copy from for {waited:?}"),
            );
        }
    }

    /// A partition looks like the death of everybody else. The dead that are listed stay under
    /// probes, so that the sides find each other again; operators see the difference here.
    fn note_isolation(&mut self, now: Time) {
        let deaths = self
            .roster
            .deaths_since(now.saturating_sub(ISOLATION_WINDOW))
            .count();
        let serving = self.serving();
        let isolated = deaths >= ISOLATION_DEATHS && deaths >= serving;
        if isolated != self.isolated {
            self.isolated = isolated;
            let what = if isolated { "isolated" } else { "rejoined" };
            self.log(what, self.own, format!("{deaths} dead, {serving} serving"));
        }
    }

    fn list(&mut self, seeds: &[Seed]) {
        let before = self.listed.get(&self.own).copied().unwrap_or(false);
        let listed = seeds.iter().map(|seed| (seed.id, seed.leaving)).collect();
        let old = std::mem::replace(&mut self.listed, listed);
        for (id, leaving) in self.listed.clone() {
            if old.get(&id).copied().unwrap_or(false) != leaving {
                if let Some(state) = self.get(id).map(|change| change.state) {
                    self.out.push(Action::Changed(id, state));
                }
            }
        }
        if !before && self.listed.get(&self.own).copied().unwrap_or(false) {
            self.log("listed_leaving", self.own, "the list of hosts".to_owned());
            self.out.push(Action::Leaving);
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
        self.due_burst = now;
        self.burst(now);
    }

    /// Probes a few members now; at most once a `burst_period`, so that bursts of news stay cheap.
    pub(super) fn burst(&mut self, now: Time) {
        if now < self.due_burst {
            return;
        }
        self.due_burst = now + self.settings.burst_period;
        for to in self.pick(self.settings.burst_fanout, self.own) {
            self.probe(to, now);
        }
    }

    pub(super) fn log(&mut self, what: &'static str, member: MemberId, why: String) {
        self.out.push(Action::Log(LogLine { what, member, why }));
    }

    pub(super) fn whole() -> BucketRange {
        BucketRange {
            first: 0,
            last: BUCKETS - 1,
        }
    }
}
