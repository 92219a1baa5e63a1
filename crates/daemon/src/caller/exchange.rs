//! A caller's request on its way through the filters.
//!
//! An [`Exchange`] is typed by its stage and its body, so that each filter's signature states what
//! it requires and what it adds.

use super::target::Action;
use crate::server::Intake;
use crate::service::{Call, Configuration};
use hyper::HeaderMap;
use hyper::body::Incoming;
use monsoonring_configuration::document::{Class, Route};
use monsoonring_configuration::id::CallerId;
use monsoonring_decision::{Fingerprint, RequestId};
use std::sync::Arc;
use std::time::Instant;

/// Parts of a request that are available as soon as its head has been read.
pub(crate) struct Head {
    pub(crate) request: RequestId,
    /// Time at which the head was complete.
    pub(crate) arrived: Instant,
    /// Name of the route, as sent.
    pub(crate) route: String,
    /// Operation on the route, from the path.
    pub(crate) action: Action,
    pub(crate) headers: HeaderMap,
    /// Reads the body.
    pub(crate) intake: Intake,
    /// Configuration in force on arrival; all filters of a request use the same one.
    pub(crate) configuration: Arc<Configuration>,
}

/// A request at one stage of the filter chain.
pub(crate) struct Exchange<Stage, Body = Incoming> {
    pub(crate) head: Head,
    /// Results of the filters so far.
    pub(crate) stage: Stage,
    /// The body, unread at first.
    pub(crate) body: Body,
}

impl<Stage, Body> Exchange<Stage, Body> {
    /// Moves to the next stage.
    pub(crate) fn advance<Next>(self, next: impl FnOnce(Stage) -> Next) -> Exchange<Next, Body> {
        Exchange {
            head: self.head,
            stage: next(self.stage),
            body: self.body,
        }
    }

    /// Replaces the body.
    pub(crate) fn with_body<Other>(self, body: Other) -> Exchange<Stage, Other> {
        Exchange {
            head: self.head,
            stage: self.stage,
            body,
        }
    }
}

/// First stage: only the head is known.
pub(crate) struct Arrived;

/// Stage at which the caller is identified.
pub(crate) struct Identified {
    pub(crate) caller: CallerId,
    /// Priority class of its requests.
    pub(crate) class: Class,
}

/// Stage at which the route is known and the caller is authorised to use it.
pub(crate) struct Routed {
    pub(crate) identified: Identified,
    pub(crate) route: Arc<Route>,
}

/// Stage at which the deadline is known.
pub(crate) struct WithDeadline {
    pub(crate) routed: Routed,
    /// Time by which the caller wants the answer.
    pub(crate) deadline: Instant,
}

/// Stage at which the idempotency key, if the action needs one, has been read.
pub(crate) struct WithKey {
    pub(crate) with_deadline: WithDeadline,
    pub(crate) operation: Operation,
}

/// The operation to call the service with, and its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Runs a search.
    Search,
    /// Issues an idempotency key.
    Mint,
    /// Runs a non-idempotent request.
    Execute {
        /// Idempotency key.
        key: String,
        /// Number of this send, counted by the caller from 1.
        send: Option<u32>,
    },
}

/// A body that was read and parsed as JSON.
pub(crate) struct Json {
    /// Text as sent.
    pub(crate) text: Arc<str>,
    /// The parsed text.
    pub(crate) value: serde_json::Value,
}

/// A body with its fingerprint.
pub(crate) struct Fingerprinted {
    /// Text as sent.
    pub(crate) text: Arc<str>,
    /// Hash of route and body.
    pub(crate) fingerprint: Fingerprint,
}

impl Exchange<WithKey, Fingerprinted> {
    /// Returns the service call and the operation for this request.
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
