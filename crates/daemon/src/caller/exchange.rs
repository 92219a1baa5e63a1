//! A caller's request on its way through the filters.
//!
//! An [`Exchange`] is typed by its stage and its body, so that each filter says what must have been
//! found out before it and what is known after it.

use super::target::Action;
use crate::service::{Call, Configuration};
use hyper::HeaderMap;
use hyper::body::Incoming;
use monsoonring_configuration::document::{Class, Route};
use monsoonring_configuration::id::CallerId;
use monsoonring_decision::{Fingerprint, RequestId};
use std::sync::Arc;
use std::time::Instant;

/// What is known of a request from its head alone.
pub(crate) struct Head {
    /// Its id.
    pub(crate) request: RequestId,
    /// Time at which the head was complete.
    pub(crate) arrived: Instant,
    /// Name of the route, as sent.
    pub(crate) route: String,
    /// What to do with the route.
    pub(crate) action: Action,
    /// All headers.
    pub(crate) headers: HeaderMap,
    /// The configuration that was in force when it arrived; all filters see the same one.
    pub(crate) configuration: Arc<Configuration>,
}

/// A request at one stage.
pub(crate) struct Exchange<Stage, Body = Incoming> {
    /// What its head said.
    pub(crate) head: Head,
    /// What the filters have found out.
    pub(crate) stage: Stage,
    /// Its body, read or not.
    pub(crate) body: Body,
}

impl<Stage, Body> Exchange<Stage, Body> {
    /// Moves on to the next stage.
    pub(crate) fn advance<Next>(self, next: impl FnOnce(Stage) -> Next) -> Exchange<Next, Body> {
        Exchange {
            head: self.head,
            stage: next(self.stage),
            body: self.body,
        }
    }

    /// Puts another form of the body in place of the present one.
    pub(crate) fn with_body<Other>(self, body: Other) -> Exchange<Stage, Other> {
        Exchange {
            head: self.head,
            stage: self.stage,
            body,
        }
    }
}

/// Nothing is known but the head.
pub(crate) struct Arrived;

/// The caller is known.
pub(crate) struct Identified {
    /// Its name.
    pub(crate) caller: CallerId,
    /// How much its requests count.
    pub(crate) class: Class,
}

/// The route is known, and the caller may use it.
pub(crate) struct Routed {
    /// The caller.
    pub(crate) identified: Identified,
    /// The route.
    pub(crate) route: Arc<Route>,
}

/// The time that remains is known.
pub(crate) struct WithDeadline {
    /// Caller and route.
    pub(crate) routed: Routed,
    /// Time by which the caller wants the answer.
    pub(crate) deadline: Instant,
}

/// A key is there if the action needs one.
pub(crate) struct WithKey {
    /// Caller, route and deadline.
    pub(crate) with_deadline: WithDeadline,
    /// What is to be done.
    pub(crate) operation: Operation,
}

/// What is to be done, with what it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Search.
    Search,
    /// Issue a key.
    Mint,
    /// Run a non-idempotent request.
    Execute {
        /// Its key.
        key: String,
        /// The caller's count of its sends.
        send: Option<u32>,
    },
}

/// A body that has been read and is JSON.
pub(crate) struct Json {
    /// The text, as sent.
    pub(crate) text: Arc<str>,
    /// What it means.
    pub(crate) value: serde_json::Value,
}

/// A body with its fingerprint.
pub(crate) struct Fingerprinted {
    /// The text, as sent.
    pub(crate) text: Arc<str>,
    /// Hash of route and body.
    pub(crate) fingerprint: Fingerprint,
}

impl Exchange<WithKey, Fingerprinted> {
    /// Returns the call that the request amounts to.
    pub(crate) fn into_call(self) -> (Call, Operation) {
        let WithKey {
            with_deadline,
            operation,
        } = self.stage;
        let Routed { identified, route } = with_deadline.routed;
        let call = Call {
            request: self.head.request,
            route,
            caller: identified.caller,
            class: identified.class,
            deadline: with_deadline.deadline,
            fingerprint: self.body.fingerprint,
            body: self.body.text,
        };
        (call, operation)
    }
}
