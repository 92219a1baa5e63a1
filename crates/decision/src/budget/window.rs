//! Sliding-window bound on extra attempts, for backend servers whose owners limit them that way.
//!
//! The owners allow extra attempts up to a share of the requests in any window of a few seconds, plus a
//! small slack. A token bucket that respects this bound could only save up the slack, so it would refuse
//! retries at the start of an outage that the window still allows.
//!
//! The window is divided into slices. First attempts are counted for slightly less than the window and
//! extra attempts for slightly more, so that neither the granularity of the slices nor network delay
//! can cause the bound to be exceeded.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of slices in the window.
const SLICES: u32 = 20;
/// Number of slices for which first attempts are counted.
const FIRST_SLICES: u64 = 19;
/// Number of slices for which extra attempts are counted.
const EXTRA_SLICES: u64 = 22;

/// Share of the allowed extra attempts available to deferrable hedges. The rest is reserved for
/// retries, without which a shard would be missing from the answer.
const HEDGE_SHARE: f64 = 0.55;

/// Attempts counted in one slice.
#[derive(Clone, Copy, Debug)]
struct Slice {
    /// Time since the origin of [`Time`], in slices.
    number: u64,
    firsts: u32,
    extras: u32,
}

/// Attempts recently sent to one group.
#[derive(Clone, Debug)]
pub struct Window {
    ratio: f64,
    slack: f64,
    /// Length of a slice.
    slice: Duration,
    slices: VecDeque<Slice>,
    /// Sums over `slices`.
    firsts: u32,
    extras: u32,
}

impl Window {
    /// Creates a window of this length that allows `percent` extra attempts per hundred first attempts,
    /// plus `slack`.
    pub fn new(percent: f64, slack: f64, length: Duration) -> Self {
        Self {
            ratio: percent / 100.0,
            slack,
            slice: (length / SLICES).max(Duration::from_millis(1)),
            slices: VecDeque::new(),
            firsts: 0,
            extras: 0,
        }
    }

    /// Sets the extra attempts allowed per hundred first attempts.
    pub fn set_percent(&mut self, percent: f64) {
        self.ratio = percent / 100.0;
    }

    /// Sets the extra attempts allowed in addition to the percentage.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records a first attempt.
    pub fn record_first(&mut self, now: Time) {
        self.current_slice(now).firsts += 1;
        self.firsts += 1;
    }

    /// Takes an extra attempt that could be deferred. Returns whether one was available.
    pub fn take_deferrable(&mut self, now: Time) -> bool {
        self.take_within(HEDGE_SHARE, now)
    }

    /// Takes an extra attempt. Returns whether one was available.
    pub fn take(&mut self, now: Time) -> bool {
        self.take_within(1.0, now)
    }

    /// Refunds an extra attempt that was taken but not sent.
    pub fn give_back(&mut self) {
        if let Some(last) = self.slices.iter_mut().rev().find(|slice| slice.extras > 0) {
            last.extras -= 1;
            self.extras -= 1;
        }
    }

    /// Takes an extra attempt if those in the window stay within this share of the bound. Returns whether
    /// one was available.
    pub(super) fn take_within(&mut self, share: f64, now: Time) -> bool {
        let is_allowed = self.has_within(share, now);
        if is_allowed {
            self.current_slice(now).extras += 1;
            self.extras += 1;
        }
        is_allowed
    }

    /// Returns the number of extra attempts available.
    pub fn available(&mut self, now: Time) -> f64 {
        self.current_slice(now);
        (self.allowed() - f64::from(self.extras)).max(0.0)
    }

    /// Returns whether one more extra attempt stays within this share of the bound.
    pub(super) fn has_within(&mut self, share: f64, now: Time) -> bool {
        self.current_slice(now);
        f64::from(self.extras) + 1.0 <= self.allowed() * share
    }

    /// Returns the bound on extra attempts in the window.
    fn allowed(&self) -> f64 {
        self.ratio * f64::from(self.firsts) + self.slack
    }

    /// Expires old slices and returns the current one.
    fn current_slice(&mut self, now: Time) -> &mut Slice {
        let number = (now.as_micros() / self.slice.as_micros()) as u64;
        while let Some(oldest) = self.slices.front() {
            if oldest.number + EXTRA_SLICES > number {
                break;
            }
            self.firsts -= oldest.firsts;
            self.extras -= oldest.extras;
            self.slices.pop_front();
        }
        for slice in &mut self.slices {
            if slice.number + FIRST_SLICES > number {
                break;
            }
            self.firsts -= std::mem::take(&mut slice.firsts);
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(Slice {
                number,
                firsts: 0,
                extras: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
