//! Extra attempts in a sliding window, where the owners of the backend servers count them so.
//!
//! They allow a share of the requests in any window of some seconds, and a few more. A token bucket that keeps
//! to that can save up no more than the few: after a calm it has hardly more to give than in the
//! midst of a storm, though the window would allow all that the calm left over. While servers lost
//! 40 % of their answers for four seconds, that made the difference between one shard in three
//! missing and one in six, which two attempts leave at best.
//!
//! Time is cut into slices. First attempts count for a little less than the window and extra ones
//! for a little more, so that neither the slices nor the way to the servers can exceed the bound.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Slices that the owners' window is cut into, those in which first attempts count, and those in which
/// extra ones do.
const SLICES: u32 = 20;
const FIRST_SLICES: u64 = 19;
const EXTRA_SLICES: u64 = 22;

/// Share of what is allowed that hedges which can wait may use; the rest stays for retries, without
/// which a shard is missing.
const HEDGE_SHARE: f64 = 0.55;

/// Attempts in one slice of time.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    firsts: u32,
    extras: u32,
}

/// What was sent to one group lately.
#[derive(Clone, Debug)]
pub struct Window {
    ratio: f64,
    slack: f64,
    /// Length of a slice.
    slice: Duration,
    slices: VecDeque<Slice>,
    firsts: u32,
    extras: u32,
}

impl Window {
    /// Makes a window of this length in which `percent` extra attempts per hundred first ones, and
    /// `slack` more, are allowed.
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

    /// Takes over a new percentage.
    pub fn set_percent(&mut self, percent: f64) {
        self.ratio = percent / 100.0;
    }

    /// Takes over a new slack.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records a first attempt.
    pub fn first(&mut self, now: Time) {
        self.slice(now).firsts += 1;
        self.firsts += 1;
    }

    /// Takes an extra attempt that can wait. Returns whether there was one.
    pub fn take_deferrable(&mut self, now: Time) -> bool {
        self.take_of(HEDGE_SHARE, now)
    }

    /// Takes an extra attempt. Returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.take_of(1.0, now)
    }

    /// Gives back an extra attempt that was taken and not sent.
    pub fn give_back(&mut self) {
        if let Some(last) = self.slices.iter_mut().rev().find(|slice| slice.extras > 0) {
            last.extras -= 1;
            self.extras -= 1;
        }
    }

    /// Takes an extra attempt out of a share of what is allowed. Returns whether there was one.
    pub(super) fn take_of(&mut self, share: f64, now: Time) -> bool {
        let may = self.has_of(share, now);
        if may {
            self.slice(now).extras += 1;
            self.extras += 1;
        }
        may
    }

    /// Returns the extra attempts that could be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.slice(now);
        (self.allowed() - f64::from(self.extras)).max(0.0)
    }

    /// Tells whether there is an extra attempt in a share of what is allowed.
    pub(super) fn has_of(&mut self, share: f64, now: Time) -> bool {
        self.slice(now);
        f64::from(self.extras) + 1.0 <= self.allowed() * share
    }

    /// Returns the extra attempts that are allowed in the window, those made included.
    fn allowed(&self) -> f64 {
        self.ratio * f64::from(self.firsts) + self.slack
    }

    /// Returns the slice of the present, and drops those that count no more.
    fn slice(&mut self, now: Time) -> &mut Slice {
        let number = (now.as_micros() / self.slice.as_micros()) as u64;
        while let Some(oldest) = self.slices.front() {
            if oldest.number + EXTRA_SLICES > number {
                break;
            }
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
