//! Tracks when any daemon last reached the configuration service.
//!
//! Readers are selected by a hash, so all of them may be unable to reach the service while another daemon
//! can. Members therefore gossip the time of the last contact. If it is too long ago, other daemons call
//! the service as well, and the highest-ranked one that succeeds continues as an acting reader.

use crate::Time;
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum time without contact while readers work normally: the length of a watch, with a margin for a
/// failed call.
const MAX_QUIET_TIME: Duration = Duration::from_secs(6);

/// Additional time that gossip takes for each doubling of the number of members.
const GOSSIP_TIME_PER_DOUBLING: Duration = Duration::from_secs(1);

/// A contact with the service, as gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Member that reached the service.
    pub by: MemberId,
    /// Time since then.
    pub age: Duration,
}

/// The last contact with the service that this daemon knows of.
#[derive(Debug)]
pub(super) struct LastContact {
    last: Time,
    /// Member that reached the service; `None` if it was this daemon.
    by: Option<MemberId>,
    /// Whether there was a contact since the start.
    known: bool,
    /// Whether this daemon is an acting reader.
    acting: bool,
    /// Random addition to the quiet limit, so that daemons don't all call at the same time.
    jitter: Duration,
}

impl LastContact {
    pub(super) fn new(now: Time, jitter: Duration) -> Self {
        Self {
            last: now,
            by: None,
            known: false,
            acting: false,
            jitter,
        }
    }

    /// Records that this daemon reached the service.
    ///
    /// If it is not a reader, it stays an acting reader only if no other daemon reached the service in the
    /// meantime. Otherwise two acting readers could keep each other going.
    pub(super) fn record_reached(&mut self, reader: bool, peers: usize, now: Time) {
        self.acting = !reader && self.is_needed(peers, now);
        self.last = now;
        self.by = None;
        self.known = true;
    }

    /// Records that this daemon failed to reach the service.
    pub(super) fn record_failed(&mut self) {
        self.acting = false;
    }

    /// Records another member's contact. If that member outranks this one, it takes over as the acting
    /// reader.
    pub(super) fn record_peer(
        &mut self,
        contact: Contact,
        outranks: bool,
        peers: usize,
        now: Time,
    ) {
        let at = now.saturating_sub(contact.age);
        if at > self.last || !self.known {
            self.last = at;
            self.by = Some(contact.by);
            self.known = true;
        }
        if outranks && contact.age < quiet_limit(peers) {
            self.acting = false;
        }
    }

    /// Returns whether this daemon must call the service even if it is not a reader.
    pub(super) fn is_needed(&self, peers: usize, now: Time) -> bool {
        self.acting || now.saturating_sub(self.last) > quiet_limit(peers) + self.jitter
    }

    /// Returns the member that last reached the service (`None` for this daemon) and the time since then,
    /// or `None` if no contact is known.
    pub(super) fn latest(&self, now: Time) -> Option<(Option<MemberId>, Duration)> {
        self.known.then(|| (self.by, now.saturating_sub(self.last)))
    }

    /// Restarts the quiet time after a pause of the process.
    pub(super) fn restart(&mut self, now: Time) {
        self.last = now;
        self.acting = false;
    }
}

fn quiet_limit(peers: usize) -> Duration {
    let doublings = usize::BITS - peers.leading_zeros();
    MAX_QUIET_TIME + GOSSIP_TIME_PER_DOUBLING * doublings
}
