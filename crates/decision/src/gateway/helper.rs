//! Which host fans a search out in another one's place.
//!
//! A search over 36 shards costs some milliseconds of a whole core, which a host with an eighth of one
//! takes 30 ms for; a host with half a core takes 7. And the fewer hosts ask a backend server, the better
//! each knows it, and the more each may hold of its connections and of the extra attempts. So a host
//! hands its searches to one in its own data centre that is at least [`STRONGER`] times as strong, if
//! there is one: one hop of a tenth of a millisecond, and no byte between data centres. Where all hosts
//! are alike nobody hands on anything.
//!
//! Nothing depends on a helper: who finds none, or gets no answer, fans out by itself.

use crate::Time;
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much processor time a host has, in hundredths of a core.
pub type Strength = u32;

/// How many times as strong a helper is at least: below that, the hop costs what it saves.
pub const STRONGER: u32 = 2;

/// Pause after a helper was lost; it doubles with each further one.
const PAUSE: Duration = Duration::from_millis(500);
const PAUSE_DOUBLINGS: u32 = 4;

/// Pause after a helper declined: it has a full house, or another version of the configuration, for as
/// long as it takes a version to reach all hosts.
const DECLINED_PAUSE: Duration = Duration::from_millis(100);

/// How a helper ended a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer, whatever it says.
    Answered,
    /// It would not take it on.
    Declined,
    /// There was no answer.
    Lost,
    /// Nobody waits for the answer any more.
    Left,
}

#[derive(Clone, Copy, Debug)]
struct Helper {
    strength: Strength,
    outstanding: u32,
    failures: u32,
    paused: Option<Time>,
    /// Searches that were handed on in all when it was chosen last.
    turn: u64,
}

/// The hosts that fan out for this one.
#[derive(Clone, Debug)]
pub struct Table {
    own: Strength,
    helpers: BTreeMap<MemberId, Helper>,
    /// Searches handed on in all.
    turns: u64,
}

impl Table {
    /// Makes the table of a host with this strength.
    pub fn new(own: Strength) -> Self {
        Self {
            own,
            helpers: BTreeMap::new(),
            turns: 0,
        }
    }

    /// Takes in how strong a host in the same data centre is.
    pub fn told(&mut self, host: MemberId, strength: Strength) {
        if self.own == 0 || strength < self.own.saturating_mul(STRONGER) {
            self.helpers.remove(&host);
            return;
        }
        let new = Helper {
            strength,
            outstanding: 0,
            failures: 0,
            paused: None,
            turn: 0,
        };
        let helper = self.helpers.entry(host).or_insert(new);
        helper.strength = strength;
        // It has started, or a way to it has opened.
        helper.paused = None;
    }

    /// Chooses the helper with the fewest searches of this host for its strength, and among several the one that was
    /// chosen the longest ago; `None` where this host is on its own. Each may make a part of the extra attempts and hold
    /// a part of the connections: one that gets all searches leaves the others' parts unused.
    pub fn choose(&mut self, now: Time) -> Option<MemberId> {
        let ready = |helper: &Helper| helper.paused.is_none_or(|until| until <= now);
        let ready = self.helpers.iter().filter(|(_, helper)| ready(helper));
        let busy = |helper: &Helper| f64::from(helper.outstanding) / f64::from(helper.strength);
        let order = |one: &Helper, other: &Helper| {
            let busier = busy(one).total_cmp(&busy(other));
            busier.then(one.turn.cmp(&other.turn))
        };
        let chosen = ready.min_by(|(_, one), (_, other)| order(one, other));
        let chosen = chosen.map(|(host, _)| *host);
        if let Some(helper) = chosen.and_then(|host| self.helpers.get_mut(&host)) {
            self.turns += 1;
            helper.turn = self.turns;
            helper.outstanding += 1;
        }
        chosen
    }

    /// Records how a search ended that a helper was chosen for.
    pub fn ended(&mut self, host: MemberId, ended: Ended, now: Time) {
        let Some(helper) = self.helpers.get_mut(&host) else {
            return;
        };
        helper.outstanding = helper.outstanding.saturating_sub(1);
        match ended {
            Ended::Answered => helper.failures = 0,
            Ended::Declined => helper.paused = helper.paused.max(Some(now + DECLINED_PAUSE)),
            Ended::Lost => {
                let doublings = helper.failures.min(PAUSE_DOUBLINGS);
                helper.failures = helper.failures.saturating_add(1);
                helper.paused = helper.paused.max(Some(now + PAUSE * 2_u32.pow(doublings)));
            }
            Ended::Left => {}
        }
    }

    /// Tells whether any host fans out for this one.
    pub fn is_empty(&self) -> bool {
        self.helpers.is_empty()
    }
}
