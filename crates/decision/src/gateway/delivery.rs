//! How long before its objective a partial answer has to leave to be in time.
//!
//! The caller counts from its first step, and a host sees neither that nor the end. What passes there are the
//! way, two round trips for a new connection, and the host's own work on the request and its answer: reading,
//! handing on, writing, behind others that came with it. The work is the host's that the caller speaks to, also
//! where another one fans out, so that it is told on with the search.

use super::helper::Centicores;
use std::time::Duration;

/// Time on the way: two round trips of a way of 1.5 ms, which is between what deployments have.
const NETWORK_TIME: Duration = Duration::from_millis(6);

/// Work of a whole core in a busy moment. With it, 20 ms are left at a host of an eighth of a core. With 6 ms in all,
/// half of the answers came a moment after their objective whenever servers turned away or were slow; with 20, 0.78 to
/// 0.90 of the worth was earned in place of 0.67 to 0.82 (three deployments of 61 to 89 hosts, seven days of
/// trouble, one run each; 16 ms earn within 0.01 of that). At hosts of a quarter of a core 20 ms earn 0.006 less than 6, and 13 ms 0.004
/// (13 days of high load).
const CPU_TIME: Duration = Duration::from_micros(1_700);

/// What is taken for a host that does not say how strong it is, in hundredths of a core.
const DEFAULT_STRENGTH: Centicores = 12;

/// Longest time that is left, as a part of the objective: servers need the rest to answer.
const MAX_OBJECTIVE_SHARE: f64 = 0.5;

/// Returns how long an answer takes between a host of this strength and its caller.
pub fn margin(strength: Centicores) -> Duration {
    let strength = if strength == 0 {
        DEFAULT_STRENGTH
    } else {
        strength
    };
    NETWORK_TIME + CPU_TIME * 100 / strength
}

/// Returns the time after which a partial answer leaves that is worth most within an objective.
pub fn cutoff(objective: Duration, margin: Duration) -> Duration {
    objective.saturating_sub(margin.min(objective.mul_f64(MAX_OBJECTIVE_SHARE)))
}
