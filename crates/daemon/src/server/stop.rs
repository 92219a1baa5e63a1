//! The stages of a planned stop.
//!
//! A stage only ever follows an earlier one. Everything that takes part in a stop watches the
//! stage; nobody is called, so nobody can be forgotten or hold the stop up.

use tokio::sync::watch;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// No stop is planned.
    #[default]
    Serving,
    /// Not ready any more, so that the balancer looks elsewhere; requests are still served.
    Leaving,
    /// No new connections; what is in flight is finished.
    Draining,
    /// What is still in flight is cut off.
    Cut,
}

/// Moves a stop on.
#[derive(Debug)]
pub(crate) struct Control(watch::Sender<Stage>);

/// Sees how far a stop has come.
#[derive(Clone, Debug)]
pub(crate) struct Watch(watch::Receiver<Stage>);

impl Control {
    /// Makes the two ends.
    pub(crate) fn new() -> (Self, Watch) {
        let (sender, receiver) = watch::channel(Stage::default());
        (Self(sender), Watch(receiver))
    }

    /// Moves on to `stage`; an earlier stage than the present one is ignored.
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
    /// Returns the present stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.0.borrow()
    }

    /// Waits until `stage` or a later one has come. A control that is gone counts as the last
    /// stage: nobody is left who could end the wait.
    pub(crate) async fn reached(&mut self, stage: Stage) {
        let _gone = self.0.wait_for(|present| *present >= stage).await;
    }
}
