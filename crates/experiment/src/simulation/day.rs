//! Simulated days: schedules of faults.

use monsoonring_decision::Time;
use std::time::Duration;

/// A fault of backend servers in the first pool, or a burst of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of the servers is slower by a factor.
    Slow {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Factor on service times.
        factor: f64,
    },
    /// A share of the servers is down and loses its connections and requests.
    Down {
        /// Share of the servers, from 0 to 1.
        share: f64,
    },
    /// All servers of one shard are down.
    ShardDown,
    /// A share of the servers refuses some requests without being overloaded.
    Refusing {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Share of the requests, from 0 to 1.
        chance: f64,
    },
    /// A share of the servers fails some requests after executing them.
    Failing {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Share of the requests, from 0 to 1.
        chance: f64,
    },
    /// The request rate grows by this factor.
    Burst(f64),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start, from the start of the day.
    pub at: Time,
    /// Duration of the fault.
    pub length: Duration,
    /// Fault to apply.
    pub fault: Fault,
}

/// A simulated day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Name in reports.
    pub name: &'static str,
    /// Time for which callers send requests.
    pub length: Duration,
    /// Faults of the day.
    pub faults: Vec<ScheduledFault>,
}

const DAY_LENGTH: Duration = Duration::from_secs(34);

fn scheduled(at: f64, length: f64, fault: Fault) -> ScheduledFault {
    ScheduledFault {
        at: Duration::from_secs_f64(at),
        length: Duration::from_secs_f64(length),
        fault,
    }
}

impl Day {
    /// Returns a day on which some servers are slow for a while.
    pub fn calm() -> Self {
        let (share, factor) = (0.15, 10.0);
        Self {
            name: "calm",
            length: DAY_LENGTH,
            faults: vec![scheduled(7.0, 8.0, Fault::Slow { share, factor })],
        }
    }

    /// Returns a day with slow servers, a shard that is down, and servers that refuse most requests.
    pub fn heavy() -> Self {
        let slow = Fault::Slow {
            share: 0.15,
            factor: 9.0,
        };
        let refusing = Fault::Refusing {
            share: 0.8,
            chance: 0.6,
        };
        Self {
            name: "heavy",
            length: DAY_LENGTH,
            faults: vec![
                scheduled(5.0, 8.0, slow),
                scheduled(11.4, 5.0, Fault::ShardDown),
                scheduled(18.0, 9.0, refusing),
            ],
        }
    }

    /// Returns a day on which servers crash repeatedly while others are slow.
    pub fn failing() -> Self {
        let slow = Fault::Slow {
            share: 0.15,
            factor: 9.0,
        };
        let down = Fault::Down { share: 0.15 };
        Self {
            name: "failing",
            length: DAY_LENGTH,
            faults: vec![
                scheduled(3.0, 4.5, down),
                scheduled(6.0, 8.0, slow),
                scheduled(12.0, 4.5, down),
                scheduled(20.0, 4.5, down),
                scheduled(22.0, 6.0, slow),
            ],
        }
    }

    /// Returns a day on which most servers fail many requests, followed by a burst.
    pub fn erring() -> Self {
        let erring = Fault::Failing {
            share: 0.8,
            chance: 0.5,
        };
        Self {
            name: "erring",
            length: DAY_LENGTH,
            faults: vec![
                scheduled(6.0, 12.0, erring),
                scheduled(22.0, 4.0, Fault::Burst(1.7)),
            ],
        }
    }

    /// Returns a day on which the request rate exceeds the capacity of the servers.
    pub fn surge() -> Self {
        Self {
            name: "surge",
            length: DAY_LENGTH,
            faults: vec![
                scheduled(6.0, 10.0, Fault::Burst(4.5)),
                scheduled(22.0, 5.0, Fault::Burst(3.5)),
            ],
        }
    }

    /// Returns all days, in report order.
    pub fn all() -> Vec<Self> {
        vec![
            Self::calm(),
            Self::heavy(),
            Self::failing(),
            Self::erring(),
            Self::surge(),
        ]
    }
}
