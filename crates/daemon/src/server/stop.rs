//! Stages of a planned stop.
//!
//! Stages only advance. Participants watch the stage and are not called, so none can block the
//! stop.

use std::time::Duration;
use tokio::sync::watch;

/// Time at the end of a stop for delivering the last answers.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(200);

/// The same as a share of the stop's duration, for short stops.
const DELIVERY_SHARE: f64 = 0.05;

/// The times of a stop, counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Schedule {
    /// When homes end the requests that are left.
    pub(crate) end_requests: Duration,
    /// When the requests that have no outcome by then are answered without one; see
    /// [`Stage::Ending`].
    pub(crate) answer: Duration,
    /// When connections are closed; see [`Stage::Cut`].
    pub(crate) cut: Duration,
}

impl Schedule {
    /// Returns the schedule of a stop that takes `timeout` at most.
    pub(crate) fn new(timeout: Duration) -> Self {
        let delivery = timeout.mul_f64(DELIVERY_SHARE).min(MAX_DELIVERY_TIME);
        Self {
            end_requests: timeout - delivery,
            answer: timeout - delivery / 2,
            cut: timeout,
        }
    }
}

/// Stage of a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// No stop has begun.
    #[default]
    Serving,
    /// Readiness checks fail, so that load balancers stop sending; requests are still served.
    Leaving,
    /// No new connections are accepted; requests in flight are finished.
    Draining,
    /// Requests still in flight are answered at once.
    Ending,
    /// Connections are closed, also those with requests in flight.
    Cut,
}

/// Advances a stop.
#[derive(Debug)]
pub(crate) struct Control(watch::Sender<Stage>);

/// Watches the stage of a stop.
#[derive(Clone, Debug)]
pub(crate) struct Watch(watch::Receiver<Stage>);

impl Control {
    /// Creates a connected pair.
    pub(crate) fn new() -> (Self, Watch) {
        let (sender, receiver) = watch::channel(Stage::default());
        (Self(sender), Watch(receiver))
    }

    /// Advances to `stage`; does nothing if the stop is already at or past it.
    pub(crate) fn advance(&self, stage: Stage) {
        self.0.send_if_modified(|present| {
            let later = stage > *present;
            if later {
                *present = stage;
            }
            later
        });
    }
}

impl Watch {
    /// Returns the current stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.0.borrow()
    }

    /// Waits until the stop reaches `stage`. A dropped [`Control`] counts as the last stage.
    pub(crate) async fn reached(&mut self, stage: Stage) {
        let _gone = self.0.wait_for(|present| *present >= stage).await;
    }
}
