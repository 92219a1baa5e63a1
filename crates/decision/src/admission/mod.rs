//! Admission: whether a request is taken on at all.

use crate::Time;
use crate::backend::Room;
use crate::outcome::Reason;
use monsoonring_configuration::document::{Class, Route};
use std::time::Duration;

/// What is done with a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken on.
    Admit,
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When it is worth coming back; `None` where it is not.
        retry_after: Option<Duration>,
    },
}

/// Decides which requests are taken on.
pub struct Gate {}

impl Gate {
    /// Makes the gate of a route.
    pub fn new(_route: &Route) -> Self {
        Self {}
    }

    /// Takes over a new configuration.
    pub fn reconfigure(&mut self, _route: &Route) {}

    /// Decides about a request that has to be answered by `deadline`. One that is admitted counts
    /// as in flight until [`Self::finished`].
    pub fn admit(&mut self, _class: Class, _deadline: Time, _room: &Room, _now: Time) -> Admission {
        Admission::Admit
    }

    /// Records that an admitted request has ended, after `took`, whatever its outcome.
    pub fn finished(&mut self, _class: Class, _took: Duration, _now: Time) {}

    /// Returns how many requests may be in flight at once.
    pub fn limit(&self) -> f64 {
        0.0
    }

    /// Returns how many admitted requests are in flight.
    pub fn in_flight(&self) -> usize {
        0
    }
}
