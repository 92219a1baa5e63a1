//! Lets single requests through that would be refused because of an estimate.
//!
//! A refused request corrects no estimate, so a wrong one would refuse requests for good. One request after each pause
//! tests it. The pauses grow, since requests that really can't be served keep servers busy, and they grow with the
//! number of homes, which may all hold the same estimate.

use crate::{Time, WorkKind};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the first refusal to the first probe; each further pause is twice as long.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause per home: all homes together send a probe in this time.
const MAX_PAUSE_PER_HOME: Duration = Duration::from_secs(1);

/// Longest pause of any home, which bounds the time for which a wrong estimate holds.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Time without such a request after which the pauses start over.
const EXPIRY: Duration = Duration::from_secs(20);

/// Maximum number of kinds tracked.
const MAX_KINDS: usize = 32;

/// Probes of one kind of request.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    next: Time,
    pause: Duration,
    last_request: Time,
}

/// Probes by kind of request.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes(BTreeMap<WorkKind, Schedule>);

impl Probes {
    /// Returns whether a request that an estimate rules out is admitted as a probe. `homes` is the number of homes that
    /// may hold the same estimate, this one included.
    pub(super) fn admit(&mut self, work: WorkKind, homes: f64, now: Time) -> bool {
        self.0
            .retain(|_, schedule| schedule.last_request + EXPIRY > now);
        let is_known = self.0.contains_key(&work);
        if !is_known && self.0.len() >= MAX_KINDS {
            return false;
        }
        let schedule = self.0.entry(work).or_insert(Schedule {
            next: now + MIN_PAUSE,
            pause: MIN_PAUSE,
            last_request: now,
        });
        schedule.last_request = now;
        if now < schedule.next {
            return false;
        }
        let max_pause = MAX_PAUSE_PER_HOME.mul_f64(homes.max(1.0)).min(MAX_PAUSE);
        schedule.pause = (schedule.pause * 2).min(max_pause);
        schedule.next = now + schedule.pause;
        true
    }
}
