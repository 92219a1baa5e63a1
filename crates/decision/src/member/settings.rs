//! The times and bounds of the membership protocol.

use std::time::Duration;

/// Times and bounds; [`Settings::default`] is what production uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes of the round.
    pub period: Duration,
    /// Time after a start or a pause in which probes follow each other faster, and the time between two then.
    /// After a loss of power of all hosts nobody knows anybody, and each takes what it may beside the few hosts that
    /// it reckons with.
    pub startup: Duration,
    /// See `startup`.
    pub startup_period: Duration,
    /// Pages of another's table that are asked for one after the other when it is copied; the others come one
    /// a period, which bounds the bytes where the table is long.
    pub pages_at_once: u32,
    /// Time that a probe, direct or through helpers, may take.
    pub probe_timeout: Duration,
    /// Number of members asked to probe in our place.
    pub helpers: usize,
    /// Time that a suspect has to refute, multiplied by the decimal logarithm of the members.
    pub suspicion: Duration,
    /// Time for which a dead or left member stays on record, so that late news can't revive it.
    pub tombstone_life: Duration,
    /// Time without flapping after which a member's earlier flaps are forgotten.
    pub flap_life: Duration,
    /// Gap between two ticks above which the process counts as having been paused.
    pub pause_threshold: Duration,
    /// Time without any peer's answer after which a starting or resumed member goes on alone.
    pub refresh_timeout: Duration,
    /// Time without any answer after which failed probes are blamed on ourselves.
    pub silence_limit: Duration,
    /// Time between two probes of dead or unknown hosts that are still listed.
    pub revival_period: Duration,
    /// Shortest time between two bursts of extra probes.
    pub burst_period: Duration,
    /// Number of members probed in a burst.
    pub burst_fanout: usize,
    /// Bound of the changes in one message, in bytes.
    pub message_bytes: usize,
    /// Bound of one page of the whole table, in bytes.
    pub page_bytes: usize,
    /// A change is sent this many times the binary logarithm of the members.
    pub retransmit_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            startup: Duration::from_secs(3),
            startup_period: Duration::from_millis(200),
            pages_at_once: 8,
            probe_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_secs(3),
            tombstone_life: Duration::from_secs(24 * 60 * 60),
            flap_life: Duration::from_secs(10 * 60),
            pause_threshold: Duration::from_secs(3),
            refresh_timeout: Duration::from_secs(10),
            silence_limit: Duration::from_secs(2),
            revival_period: Duration::from_secs(10),
            burst_period: Duration::from_millis(200),
            burst_fanout: 3,
            message_bytes: 1_000,
            page_bytes: 8 * 1_024,
            retransmit_factor: 3,
        }
    }
}

/// Number of times that something is passed on among `members`, at least once.
pub(crate) fn retransmits(factor: u32, members: usize) -> u32 {
    let doublings = usize::BITS - members.max(1).leading_zeros();
    (factor * doublings).max(1)
}
