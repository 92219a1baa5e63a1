//! Simpler decisions in place of the daemon's own, for measurements.

use clap::Args;
use monsoonring_decision::policy::Policy;
use std::time::Duration;

/// Decisions that are replaced by simpler ones. They are for measurements only: hidden from the
/// help, and without environment variables, so that none is left on by accident.
#[derive(Clone, Debug, Default, Args)]
pub struct Baseline {
    /// Choose between replicas at random.
    #[arg(long, hide = true)]
    policy_random_replica: bool,

    /// Ignore the load that backend servers report.
    #[arg(long, hide = true)]
    policy_ignore_load: bool,

    /// Milliseconds after which an attempt is hedged, in place of a learned time.
    #[arg(long, hide = true, value_name = "MS")]
    policy_hedge_after_ms: Option<u64>,

    /// Admit every request.
    #[arg(long, hide = true)]
    policy_admit_all: bool,

    /// Number of homes of each route, at most the members.
    #[arg(long, hide = true, value_name = "NUMBER")]
    policy_homes: Option<usize>,
}

impl Baseline {
    /// Returns what homes decide in another way.
    pub fn policy(&self) -> Policy {
        Policy {
            random_replica: self.policy_random_replica,
            ignore_load: self.policy_ignore_load,
            hedge_after: self.policy_hedge_after_ms.map(Duration::from_millis),
            admit_all: self.policy_admit_all,
            ..Policy::default()
        }
    }

    /// Returns the number of homes, where it is not placement's own.
    pub fn homes(&self) -> Option<usize> {
        self.policy_homes
    }
}
