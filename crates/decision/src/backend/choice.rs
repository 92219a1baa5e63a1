//! Choice between replicas.
//!
//! The candidate with the lowest expected load wins; ties are broken at random. The home knows its
//! own outstanding attempts exactly and counts them in full. The load from other homes is known
//! only from server reports, which arrive late and may be wrong. They are weighted by how well the
//! server's reports have predicted latency (see `load_regression`) and by age, and count only as a
//! deviation from the server's mean. Remote, failing and slow servers get a penalty. The penalty of
//! a slow server decays, so that it is tried again.

use super::baseline::Baseline;
use super::server::Server;
use crate::Time;
use crate::rationale::LeastLoaded;
use monsoonring_configuration::id::BackendServerId;
use rand::Rng;
use std::time::Duration;

/// Half-life of the deviation that a load report shows, in mean service times.
const REPORT_HALF_LIFE_IN_SERVICE_TIMES: f64 = 4.0;

/// Ratio of a server's recent latency to its group's median above which the server counts as slow.
const SLOW_RATIO: f64 = 1.5;

/// Half-life of the penalty for a slow server: the greater of this time and a number of intervals
/// between attempts of this home at the group. Homes that rarely send to a group keep the penalty
/// for longer, otherwise a slow server would get a large part of their attempts.
const MIN_SLOW_HALF_LIFE: Duration = Duration::from_secs(1);
const SLOW_HALF_LIFE_IN_INTERVALS: f64 = 5.0;

/// Penalty for a server in another data centre, in attempts. Traffic between data centres is
/// expensive and slower, so a nearby replica is preferred until a few attempts of this home are
/// outstanding there. A larger penalty leaves remote replicas unused when nearby servers fail, and
/// requests miss their deadlines.
const REMOTE_PENALTY: f64 = 1.9;

/// Penalty for a remote server as a share of its slots; the greater of both penalties applies.
/// Attempts don't queue at a nearby server while it has free slots.
const REMOTE_PENALTY_PER_SLOT: f64 = 0.6;

/// Penalty for a server at which every attempt fails, in attempts; scaled by the failure rate. A
/// server may reject or abort many requests while its health check passes, and each failure costs a
/// retry from a limited budget.
const FAILURE_PENALTY: f64 = 6.0;

/// Failure rate that is not penalised, so that a single failed attempt has no effect.
const TOLERATED_FAILURE_RATE: f64 = 0.2;

/// Penalty for each overdue attempt at a server, in attempts. Applies when the request can't be
/// retried: it takes seconds to tell a hung server from a slow one, and the request would wait
/// there until its deadline.
const OVERDUE_PENALTY: f64 = 8.0;

/// Scores closer than this are a tie.
const TIE_TOLERANCE: f64 = 1e-9;

/// The backend server chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The chosen server.
    pub server: BackendServerId,
    /// The score that decided, and its components.
    pub rationale: LeastLoaded,
}

/// Returns the load that other homes are estimated to have at a server, relative to its mean.
pub(crate) fn excess_load(server: &Server, baseline: Baseline, now: Time) -> f64 {
    let Some(report) = server.last_report else {
        return 0.0;
    };
    let weight = server
        .load_regression
        .weight(baseline.service_time.div_f64(baseline.slots));
    let age = now.saturating_sub(report.at);
    let half_life = baseline
        .service_time
        .mul_f64(REPORT_HALF_LIFE_IN_SERVICE_TIMES);
    weight * decay(age, half_life) * (report.others - server.load_regression.mean())
}

/// Whether a request may be sent again after the attempt for which a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may be retried or hedged, so the attempt may also probe a server.
    Possible,
    /// The request must not be sent again.
    Never,
}

/// Returns the load to expect at a server, in attempts; lower is better.
pub(crate) fn score(server: &Server, baseline: Baseline, repeat: Repeat, now: Time) -> f64 {
    if repeat == Repeat::Possible && server.probe.is_requested() {
        return 0.0;
    }
    let overdue_penalty = match repeat {
        Repeat::Possible => 0.0,
        Repeat::Never => OVERDUE_PENALTY * server.overdue as f64,
    };
    let remote_penalty = match server.remote {
        true => REMOTE_PENALTY.max(baseline.slots * REMOTE_PENALTY_PER_SLOT),
        false => 0.0,
    };
    let failure_penalty =
        FAILURE_PENALTY * (server.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0);
    let own = (server.own_load() + 1.0) * slowdown(server, baseline, now);
    own + excess_load(server, baseline, now) + remote_penalty + failure_penalty + overdue_penalty
}

/// Returns the index of the lowest score; ties are broken uniformly at random.
pub(crate) fn index_of_least(scores: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let min_score = scores.iter().copied().reduce(f64::min)?;
    let tied = |score: &f64| *score - min_score < TIE_TOLERANCE;
    let ties = scores.iter().filter(|score| tied(score)).count();
    let nth = rng.random_range(0..ties);
    let mut tied_indices = (0..scores.len()).filter(|index| tied(&scores[*index]));
    tied_indices.nth(nth)
}

fn slowdown(server: &Server, baseline: Baseline, now: Time) -> f64 {
    let Some((recent, at)) = server.recent_latency else {
        return 1.0;
    };
    let ratio = recent / baseline.median.as_secs_f64().max(f64::MIN_POSITIVE);
    // Attempts don't queue while slots are free: with all but one slot taken, a server of normal
    // speed is still faster than a slow one.
    let excess = (ratio / SLOW_RATIO - 1.0).max(0.0) * baseline.slots.max(1.0);
    let half_life = baseline.interval.mul_f64(SLOW_HALF_LIFE_IN_INTERVALS);
    let half_life = half_life.max(MIN_SLOW_HALF_LIFE);
    1.0 + excess * decay(now.saturating_sub(at), half_life)
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    if half_life.is_zero() {
        return 0.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
