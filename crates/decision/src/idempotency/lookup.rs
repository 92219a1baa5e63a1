//! Finding who knows of a key, by asking the other members.
//!
//! Members answer from their own ledgers; nobody is told what he doesn't ask. Only a positive
//! answer counts: that nobody knows of a key proves nothing, as the one who knew may be gone. So
//! it is safe to ask fewer members, such as the homes of the route, and costs only "unknown".

use super::fence::Phase;
use super::key::Fence;
use super::ledger::Ledger;
use super::record::{Outcome, Record, State};
use crate::Fingerprint;
use monsoonring_configuration::id::CallerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is asked of each member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Lookup {
    /// What is known of a caller's own key?
    Own {
        /// The caller.
        caller: CallerId,
        /// Text of the key.
        key: Box<str>,
        /// Hash of route and body that it came with.
        fingerprint: Fingerprint,
    },
    /// Who holds a fence whose incarnation can't be reached?
    Fence(Fence),
}

/// What a member knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// Nothing.
    Nothing,
    /// It holds the fence: the request can be passed to it.
    Holds,
    /// The own key is running there: a send passed to it joins.
    Running,
    /// The own key was used there for another request.
    Mismatch,
    /// The own key ended like this.
    Done(Outcome),
}

/// What follows from the answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Resolution {
    /// Pass the request to this member.
    PassTo(SocketAddr),
    /// Tell the recorded outcome.
    Replay(Outcome),
    /// Refuse: the key was used for another request.
    Mismatch,
    /// Tell "unknown"; nothing is run.
    Unknown,
}

impl Ledger {
    /// Answers another member's question.
    pub fn answer(&self, question: &Lookup) -> Finding {
        match question {
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
        if closed || !self.estates.contains_key(&fence) {
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

/// One question on its way through the members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Poll {
    waiting: BTreeSet<SocketAddr>,
    unreachable: bool,
    not_run: Option<Outcome>,
}

impl Poll {
    /// Returns a poll of these members, this daemon not included.
    pub fn new(members: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            waiting: members.into_iter().collect(),
            unreachable: false,
            not_run: None,
        }
    }

    /// Members that haven't answered yet.
    pub fn waiting(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.waiting.iter().copied()
    }

    /// Takes a member's answer, `None` where it could not be asked or didn't answer in time.
    /// Returns what follows, once that is certain.
    pub fn record_reply(
        &mut self,
        member: SocketAddr,
        answer: Option<Finding>,
    ) -> Option<Resolution> {
        self.waiting.remove(&member);
        match answer {
            None => self.unreachable = true,
            Some(Finding::Nothing) => {}
            Some(Finding::Holds | Finding::Running) => {
                return Some(Resolution::PassTo(member));
            }
            Some(Finding::Mismatch) => return Some(Resolution::Mismatch),
            Some(Finding::Done(outcome)) if outcome.is_not_run() => self.not_run = Some(outcome),
            Some(Finding::Done(outcome)) => return Some(Resolution::Replay(outcome)),
        }
        self.resolve()
    }

    /// Returns what follows if nobody is left to ask. "Not run" is said only if everyone
    /// answered: where a first send was repeated against the rule, another member may have run it.
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
