//! All backend servers of one route at one home.

use super::{Choice, News, Room, Verdict};
use crate::Time;
use crate::attempt::{AttemptId, Failure};
use crate::reply::Report;
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use rand::Rng;
use serde::Serialize;
use std::time::Duration;

/// All backend servers of one route at one home.
pub struct Fleet {}

/// State of one backend server, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// The server.
    pub server: BackendServerId,
    /// Whether connections to it can be made.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Own attempts outstanding.
    pub outstanding: usize,
    /// Own attempts that may be outstanding at once.
    pub limit: usize,
    /// Weight given to its load reports, from 0 to 1.
    pub trust: f64,
    /// Median of its latency, in milliseconds.
    pub median_ms: f64,
    /// 95th percentile of its latency, in milliseconds.
    pub p95_ms: f64,
    /// Index versions that it serves, as far as known.
    pub versions: Vec<IndexVersion>,
    /// Milliseconds for which it gets no new work because it shed load.
    pub back_off_ms: u64,
}

impl Fleet {
    /// Makes the fleet of a route that has `homes` homes.
    pub fn new(_route: &Route, _homes: usize, _now: Time) -> Self {
        Self {}
    }

    /// Takes over a new configuration. Servers that stay keep their state; removed ones get no new
    /// work; new ones are ramped up.
    pub fn reconfigure(&mut self, _route: &Route, _now: Time) {}

    /// Takes over the number of homes of the route.
    pub fn set_homes(&mut self, _homes: usize, _now: Time) {}

    /// Takes over from the pool whether a server can be reached.
    pub fn set_reachable(&mut self, _server: BackendServerId, _reachable: bool, _now: Time) {}

    /// Chooses a server among `candidates` that is not in `tried` and serves `version`, if one is
    /// given. Returns `None` if none can take work now.
    pub fn choose(
        &mut self,
        _candidates: &[BackendServerId],
        _tried: &[BackendServerId],
        _version: Option<IndexVersion>,
        _now: Time,
        _rng: &mut impl Rng,
    ) -> Option<Choice> {
        None
    }

    /// Returns the time after which an attempt at `server` is slower than the given quantile.
    pub fn hedge_delay(&self, _server: BackendServerId, _quantile: f64, _now: Time) -> Duration {
        Duration::ZERO
    }

    /// Returns the time after which an attempt at `server` is suspiciously silent.
    pub fn patience(&self, _server: BackendServerId, _now: Time) -> Duration {
        Duration::ZERO
    }

    /// Records that an attempt was sent.
    pub fn sent(&mut self, _server: BackendServerId, _attempt: AttemptId, _now: Time) {}

    /// Records that an attempt is being cancelled; it stays outstanding until it ends.
    pub fn cancelling(&mut self, _attempt: AttemptId, _now: Time) {}

    /// Records a reply.
    pub fn replied(&mut self, _attempt: AttemptId, _report: &Report, _now: Time) -> News {
        News::default()
    }

    /// Records that an attempt ended without a usable reply.
    pub fn failed(&mut self, _attempt: AttemptId, _failure: &Failure, _now: Time) -> Verdict {
        Verdict::default()
    }

    /// Forgets an attempt whose connection was found silent; no blame falls on the server.
    pub fn forget(&mut self, _attempt: AttemptId, _now: Time) {}

    /// Takes in what the load endpoint says, `None` where it did not answer.
    pub fn polled(
        &mut self,
        _server: BackendServerId,
        _report: Option<&Report>,
        _now: Time,
    ) -> News {
        News::default()
    }

    /// Marks a server as leaving with the given start number. Returns whether that is new.
    pub fn leave(
        &mut self,
        _server: BackendServerId,
        _start: Option<Incarnation>,
        _now: Time,
    ) -> bool {
        false
    }

    /// Tells whether a server is leaving.
    pub fn is_leaving(&self, _server: BackendServerId) -> bool {
        false
    }

    /// Returns the start number of a server, as far as known.
    pub fn start(&self, _server: BackendServerId) -> Option<Incarnation> {
        None
    }

    /// Returns the index versions that a server serves, in order; empty where it did not say.
    pub fn versions(&self, _server: BackendServerId) -> &[IndexVersion] {
        &[]
    }

    /// Returns how many own attempts are outstanding.
    pub fn outstanding(&self) -> usize {
        0
    }

    /// Returns the room in the tightest group.
    pub fn room(&self, _now: Time) -> Room {
        Room::default()
    }

    /// Returns the state of every server, for operators.
    pub fn snapshot(&self, _now: Time) -> Vec<Snapshot> {
        Vec::new()
    }

    /// Ends what is over: back-offs, and cancellations that were never confirmed. Returns the
    /// servers that can take work again.
    pub fn tick(&mut self, _now: Time) -> Vec<BackendServerId> {
        Vec::new()
    }

    /// Returns the time at which [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }
}
