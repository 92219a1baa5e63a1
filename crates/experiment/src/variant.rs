//! Policies to compare: the daemon's default, and variants that replace one decision.

use crate::scenario::{Policy, Scenario};
use clap::ValueEnum;

/// Share of the deadline after which a fixed hedge is sent. Well above the usual latency, because a
/// fixed delay must also fit the slowest time of day.
const FIXED_HEDGE_SHARE: f64 = 0.25;

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Variant {
    /// The settings of the document and the daemon's default decisions.
    Document,
    /// No hedges.
    NoHedge,
    /// No hedges and no retries.
    NoExtra,
    /// Replicas chosen at random.
    RandomReplica,
    /// Replicas chosen at random, without hedges.
    RandomNoHedge,
    /// Hedges after a fixed delay.
    FixedHedge,
    /// Every request admitted.
    AdmitAll,
    /// Reported load ignored.
    IgnoreLoad,
    /// Two homes of each route.
    Homes2,
    /// Three homes of each route.
    Homes3,
    /// Five homes of each route.
    Homes5,
    /// Eight homes of each route.
    Homes8,
}

impl Variant {
    /// Returns the policy of this variant for a scenario.
    pub fn policy(self, scenario: &Scenario) -> Policy {
        let replaced = |name: &str, arguments: &[&str]| Policy {
            name: name.to_owned(),
            arguments: arguments
                .iter()
                .map(|argument| (*argument).to_owned())
                .collect(),
            ..Policy::default()
        };
        let homes =
            |number: &str| replaced(&format!("{number} homes"), &["--policy-homes", number]);
        match self {
            Self::Document => Policy::document(),
            Self::NoHedge => Policy::without_hedges(),
            Self::NoExtra => Policy::without_extra_attempts(),
            Self::RandomReplica => replaced("random replica", &["--policy-random-replica"]),
            Self::RandomNoHedge => Policy {
                name: "random replica, no hedge".to_owned(),
                hedge: Policy::without_hedges().hedge,
                ..replaced("", &["--policy-random-replica"])
            },
            Self::FixedHedge => {
                let after = scenario.fleet().deadline.mul_f64(FIXED_HEDGE_SHARE);
                let after = after.as_millis().to_string();
                replaced("fixed hedge", &["--policy-hedge-after-ms", &after])
            }
            Self::AdmitAll => replaced("no admission", &["--policy-admit-all"]),
            Self::IgnoreLoad => replaced("load ignored", &["--policy-ignore-load"]),
            Self::Homes2 => homes("2"),
            Self::Homes3 => homes("3"),
            Self::Homes5 => homes("5"),
            Self::Homes8 => homes("8"),
        }
    }
}
