//! Requests that crash the backend servers that run them.

use crate::attempt::AttemptId;
use crate::{Fingerprint, Time};
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// What may be done with requests of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It may have crashed a server: no hedge, no retry, one attempt at a time.
    Quarantined,
    /// It crashes servers: refused until the given time.
    Refused(Time),
}

/// Evidence against fingerprints.
#[derive(Default)]
pub struct Table {}

impl Table {
    /// Makes a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what may be done with requests of a fingerprint.
    pub fn standing(&self, _fingerprint: Fingerprint, _now: Time) -> Standing {
        Standing::Clear
    }

    /// Tells whether another attempt of this fingerprint may be sent now: always when it is clear,
    /// one at a time in quarantine, never when refused.
    pub fn may_send(&self, _fingerprint: Fingerprint, _now: Time) -> bool {
        true
    }

    /// Records that an attempt was sent.
    pub fn sent(
        &mut self,
        _attempt: AttemptId,
        _fingerprint: Fingerprint,
        _server: BackendServerId,
        _now: Time,
    ) {
    }

    /// Records that an attempt was answered, which clears the evidence of the servers in
    /// `replicas`, those that hold the same part of the data.
    pub fn succeeded(&mut self, _attempt: AttemptId, _replicas: &[BackendServerId], _now: Time) {}

    /// Records that an attempt ended in a way that says nothing about crashes.
    pub fn ended(&mut self, _attempt: AttemptId, _now: Time) {}

    /// Records that the connection of an attempt was lost while it may have been running. Returns
    /// how long its fingerprint is refused from now on, if that is new: the other homes are to be
    /// told.
    pub fn lost(&mut self, _attempt: AttemptId, _now: Time) -> Option<(Fingerprint, Duration)> {
        None
    }

    /// Withdraws the evidence of a server whose process turned out to be alive.
    pub fn survived(&mut self, _server: BackendServerId, _now: Time) {}

    /// Takes over another home's finding.
    pub fn told(&mut self, _fingerprint: Fingerprint, _until: Time, _now: Time) {}

    /// Drops what is out of date.
    pub fn tick(&mut self, _now: Time) {}
}
