//! Choice between replicas.
//!
//! The candidate with the least expected load is chosen, ties at random. Own outstanding attempts
//! are exact and count in full. What others have there is known from reports only, which are late
//! and may be wrong: they count by the weight that the server has earned (`trust`) and by their
//! age, and only as a deviation from the usual. A server whose recent latency is far above its
//! group's counts as more loaded than it seems, less so the longer ago that was measured, so that
//! it is tried again.

use super::server::Server;
use super::usual::Usual;
use crate::Time;
use crate::rationale::LeastLoaded;
use monsoonring_configuration::id::BackendServerId;
use rand::Rng;
use std::time::Duration;

/// Work times after which the deviation that a report shows has halved.
const HALF_LIFE_IN_WORK: f64 = 4.0;

/// Multiple of the group's usual latency from which a server counts as slow.
const SLOW: f64 = 1.5;

/// Time after which a slow server's extra load has halved, at least, and in times between two attempts of
/// this home at its group. A slow server is tried again every few half-lives; where a home asks each
/// group twice a second, a second alone would send it one attempt in six.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(1);
const SLOW_HALF_LIFE_IN_ATTEMPTS: f64 = 5.0;

/// Load by which a server in another data centre counts as busier than it is. Bytes between data
/// centres cost money and the way takes half a millisecond more. A server works on two or three
/// attempts at the same time, so that one more there does not wait: the nearby one is taken until
/// it has two of this home's. That halves the bytes between data centres against 0.9 with as many
/// answers in time, measured over six days of high load; at 4.0 more are late on days on which
/// servers fail.
const DISTANCE: f64 = 1.9;

/// The same as a share of a server's slots, where that is more: of four or five slots that many may be taken
/// before one more waits. Bytes between data centres cost 0.014 of a calm day's worth in place of 0.020 (89
/// hosts, four slots, one run each), with as many answers in time.
const DISTANCE_IN_SLOTS: f64 = 0.6;

/// Load by which a server that fails everything counts as busier than it is. A server may turn away
/// or break off half of what it gets for seconds while its health is good; the attempt that it fails
/// costs an extra one elsewhere, of which only one in five is allowed.
const FAILING: f64 = 6.0;

/// Share of failed attempts that is of no account: a single one.
const TOLERATED: f64 = 0.2;

/// Load by which a server counts as busier for each attempt that is overdue there, where the choice
/// is for the only attempt of a request. A server that has gone dark is not told from a slow one for
/// seconds, and a request that may not run twice would wait there for its deadline.
const OVERDUE: f64 = 8.0;

/// Scores closer than this are a tie.
const TIE: f64 = 1e-9;

/// The backend server chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: BackendServerId,
    /// Why it was chosen, with the numbers that decided.
    pub why: LeastLoaded,
}

/// Returns the load that others are believed to have at a server beyond the usual.
pub(crate) fn others(server: &Server, usual: Usual, now: Time) -> f64 {
    let Some(reported) = server.reported else {
        return 0.0;
    };
    let weight = server.trust.weight(usual.service_time.div_f64(usual.slots));
    let age = now.saturating_sub(reported.at);
    let half_life = usual.service_time.mul_f64(HALF_LIFE_IN_WORK);
    weight * fading(age, half_life) * (reported.others - server.trust.mean())
}

/// Whether another attempt may follow the one that a server is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// One may: this one also serves to find out how a server stands.
    Possible,
    /// It is the only one.
    Never,
}

/// Returns the load to expect at a server, in attempts.
pub(crate) fn score(server: &Server, usual: Usual, repeat: Repeat, now: Time) -> f64 {
    if repeat == Repeat::Possible && server.probe.is_wanted() {
        return 0.0;
    }
    let overdue = match repeat {
        Repeat::Possible => 0.0,
        Repeat::Never => OVERDUE * server.overdue as f64,
    };
    let distance = match server.far {
        true => DISTANCE.max(usual.slots * DISTANCE_IN_SLOTS),
        false => 0.0,
    };
    let failing = FAILING * (server.failing(now) - TOLERATED).max(0.0);
    let own = (server.own() + 1.0) * slowness(server, usual, now);
    own + others(server, usual, now) + distance + failing + overdue
}

/// Returns the index of the least score; among equals each is as likely.
pub(crate) fn least(scores: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let least = scores.iter().copied().reduce(f64::min)?;
    let tied = |score: &f64| *score - least < TIE;
    let ties = scores.iter().filter(|score| tied(score)).count();
    let nth = rng.random_range(0..ties);
    let mut equals = (0..scores.len()).filter(|index| tied(&scores[*index]));
    equals.nth(nth)
}

fn slowness(server: &Server, usual: Usual, now: Time) -> f64 {
    let Some((recent, at)) = server.recent else {
        return 1.0;
    };
    let ratio = recent / usual.median.as_secs_f64().max(f64::MIN_POSITIVE);
    // Below its number of slots, attempts at another server do not wait for each other: it is still
    // the faster one with all but one of them taken.
    let excess = (ratio / SLOW - 1.0).max(0.0) * usual.slots.max(1.0);
    let half_life = usual.interval.mul_f64(SLOW_HALF_LIFE_IN_ATTEMPTS);
    let half_life = half_life.max(SLOW_HALF_LIFE);
    1.0 + excess * fading(now.saturating_sub(at), half_life)
}

fn fading(age: Duration, half_life: Duration) -> f64 {
    if half_life.is_zero() {
        return 0.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
