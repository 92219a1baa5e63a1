//! What goes wrong, and when.

use monsoonring_decision::Time;
use std::time::Duration;

/// One thing that goes wrong with the backend servers of the first pool, or with callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Work takes this many times as long at a share of the servers.
    Slow {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Factor.
        factor: f64,
    },
    /// A share of the servers are down; what they had is lost.
    Down {
        /// Share of the servers, from 0 to 1.
        share: f64,
    },
    /// All servers of one shard are down.
    ShardDown,
    /// A share of the servers refuse some requests, though they could work on them.
    Refusing {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Share of the requests, from 0 to 1.
        chance: f64,
    },
    /// A share of the servers fail some requests that they have worked on.
    Failing {
        /// Share of the servers, from 0 to 1.
        share: f64,
        /// Share of the requests, from 0 to 1.
        chance: f64,
    },
    /// Callers send this many times as much.
    Burst(f64),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spell {
    /// When it begins.
    pub at: Time,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: Fault,
}

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Its name.
    pub name: &'static str,
    /// How long callers send.
    pub length: Duration,
    /// What goes wrong.
    pub spells: Vec<Spell>,
}

const LENGTH: Duration = Duration::from_secs(34);

fn spell(at: f64, length: f64, fault: Fault) -> Spell {
    Spell {
        at: Duration::from_secs_f64(at),
        length: Duration::from_secs_f64(length),
        fault,
    }
}

impl Day {
    /// A day on which a sixth of the servers are slow for eight seconds.
    pub fn calm() -> Self {
        let (share, factor) = (0.15, 10.0);
        Self {
            name: "calm",
            length: LENGTH,
            spells: vec![spell(7.0, 8.0, Fault::Slow { share, factor })],
        }
    }

    /// A day on which servers are slow, a shard is down, and most servers refuse much.
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
            length: LENGTH,
            spells: vec![
                spell(5.0, 8.0, slow),
                spell(11.4, 5.0, Fault::ShardDown),
                spell(18.0, 9.0, refusing),
            ],
        }
    }

    /// A day on which servers crash by turns while others are slow.
    pub fn failing() -> Self {
        let slow = Fault::Slow {
            share: 0.15,
            factor: 9.0,
        };
        let down = Fault::Down { share: 0.15 };
        Self {
            name: "failing",
            length: LENGTH,
            spells: vec![
                spell(3.0, 4.5, down),
                spell(6.0, 8.0, slow),
                spell(12.0, 4.5, down),
                spell(20.0, 4.5, down),
                spell(22.0, 6.0, slow),
            ],
        }
    }

    /// A day on which most servers fail much of what they work on.
    pub fn erring() -> Self {
        let erring = Fault::Failing {
            share: 0.8,
            chance: 0.5,
        };
        Self {
            name: "erring",
            length: LENGTH,
            spells: vec![
                spell(6.0, 12.0, erring),
                spell(22.0, 4.0, Fault::Burst(1.7)),
            ],
        }
    }

    /// A day on which callers ask for more than the servers can do.
    pub fn surge() -> Self {
        Self {
            name: "surge",
            length: LENGTH,
            spells: vec![
                spell(6.0, 10.0, Fault::Burst(4.5)),
                spell(22.0, 5.0, Fault::Burst(3.5)),
            ],
        }
    }

    /// All days, in the order of the report.
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
