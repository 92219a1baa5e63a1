//! Intervals and timeouts for polling the store and its readers.
//!
//! The store counts every call, and its rate limits grow more slowly than the fleet. Since a change
//! ends a pending watch immediately, the length of a watch only matters for lost answers and
//! silently dropped connections. All times are therefore derived from two bounds: within which a
//! change has to be in force, and within which a silent connection has to be detected.
//!
//! A host knows everything up to the store's last answer to it, or to its reader. The age of that
//! knowledge is bounded by [`Timing::longest_age`], whatever happens to the connection meanwhile.

use std::time::Duration;

/// Timeout of a watch on the store.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Shortest timeout of a watch. While responses of the store are lost, short watches detect its
/// recovery sooner than long ones.
pub const MIN_WATCH: Duration = Duration::from_millis(200);

/// Time beyond the timeout of a watch after which its answer counts as lost, and its upper bound as
/// a fraction of the detection window.
const WATCH_MARGIN: Duration = Duration::from_millis(800);
const WATCH_MARGIN_FRACTION: f64 = 0.2;

/// Time from giving up a silent connection until the changes are applied that a new one brings: the
/// first backoff, connecting, and a call.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

/// Timeout of connecting to a reader.
pub const READER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Lower bound of the bound that intervals are derived from, so that polls don't follow each other
/// without a pause.
const MIN_BOUND: Duration = Duration::from_millis(200);

/// Timeout of a watch on a reader, as a fraction of the bound. A change that a reader misses
/// reaches none of the hosts that poll it, so readers detect a lost watch sooner.
const READER_WATCH_FRACTION: f64 = 0.4;

/// Age of the store's last answer, as a fraction of the bound, up to which a reader counts as up to
/// date. It covers the batch pause and one watch. After that, hosts poll the store and have the
/// rest of the bound to do so.
const FRESHNESS_FRACTION: f64 = 0.7;

/// Duration of a long poll of a reader, as a fraction of the bound. A frozen reader is detected
/// after it.
const POLL_FRACTION: f64 = 0.25;

/// Time beyond the long poll after which a reader is considered unreachable.
const POLL_SLACK: Duration = Duration::from_millis(250);

/// Pause for batching changes, as a fraction of the bound. Changes arrive in bursts, for example
/// during a rolling restart, and each would otherwise cost every host a call.
const BATCH_FRACTION: f64 = 0.2;

/// Polling intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Bound that intervals are derived from.
    bound: Duration,
    /// Time within which a silent connection has to be replaced.
    window: Duration,
}

impl Timing {
    /// Creates the timing for changes that have to be in force within `bound`, and connections that
    /// have to be replaced within `window` after they went silent.
    pub fn new(bound: Duration, window: Duration) -> Self {
        // The reader's path is the longer one: all of it but the constants is a share of the bound.
        let constants = READER_CONNECT_TIMEOUT + POLL_SLACK + RECOVERY_TIME;
        let shares = FRESHNESS_FRACTION + POLL_FRACTION;
        let longest = window.saturating_sub(constants).div_f64(shares);
        Self {
            bound: bound.min(longest).max(MIN_BOUND),
            window,
        }
    }

    /// Returns the timeout of a watch on the store by a host whose knowledge has this age.
    pub fn watch(self, age: Duration) -> Duration {
        let until_given_up = self.window.saturating_sub(RECOVERY_TIME + age);
        let timeout = until_given_up.saturating_sub(self.watch_margin());
        timeout.min(WATCH_TIMEOUT).max(MIN_WATCH)
    }

    /// Returns the timeout of a watch on the store by a reader whose knowledge has this age.
    pub fn reader_watch(self, age: Duration) -> Duration {
        let timeout = self.bound.mul_f64(READER_WATCH_FRACTION).max(MIN_WATCH);
        timeout.min(self.watch(age))
    }

    /// Returns the time beyond the timeout of a watch after which its answer counts as lost.
    pub fn watch_margin(self) -> Duration {
        WATCH_MARGIN.min(self.window.mul_f64(WATCH_MARGIN_FRACTION))
    }

    /// Returns how long an answer of the store keeps a reader up to date.
    pub fn freshness(self) -> Duration {
        self.bound.mul_f64(FRESHNESS_FRACTION)
    }

    /// Returns the duration of a long poll of a reader.
    pub fn poll(self) -> Duration {
        self.bound.mul_f64(POLL_FRACTION)
    }

    /// Returns the timeout of a long poll, after which the reader counts as unreachable.
    pub fn poll_timeout(self) -> Duration {
        self.poll() + POLL_SLACK
    }

    /// Returns the pause after a watch that returned changes.
    pub fn batch_pause(self) -> Duration {
        self.bound.mul_f64(BATCH_FRACTION)
    }

    /// Returns the longest age of a host's knowledge while connections go silent and new ones work.
    ///
    /// At a host that asks the store it is the sum of the pause, a watch, its margin and the
    /// recovery; at one that polls a reader, of the reader's freshness, connecting to it, a poll and
    /// the recovery.
    pub fn longest_age(self) -> Duration {
        let pause = self.batch_pause();
        let watched = [Duration::ZERO, pause].map(|age| age + self.watch(age));
        let watched = watched.into_iter().max().unwrap_or_default();
        let from_store = watched + self.watch_margin();
        let from_reader = self.freshness() + READER_CONNECT_TIMEOUT + self.poll_timeout();
        from_store.max(from_reader) + RECOVERY_TIME
    }

    /// Returns whether silent connections are replaced within the window. It can be too short for
    /// any timing.
    pub fn is_within_window(self) -> bool {
        self.longest_age() <= self.window
    }
}
