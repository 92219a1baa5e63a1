//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and size limits. Production uses [`Settings::default`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval between probes of the round.
    pub period: Duration,
    /// Time after a start or a pause during which probes are sent every `startup_period`. Until a host has
    /// discovered the others, it claims too large a share of the backend servers.
    pub startup: Duration,
    /// Interval between probes during `startup`.
    pub startup_period: Duration,
    /// Number of pages requested back to back when a peer's table is copied. Further pages are requested
    /// once per period, which bounds the bandwidth for a large table.
    pub pages_at_once: u32,
    /// Timeout of a direct or indirect probe.
    pub probe_timeout: Duration,
    /// Number of members asked to send an indirect probe.
    pub helpers: usize,
    /// Time that a suspect has to refute, multiplied by the decimal logarithm of the number of members.
    pub suspicion: Duration,
    /// Time for which a dead or left member is remembered, so that delayed messages can't revive it.
    pub tombstone_life: Duration,
    /// Time without flapping after which earlier flaps of a member are ignored.
    pub flap_life: Duration,
    /// Gap between two ticks above which the process is considered to have been paused.
    pub pause_threshold: Duration,
    /// Time without an answer from any peer after which a starting or resumed member continues alone.
    pub refresh_timeout: Duration,
    /// Time without any message after which failed probes are attributed to this member's own network.
    pub silence_limit: Duration,
    /// Interval between probes of listed hosts that are dead or unknown.
    pub revival_period: Duration,
    /// Minimum interval between bursts of extra probes.
    pub burst_period: Duration,
    /// Number of members probed in a burst.
    pub burst_fanout: usize,
    /// Maximum size of the changes in one message, in bytes.
    pub message_bytes: usize,
    /// Maximum size of one page of the table, in bytes.
    pub page_bytes: usize,
    /// Number of times that a change is sent, per binary logarithm of the number of members.
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

/// Returns how many times a piece of gossip is sent among `members`, at least once.
pub(crate) fn transmit_limit(factor: u32, members: usize) -> u32 {
    let doublings = usize::BITS - members.max(1).leading_zeros();
    (factor * doublings).max(1)
}
