//! Labels of the metrics.

use derive_more::Display;
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::outcome::Reason;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use std::fmt::{self, Write};

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RequestOutcome {
    /// Answered from all of the data.
    #[display("complete")]
    Complete,
    /// Answered from a part of the data.
    #[display("partial")]
    Partial,
    /// Executed.
    #[display("executed")]
    Executed,
    /// A key was issued.
    #[display("issued")]
    Issued,
    /// It did not run.
    #[display("not_run")]
    NotRun,
    /// It ran and failed.
    #[display("failed")]
    Failed,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// The caller went away.
    #[display("abandoned")]
    Abandoned,
    /// A stop cut it off.
    #[display("cut")]
    Cut,
}

/// Labels of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Request {
    /// The route; empty where it was refused before one was known.
    pub route: RouteId,
    /// The caller's class; empty where it was refused before the caller was known.
    pub class: ClassLabel,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// A caller's class, or none.
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

/// Label of what is kept by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByRoute {
    /// The route.
    pub route: RouteId,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum AttemptKind {
    /// For the first time.
    #[display("first")]
    First,
    /// Beside a straggler.
    #[display("hedge")]
    Hedge,
    /// After a failure.
    #[display("retry")]
    Retry,
    /// For keys that an attempt did not leave for, or that its reply did not cover.
    #[display("rest")]
    Rest,
}

/// Labels of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Attempt {
    /// The route.
    pub route: RouteId,
    /// Why it was sent.
    pub kind: AttemptKind,
}

/// Labels of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Refusal {
    /// The route; empty where it was refused before one was known.
    pub route: RouteId,
    /// The caller's class; empty where it was refused before the caller was known.
    pub class: ClassLabel,
    /// Why it was refused: the last part of the problem's type.
    pub reason: &'static str,
}

/// Label of a search that was handed to another host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Delegation {
    /// How that ended.
    pub outcome: &'static str,
}

/// Labels of what is measured by route and class.
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
    /// Why it failed.
    pub reason: &'static str,
}

/// Labels of hedges.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Hedge {
    /// The route.
    pub route: RouteId,
    /// `won` or `lost`.
    pub result: &'static str,
}

/// Labels of replies that were not merged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Discard {
    /// The route.
    pub route: RouteId,
    /// Why it was not merged.
    pub reason: &'static str,
}

/// Labels of what was found of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServerEvent {
    /// The route.
    pub route: RouteId,
    /// `leaving`, `unreachable` or `back_off`.
    pub event: &'static str,
}

/// Label of requests passed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Forward {
    /// `answered`, `declined` or `lost`.
    pub result: &'static str,
}

/// Label of decisions on keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KeyDecision {
    /// The decision.
    pub decision: &'static str,
}

/// Label of decisions on documents.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConfigurationEvent {
    /// `adopted`, `rejected`, `stale` or `conflict`.
    pub event: &'static str,
}

/// Labels of facts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Fact {
    /// What they are about.
    pub kind: &'static str,
    /// `learned` or `heard`.
    pub source: &'static str,
}

/// Who is at the other end of a connection.
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
    /// Who is at the other end.
    pub side: Side,
}

/// What a member is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum MemberState {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It may be dead.
    #[display("suspect")]
    Suspect,
    /// It left gracefully.
    #[display("left")]
    Left,
    /// It is dead.
    #[display("dead")]
    Dead,
}

/// Label of members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Member {
    /// What they are taken to be.
    pub state: MemberState,
}

/// Writes label values as they are displayed; the library's derive would write the names of the
/// variants.
macro_rules! displayed {
    ($($value:ty),+) => {
        $(impl EncodeLabelValue for $value {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                write!(encoder, "{self}")
            }
        })+
    };
}

displayed!(RequestOutcome, ClassLabel, AttemptKind, Side, MemberState);

/// Name of an outcome's reason.
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
