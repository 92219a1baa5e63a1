//! Baseline policies for experiments.

use clap::Args;
use monsoonring_decision::policy::Policy;
use std::time::Duration;

/// Simple policies that replace the daemon's own in experiments. The flags are hidden from the help
/// and have no environment variables, so that none stays enabled in production by accident.
#[derive(Clone, Debug, Default, Args)]
pub struct Baseline {
    /// Choose replicas at random.
    #[arg(long, hide = true)]
    policy_random_replica: bool,

    /// Ignore the load that backend servers report.
    #[arg(long, hide = true)]
    policy_ignore_load: bool,

    /// Fixed hedging delay in milliseconds, in place of the learned one.
    #[arg(long, hide = true, value_name = "MS")]
    policy_hedge_after_ms: Option<u64>,

    /// Admit every request, without load shedding.
    #[arg(long, hide = true)]
    policy_admit_all: bool,

    /// Number of homes of each route, limited to the number of members.
    #[arg(long, hide = true, value_name = "NUMBER")]
    policy_homes: Option<usize>,
}

impl Baseline {
    /// Returns the policy that homes follow.
    pub fn policy(&self) -> Policy {
        Policy {
            random_replica: self.policy_random_replica,
            ignore_load: self.policy_ignore_load,
            hedge_after: self.policy_hedge_after_ms.map(Duration::from_millis),
            admit_all: self.policy_admit_all,
            ..Policy::default()
        }
    }

    /// Returns the number of homes of each route; `None` leaves it to placement.
    pub fn homes(&self) -> Option<usize> {
        self.policy_homes
    }
}
