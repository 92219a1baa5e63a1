//! Label sets and label values of the metrics.

use derive_more::Display;
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::client;
use monsoonring_decision::outcome::Reason;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use std::fmt::{self, Write};

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum OutcomeLabel {
    /// A search answered from all of the data.
    #[display("complete")]
    Complete,
    /// A search answered from part of the data.
    #[display("partial")]
    Partial,
    /// A non-idempotent request that was executed.
    #[display("executed")]
    Executed,
    /// An idempotency key was issued.
    #[display("issued")]
    Issued,
    /// The request did not run at a backend server.
    #[display("not_run")]
    NotRun,
    /// The request ran and failed.
    #[display("failed")]
    Failed,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The caller disconnected before the answer.
    #[display("abandoned")]
    Abandoned,
    /// The daemon's stop timeout expired first.
    #[display("cut")]
    Cut,
}

/// Labels of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Request {
    /// The route; empty if the request was refused before its route was determined.
    pub route: RouteId,
    /// The caller's class; empty if the request was refused before the caller was identified.
    pub class: ClassLabel,
    /// The outcome.
    pub outcome: OutcomeLabel,
}

/// A caller's class, displayed as an empty text if unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassLabel(pub Option<Class>);

impl fmt::Display for ClassLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self.0 {
            Some(Class::Urgent) => "urgent",
            Some(Class::Normal) => "normal",
            Some(Class::Background) => "background",
            None => "",
        })
    }
}

/// Label of metrics by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByRoute {
    /// The route.
    pub route: RouteId,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptKind {
    /// The first attempt for its keys.
    #[display("first")]
    First,
    /// Sent in parallel with a slow attempt.
    #[display("hedge")]
    Hedge,
    /// Sent after a failed attempt.
    #[display("retry")]
    Retry,
    /// For keys that an earlier attempt was not sent for or that its reply did not cover.
    #[display("rest")]
    Rest,
}

/// Labels of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Attempt {
    /// The route.
    pub route: RouteId,
    /// Why the attempt was sent.
    pub kind: AttemptKind,
}

/// Labels of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Refusal {
    /// The route; empty if the request was refused before its route was determined.
    pub route: RouteId,
    /// The caller's class; empty if the request was refused before the caller was identified.
    pub class: ClassLabel,
    /// The reason: the last segment of the problem's type.
    pub reason: &'static str,
}

/// Label of a search that was delegated to another host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Delegation {
    /// Outcome of the delegation.
    pub outcome: &'static str,
}

/// Labels of metrics by route and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByClass {
    /// The route.
    pub route: RouteId,
    /// The caller's class.
    pub class: ClassLabel,
}

/// Labels of failed attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailedAttempt {
    /// The route.
    pub route: RouteId,
    /// Why the attempt failed.
    pub reason: &'static str,
}

/// Labels of hedges.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Hedge {
    /// The route.
    pub route: RouteId,
    /// `won` if the hedge's reply was used, else `lost`.
    pub result: &'static str,
}

/// Labels of replies that were not merged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Discard {
    /// The route.
    pub route: RouteId,
    /// Why the reply was not merged.
    pub reason: &'static str,
}

/// Labels of a status change of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServerEvent {
    /// The route.
    pub route: RouteId,
    /// `leaving`, `unreachable`, `back_off`, `unopened` or `crash_evidence`.
    pub event: &'static str,
}

/// Label of requests forwarded to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Forward {
    /// Result of the forwarded request: `answered`, `declined` or `lost`.
    pub result: &'static str,
}

/// Label of the ledger's decisions on idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KeyDecision {
    /// The decision, such as `run`.
    pub decision: &'static str,
}

/// Label of received configuration documents.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConfigurationEvent {
    /// What was decided: `adopted`, `rejected`, `stale` or `conflict`.
    pub event: &'static str,
}

/// Labels of new facts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Fact {
    /// `leaving`, `crashing_request` or `crash_evidence`.
    pub kind: &'static str,
    /// `learned` by this daemon or `heard` from another.
    pub source: &'static str,
}

/// The kind of peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Side {
    /// A caller.
    #[display("caller")]
    Caller,
    /// An operator.
    #[display("operator")]
    Operator,
    /// Another daemon.
    #[display("peer")]
    Peer,
    /// A backend server.
    #[display("backend_server")]
    BackendServer,
}

/// Label of connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Connection {
    /// The kind of peer.
    pub side: Side,
}

/// Label of connections that were closed because others need their resources.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Shed {
    /// The kind of peer.
    pub side: Side,
    /// `connections`, `request_memory` or `answer_memory`.
    pub reason: &'static str,
}

impl Shed {
    /// Creates the label of one connection.
    pub fn new(side: Side, reason: client::Shed) -> Self {
        let reason = match reason {
            client::Shed::Connection => "connections",
            client::Shed::Request => "request_memory",
            client::Shed::Answer => "answer_memory",
        };
        Self { side, reason }
    }
}

/// State of a member, without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum MemberState {
    /// The member answers.
    #[display("alive")]
    Alive,
    /// The member may be dead.
    #[display("suspect")]
    Suspect,
    /// The member left gracefully.
    #[display("left")]
    Left,
    /// The member is dead.
    #[display("dead")]
    Dead,
}

/// Label of members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Member {
    /// Their state.
    pub state: MemberState,
}

/// Encodes label values with their `Display` text; the library's derive would write variant names.
macro_rules! encode_with_display {
    ($($value:ty),+) => {
        $(impl EncodeLabelValue for $value {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                write!(encoder, "{self}")
            }
        })+
    };
}

encode_with_display!(OutcomeLabel, ClassLabel, AttemptKind, Side, MemberState);

/// Returns the label value of an outcome's reason.
pub(crate) fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "deadline",
        Reason::Overload => "overload",
        Reason::Unavailable => "unavailable",
        Reason::Suspect => "suspect",
        Reason::Stopping => "stopping",
        Reason::Abandoned => "abandoned",
        Reason::BackendServer => "backend_server",
        Reason::Lost => "lost",
        Reason::Fence => "fence",
    }
}
