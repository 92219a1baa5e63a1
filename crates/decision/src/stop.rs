//! How a daemon stops without cutting a request off.
//!
//! The life cycle is a typestate, so that a daemon that has begun to stop can't serve again:
//!
//! - In [`Serving`], it is ready.
//! - In [`Draining`], it is not ready. For a notice period the balancer and the other members
//!   still send, as they have not seen it yet, and what they send is still served; after it, what
//!   is new is refused as not run. What is in flight goes on, also what others passed on.
//! - In [`HandingOver`], nothing is in flight; the ledger of [`crate::idempotency`] goes to a
//!   successor.
//! - In [`Done`], it exits.
//!
//! A second signal or the bound leads to [`Done`] from anywhere, with a list of what was cut.

use crate::{RequestId, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for the balancer and the members to see that the daemon isn't ready.
    pub notice: Duration,
    /// Time from the signal after which what is in flight is cut.
    pub bound: Duration,
    /// Time that the handover may take, after all else and beyond the bound if need be.
    pub handover: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(3),
            bound: Duration::from_secs(30),
            handover: Duration::from_secs(2),
        }
    }
}

/// Where a request in flight came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which passed it on.
    Member(SocketAddr),
}

/// Why a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All was finished and the ledger is with its successor.
    Complete,
    /// All was finished; the handover was not acknowledged.
    HandoverFailed,
    /// The bound was reached.
    Bound,
    /// A second signal came.
    Signal,
}

/// A request that was in flight at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Its id.
    pub request: RequestId,
    /// Where it came from.
    pub origin: Origin,
}

/// State of a daemon that serves.
#[derive(Debug)]
pub struct Serving(());

/// State of a daemon that finishes what is in flight.
#[derive(Debug)]
pub struct Draining {
    since: Time,
}

/// State of a daemon that leaves its ledger to a successor.
#[derive(Debug)]
pub struct HandingOver {
    until: Time,
}

/// State of a daemon that exits.
#[derive(Debug)]
pub struct Done {
    end: End,
}

/// Life cycle of a daemon.
#[derive(Debug)]
pub struct Stop<S> {
    limits: Limits,
    in_flight: BTreeMap<RequestId, Origin>,
    state: S,
}

/// What a draining daemon does next.
#[derive(Debug)]
pub enum Next {
    /// Wait until this time, or until the last request has ended.
    Wait(Stop<Draining>, Time),
    /// Hand the ledger over.
    HandOver(Stop<HandingOver>),
    /// Exit.
    Done(Stop<Done>),
}

impl<S> Stop<S> {
    /// Notes that a request has been answered.
    pub fn ended(&mut self, request: RequestId) {
        self.in_flight.remove(&request);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    fn into_state<T>(self, state: T) -> Stop<T> {
        Stop {
            limits: self.limits,
            in_flight: self.in_flight,
            state,
        }
    }

    fn end(self, end: End) -> Stop<Done> {
        self.into_state(Done { end })
    }
}

impl Stop<Serving> {
    /// Returns the life cycle of a daemon that serves.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            in_flight: BTreeMap::new(),
            state: Serving(()),
        }
    }

    /// Notes that a request is in flight.
    pub fn begun(&mut self, request: RequestId, origin: Origin) {
        self.in_flight.insert(request, origin);
    }

    /// Takes the first signal: the daemon is no longer ready.
    #[must_use]
    pub fn signal(self, now: Time) -> Stop<Draining> {
        self.into_state(Draining { since: now })
    }
}

impl Stop<Draining> {
    /// Tells whether a new request is still taken, and notes it as in flight if so. One that isn't
    /// taken is refused as not run; one with a key is refused by the drained ledger, which records
    /// that.
    #[must_use]
    pub fn begun(&mut self, request: RequestId, origin: Origin, now: Time) -> bool {
        let taken = now < self.noticed();
        if taken {
            self.in_flight.insert(request, origin);
        }
        taken
    }

    /// Takes the second signal.
    #[must_use]
    pub fn signal(self) -> Stop<Done> {
        self.end(End::Signal)
    }

    /// Goes on as far as the time and the requests in flight allow.
    #[must_use]
    pub fn tick(self, now: Time) -> Next {
        let bound = self.bound();
        if now >= bound && !self.in_flight.is_empty() {
            return Next::Done(self.end(End::Bound));
        }
        if now < self.noticed() {
            let noticed = self.noticed();
            return Next::Wait(self, noticed);
        }
        if !self.in_flight.is_empty() {
            return Next::Wait(self, bound);
        }
        let until = now + self.limits.handover;
        Next::HandOver(self.into_state(HandingOver { until }))
    }

    fn noticed(&self) -> Time {
        self.state.since + self.limits.notice
    }

    fn bound(&self) -> Time {
        self.state.since + self.limits.bound
    }
}

impl Stop<HandingOver> {
    /// Returns the time by which the handover is given up.
    pub fn until(&self) -> Time {
        self.state.until
    }

    /// Notes that the successor has the ledger.
    #[must_use]
    pub fn acknowledged(self) -> Stop<Done> {
        self.end(End::Complete)
    }

    /// Gives the handover up: no member could take it, or its time is over.
    #[must_use]
    pub fn failed(self) -> Stop<Done> {
        self.end(End::HandoverFailed)
    }

    /// Takes the second signal.
    #[must_use]
    pub fn signal(self) -> Stop<Done> {
        self.end(End::Signal)
    }
}

impl Stop<Done> {
    /// Returns why the stop ended.
    pub fn why(&self) -> End {
        self.state.end
    }

    /// Returns what was in flight, for the log.
    pub fn cut(&self) -> Vec<Cut> {
        let cut = |(request, origin): (&RequestId, &Origin)| Cut {
            request: *request,
            origin: *origin,
        };
        self.in_flight.iter().map(cut).collect()
    }
}
