//! Reports of health and load that can be stale or wrong.
//!
//! A view keeps timestamped values, so that a lagging report returns an old value immediately
//! rather than the current value late.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How a report relates to the actual value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Mode<T> {
    /// Reports the current value.
    #[default]
    True,
    /// Reports the value from this long ago.
    Lag(Duration),
    /// Always reports this value.
    Fixed(T),
}

pub(crate) struct View<T> {
    state: Mutex<State<T>>,
}

struct State<T> {
    mode: Mode<T>,
    /// Changes in time order, starting with the value reported now.
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

    /// Records the current value, if it changed.
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

    /// Returns the value to report; `None` only if nothing was ever recorded.
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
    /// Drops values that were already replaced at the reported time.
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
