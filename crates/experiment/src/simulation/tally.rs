//! What callers got.

use super::site::Site;
use crate::report::Latencies;
use hdrhistogram::Histogram;
use monsoonring_decision::Time;
use std::time::Duration;

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Windows that count as the worst.
const WORST: usize = 2;

/// Latencies in microseconds up to a minute, with three digits.
const LONGEST_MICROS: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// What a span of time, or a kind of request, came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Requests.
    pub asked: u64,
    /// What their answers were worth, and would have been worth at best.
    pub earned: f64,
    /// See `earned`.
    pub owed: f64,
    /// Requests answered at all.
    pub served: u64,
    /// Sum of the coverage of the answers.
    pub coverage: f64,
    /// Attempts that were the first at their shard, and further ones.
    pub firsts: u64,
    /// See `firsts`.
    pub extras: u64,
}

impl Sum {
    /// Returns the worth as a share of the best, 1 where nothing was owed.
    pub fn worth(&self) -> f64 {
        share(self.earned, self.owed)
    }

    /// Returns the share of the requests that were answered.
    pub fn served(&self) -> f64 {
        share(self.served as f64, self.asked as f64)
    }

    /// Returns the mean coverage of the answers.
    pub fn coverage(&self) -> f64 {
        share(self.coverage, self.served as f64)
    }

    /// Returns the extra attempts as a share of the first ones, 0 without any.
    pub fn repeats(&self) -> f64 {
        match self.firsts {
            0 => 0.0,
            firsts => self.extras as f64 / firsts as f64,
        }
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.earned += other.earned;
        self.owed += other.owed;
        self.served += other.served;
        self.coverage += other.coverage;
        self.firsts += other.firsts;
        self.extras += other.extras;
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Its kind.
    pub kind: usize,
    /// When the caller first asked.
    pub asked: Time,
    /// When the answer arrived, and its coverage.
    pub answer: Option<(Time, f64)>,
}

/// What one day came to.
#[derive(Clone, Debug)]
pub struct Tally {
    /// By window of the first asking.
    pub windows: Vec<Sum>,
    /// By kind of request.
    pub kinds: Vec<Sum>,
    /// By kind of request: latency of the answers from the first asking.
    pub latencies: Vec<Latencies>,
    /// Refusals, and requests refused again after they came back.
    pub refused: (u64, u64),
    /// Connections that servers ended as too many.
    pub unopened: u64,
}

impl Tally {
    /// Makes an empty one for a day of that length.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are in order.
    pub fn new(site: &Site, length: Duration) -> Self {
        let windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        let latencies = Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS);
        let latencies = latencies.expect("the bounds are in order");
        Self {
            windows: vec![Sum::default(); windows.ceil() as usize],
            kinds: vec![Sum::default(); site.kinds.len()],
            latencies: vec![latencies; site.kinds.len()],
            refused: (0, 0),
            unopened: 0,
        }
    }

    /// Takes in how a request ended. An answer is worth its coverage squared.
    pub fn ended(&mut self, site: &Site, ended: Ended) {
        let kind = &site.kinds[ended.kind];
        let mut sum = Sum {
            asked: 1,
            owed: kind.worth.0,
            ..Sum::default()
        };
        if let Some((at, coverage)) = ended.answer {
            let took = at.saturating_sub(ended.asked);
            let in_time = took <= kind.objective;
            let worth = if in_time { kind.worth.0 } else { kind.worth.1 };
            sum.served = 1;
            sum.coverage = coverage;
            sum.earned = worth * coverage * coverage;
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            self.latencies[ended.kind].saturating_record(micros);
        }
        self.kinds[ended.kind].add(&sum);
        self.window(ended.asked).add(&sum);
    }

    /// Takes in that an attempt was sent.
    pub fn sent(&mut self, now: Time, is_first: bool) {
        let window = self.window(now);
        match is_first {
            true => window.firsts += 1,
            false => window.extras += 1,
        }
    }

    /// Returns the sum over the day.
    pub fn day(&self) -> Sum {
        let mut day = Sum::default();
        self.windows.iter().for_each(|window| day.add(window));
        day
    }

    /// Returns the mean worth of the worst windows.
    pub fn worst(&self) -> f64 {
        let asked = self.windows.iter().filter(|window| window.asked > 0);
        let mut worths: Vec<f64> = asked.map(Sum::worth).collect();
        worths.sort_by(f64::total_cmp);
        let worst = &worths[..WORST.min(worths.len())];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    fn window(&mut self, at: Time) -> &mut Sum {
        let number = (at.as_secs_f64() / WINDOW.as_secs_f64()) as usize;
        let last = self.windows.len() - 1;
        &mut self.windows[number.min(last)]
    }
}
