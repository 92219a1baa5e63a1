//! Lookup of a key or a fence at the other members.
//!
//! Each member answers from its own ledger. Only a positive finding counts: if no member knows a
//! key, the member that ran it may have failed. It is therefore safe to poll fewer members, such as
//! the homes of the route; the caller may then get "unknown".

use super::fence::Phase;
use super::key::Fence;
use super::ledger::Ledger;
use super::record::{Outcome, Record, State};
use crate::Fingerprint;
use monsoonring_configuration::id::CallerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A lookup sent to each polled member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Lookup {
    /// Finds the record of a caller's own key.
    Own {
        /// The caller that chose the key.
        caller: CallerId,
        /// Text of the key.
        key: Box<str>,
        /// Hash of the route and body of the request.
        fingerprint: Fingerprint,
    },
    /// Finds the holder of a fence whose incarnation can't be reached.
    Fence(Fence),
}

/// Reply of one member to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// The member has no record of the key, or doesn't hold the fence.
    Nothing,
    /// The member holds the fence: forward the request to it.
    Holds,
    /// The own key is running there: a forwarded send joins it.
    Running,
    /// The own key was used there for a request with another fingerprint.
    Mismatch,
    /// The own key ended with this outcome.
    Done(Outcome),
}

/// Result of a poll.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Resolution {
    /// Forward the request to this member.
    ForwardTo(SocketAddr),
    /// Return the recorded outcome.
    Replay(Outcome),
    /// Refuse the request: the key was used for another one.
    Mismatch,
    /// Answer "unknown" without running the request.
    Unknown,
}

impl Ledger {
    /// Answers the lookup of another member.
    pub fn answer(&self, lookup: &Lookup) -> Finding {
        match lookup {
            Lookup::Fence(fence) => self.answer_fence(*fence),
            Lookup::Own {
                caller,
                key,
                fingerprint,
            } => {
                let record = self.own.get(&(caller.clone(), key.clone()));
                record.map_or(Finding::Nothing, |record| answer_own(record, *fingerprint))
            }
        }
    }

    fn answer_fence(&self, fence: Fence) -> Finding {
        let closed = matches!(self.phase, Phase::Closed { .. });
        if closed || !self.fences.contains_key(&fence) {
            return Finding::Nothing;
        }
        Finding::Holds
    }
}

fn answer_own(record: &Record, fingerprint: Fingerprint) -> Finding {
    if record.fingerprint != fingerprint {
        return Finding::Mismatch;
    }
    match &record.state {
        State::Running { .. } => Finding::Running,
        State::Done(outcome) => Finding::Done(outcome.clone()),
    }
}

/// Progress of one lookup over several members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Poll {
    waiting: BTreeSet<SocketAddr>,
    unreachable: bool,
    not_run: Option<Outcome>,
}

impl Poll {
    /// Returns a poll of these members, which exclude this daemon.
    pub fn new(members: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            waiting: members.into_iter().collect(),
            unreachable: false,
            not_run: None,
        }
    }

    /// Returns the members that haven't replied yet.
    pub fn waiting(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.waiting.iter().copied()
    }

    /// Records a member's reply, `None` if it was unreachable or timed out. Returns the resolution
    /// as soon as it is certain.
    pub fn record_reply(
        &mut self,
        member: SocketAddr,
        finding: Option<Finding>,
    ) -> Option<Resolution> {
        self.waiting.remove(&member);
        match finding {
            None => self.unreachable = true,
            Some(Finding::Nothing) => {}
            Some(Finding::Holds | Finding::Running) => return Some(Resolution::ForwardTo(member)),
            Some(Finding::Mismatch) => return Some(Resolution::Mismatch),
            Some(Finding::Done(outcome)) if outcome.is_not_run() => self.not_run = Some(outcome),
            Some(Finding::Done(outcome)) => return Some(Resolution::Replay(outcome)),
        }
        self.resolve()
    }

    /// Returns the resolution if all members have replied or failed. "Not run" requires a reply
    /// from every member: if a caller marks a retry as a first send, another member may have run
    /// it.
    pub fn resolve(&self) -> Option<Resolution> {
        if !self.waiting.is_empty() {
            return None;
        }
        match &self.not_run {
            Some(outcome) if !self.unreachable => Some(Resolution::Replay(outcome.clone())),
            _ => Some(Resolution::Unknown),
        }
    }
}
