//! Events that a home handles.

use super::params::Params;
use crate::attempt::{AttemptId, ConnectFailure, ConnectionId, Failure};
use crate::backend::ColdLimit;
use crate::backend::suspect::Announcement;
use crate::content::{Content, Json};
use crate::placement::Homes;
use crate::query::coverage::KeySet;
use crate::reply::{Reply, Report};
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::document::{Class, Route};
use monsoonring_configuration::id::{BackendServerId, CallerId, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A request that was routed to this home.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<C: Content = Json> {
    /// Id of the request, unique over all daemons.
    pub id: RequestId,
    /// The caller that sent it.
    pub caller: CallerId,
    /// Priority class, which decides the order in queues and admission.
    pub class: Class,
    /// Time by which the caller needs the answer, on this process's clock.
    pub deadline: Time,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// Body that is sent to the backend servers.
    pub body: C::Query,
    /// Idempotency key of a non-idempotent request; `None` for a search.
    pub execute_key: Option<Arc<str>>,
    /// Parameters of the request; `None` for the parameters of the home's route.
    pub params: Option<Params>,
    /// The requested keys.
    pub scope: Scope,
}

/// The keys that a search covers, and those of them that another home searches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// The requested keys; `None` for all keys of the route.
    pub only: Option<KeySet>,
    /// Keys among them that are delegated to another home. [`Event::DelegatedReply`] or
    /// [`Event::DelegationFailed`] reports the result.
    pub delegated: KeySet,
}

/// Whether another home started to search the keys delegated to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It sent no attempt and will not.
    NotStarted,
    /// It may have sent as many attempts per part as the request allows.
    MaybeStarted,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<C: Content = Json> {
    /// A request arrived.
    Request(Request<C>),
    /// The caller of a request disconnected.
    Abandoned(RequestId),
    /// Another home searched delegated keys; the ranges of the reply are the keys that it covers.
    DelegatedReply(RequestId, Reply<C::Value>),
    /// Another home did not return a result for the keys delegated to it.
    DelegationFailed(RequestId, Progress),
    /// A requested connection is ready.
    Opened(ConnectionId),
    /// A requested connection could not be opened, or an idle one was closed.
    Closed(ConnectionId),
    /// A requested connection could not be opened, with the cause.
    ConnectFailed(ConnectionId, ConnectFailure),
    /// An attempt was answered; its connection is idle again.
    Reply(AttemptId, Reply<C::Value>),
    /// An attempt of a non-idempotent request returned its result.
    Executed(AttemptId, C::Value, Report),
    /// An attempt ended without a usable reply.
    Failed(AttemptId, Failure),
    /// The configuration of the route changed.
    Route(Arc<Route>),
    /// Backend servers that were replaced: the instances at these addresses have other start
    /// numbers.
    Replaced(BTreeSet<BackendServerId>),
    /// The backend servers of the route that are in other data centres than this home. Replaces the
    /// previous set.
    RemoteServers(BTreeSet<BackendServerId>),
    /// All backend servers that are cold, of this route or others. Replaces the previous set.
    Cold(BTreeMap<BackendServerId, ColdLimit>),
    /// The set of homes of the route, this one included, changed.
    Homes(Homes),
    /// A backend server is leaving. Only a start number above `start` ends this state.
    Leaving {
        /// The server that is leaving.
        backend_server: BackendServerId,
        /// The start number that is leaving, if known.
        start: Option<Incarnation>,
    },
    /// Another home found that requests with this fingerprint crash backend servers.
    Suspect {
        /// Fingerprint of the requests.
        fingerprint: Fingerprint,
        /// Time until which they are refused, on this process's clock.
        until: Time,
    },
    /// Another home announced that a backend server crashed under a request, or withdrew that. It is
    /// valid until this time, on this process's clock.
    CrashEvidence(Announcement, Time),
    /// The load endpoint of a backend server was polled; `None` if it did not answer.
    Polled(BackendServerId, Option<Report>),
    /// The time of the earliest `Wake` has come.
    Tick,
    /// The home ends: requests in progress finish, new ones are refused.
    Stop,
    /// The daemon exits soon: all requests end by this time, and those that can't be answered by
    /// then are refused.
    Shutdown(Time),
}
