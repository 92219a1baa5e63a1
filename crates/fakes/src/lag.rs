//! Reports that lag or mislead.
//!
//! A view keeps the values that were reported together with their times, so that a lagging one can
//! show the value of some time ago instead of a delayed reply with the present one.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How a report relates to the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Mode<T> {
    /// The present value.
    #[default]
    True,
    /// The value of that long ago.
    Lag(Duration),
    /// Always this value.
    Fixed(T),
}

pub(crate) struct View<T> {
    state: Mutex<State<T>>,
}

struct State<T> {
    mode: Mode<T>,
    /// Changes in the order of time; the first one is the oldest that may still be asked for.
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone + PartialEq> View<T> {
    pub(crate) fn new(mode: Mode<T>, first: T) -> Self {
        let history = VecDeque::from([(Instant::now(), first)]);
        let state = Mutex::new(State { mode, history });
        Self { state }
    }

    pub(crate) fn set_mode(&self, mode: Mode<T>) {
        self.lock().mode = mode;
    }

    /// Records the present value.
    pub(crate) fn record(&self, value: T) {
        let mut state = self.lock();
        let unchanged = state.history.back().is_some_and(|(_, last)| *last == value);
        if unchanged {
            return;
        }
        let now = Instant::now();
        state.history.push_back((now, value));
        state.prune(now);
    }

    /// What is reported now; `None` only where nothing was ever recorded.
    pub(crate) fn read(&self) -> Option<T> {
        let mut state = self.lock();
        if let Mode::Fixed(value) = &state.mode {
            return Some(value.clone());
        }
        state.prune(Instant::now());
        state.history.front().map(|(_, value)| value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> State<T> {
    /// Drops the values that a later one had replaced before the time that is reported.
    fn prune(&mut self, now: Instant) {
        let lag = match self.mode {
            Mode::Lag(lag) => lag,
            Mode::True | Mode::Fixed(_) => Duration::ZERO,
        };
        while self.history.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.history.pop_front();
        }
    }
}
