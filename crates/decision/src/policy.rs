//! Settings that replace decisions of a home by simpler ones, for experiments.
//!
//! An experiment compares a decision with its simple alternative in the same daemon, for example
//! the choice between replicas with a random one. In production only [`Policy::crash_signal`] and
//! [`Policy::reply_identity`] differ between interfaces.

use crate::attempt::ReplyIdentity;
use crate::backend::suspect::CrashSignal;
use std::time::Duration;

/// The alternatives of a home's decisions; the default is the production behaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Chooses a random replica among the usable ones.
    pub random_replica: bool,
    /// Ignores the load that servers report.
    pub ignore_load: bool,
    /// Fixed hedge delay in place of the learned one.
    pub hedge_after: Option<Duration>,
    /// Admits every request whose deadline has not passed.
    pub admit_all: bool,
    /// What proves that a request crashed a backend server.
    pub crash_signal: CrashSignal,
    /// What the replies of backend servers identify.
    pub reply_identity: ReplyIdentity,
}
