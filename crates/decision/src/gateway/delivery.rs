//! Time to reserve for delivering a partial answer before its objective.
//!
//! The objective is measured by the caller: from opening the connection to the last byte of the
//! answer. A host observes neither end. Before its first and after its last observation come
//! network time (two round trips for a new connection) and the host's own processing of the request
//! and the answer, queued behind other requests. The processing time is that of the host the caller
//! is connected to, even if another host fans the search out, so the margin travels with the
//! search.

use super::helper::Centicores;
use std::time::Duration;

/// Two round trips at 1.5 ms one way, which is between the latencies of the deployments.
const NETWORK_TIME: Duration = Duration::from_millis(6);

/// Processing time per request on a full core under load. With it, the margin is 20 ms at a host with
/// an eighth of a core. With the network time alone, half of the answers there arrived just after
/// their objective whenever servers were slow or shed load.
const CPU_TIME: Duration = Duration::from_micros(1_700);

/// Strength assumed for a host that reports none, in hundredths of a core.
const DEFAULT_STRENGTH: Centicores = 12;

/// Upper bound of the margin as a fraction of the objective; servers need the rest to answer.
const MAX_OBJECTIVE_SHARE: f64 = 0.5;

/// Returns the time to reserve between a host of this strength and its caller.
pub fn margin(strength: Centicores) -> Duration {
    let strength = if strength == 0 {
        DEFAULT_STRENGTH
    } else {
        strength
    };
    NETWORK_TIME + CPU_TIME * 100 / strength
}

/// Returns how long after its arrival a request should be answered, even partially, to meet its
/// objective.
pub fn cutoff(objective: Duration, margin: Duration) -> Duration {
    objective.saturating_sub(margin.min(objective.mul_f64(MAX_OBJECTIVE_SHARE)))
}
