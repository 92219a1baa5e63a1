//! Stages of a planned stop.
//!
//! Stages only advance. Participants watch the stage and are not called, so none can block the
//! stop.

use tokio::sync::watch;

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
    /// Requests still in flight are cut off.
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
