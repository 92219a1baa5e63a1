//! The handle through which the daemon sends requests and events to a route's task.

use monsoonring_decision::RequestId;
use monsoonring_decision::content::{Content, Json};
use monsoonring_decision::home::Event;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::outcome::{Outcome, Reason};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

/// A message to the route's task.
pub(crate) enum Input<C: Content = Json> {
    /// A request, and the sender for its outcome.
    Request(Request<C>, oneshot::Sender<Outcome<C::Value>>),
    /// Any other event.
    Event(Event<C>),
    /// A query for the state, for operators.
    State(oneshot::Sender<Value>),
}

/// Sends messages to a route's task.
#[derive(Clone, Debug)]
pub(crate) struct Handle<C: Content = Json> {
    inputs: mpsc::UnboundedSender<Input<C>>,
}

impl<C: Content> Handle<C> {
    pub(crate) fn new(inputs: mpsc::UnboundedSender<Input<C>>) -> Self {
        Self { inputs }
    }

    /// Runs a request. Dropping the future reports the request to the home as abandoned.
    pub(crate) async fn run(&self, request: Request<C>) -> Outcome<C::Value> {
        let (sender, receiver) = oneshot::channel();
        let mut guard = Guard {
            handle: self,
            request: Some(request.id),
        };
        if self.inputs.send(Input::Request(request, sender)).is_err() {
            guard.request = None;
            return Outcome::NotRun {
                reason: Reason::Stopping,
                retry_after: None,
            };
        }
        let outcome = receiver.await;
        guard.request = None;
        outcome.unwrap_or(Outcome::Unknown {
            reason: Reason::Stopping,
        })
    }

    /// Sends an event to the home; does nothing if the home has ended.
    pub(crate) fn send(&self, event: Event<C>) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Returns a handle that doesn't keep the home's task running.
    pub(crate) fn downgrade(&self) -> WeakHandle<C> {
        WeakHandle {
            inputs: self.inputs.downgrade(),
        }
    }

    /// Returns the state for operators, `None` if the home has ended.
    pub(crate) async fn state(&self) -> Option<Value> {
        let (sender, receiver) = oneshot::channel();
        self.inputs.send(Input::State(sender)).ok()?;
        receiver.await.ok()
    }
}

/// A handle to a home that takes no new requests. Its requests hold handles of their own.
#[derive(Clone, Debug)]
pub(crate) struct WeakHandle<C: Content = Json> {
    inputs: mpsc::WeakUnboundedSender<Input<C>>,
}

impl<C: Content> WeakHandle<C> {
    /// Returns a handle, or `None` if the home's last request has ended.
    pub(crate) fn upgrade(&self) -> Option<Handle<C>> {
        self.inputs.upgrade().map(Handle::new)
    }
}

/// Reports a request as abandoned if the future that awaits it is dropped.
struct Guard<'a, C: Content> {
    handle: &'a Handle<C>,
    request: Option<RequestId>,
}

impl<C: Content> Drop for Guard<'_, C> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.handle.send(Event::Abandoned(request));
        }
    }
}
