//! What happens to a home.

use super::params::Params;
use crate::attempt::{AttemptId, ConnectFailure, ConnectionId, Failure};
use crate::backend::ColdLimit;
use crate::content::{Content, Json};
use crate::placement::Homes;
use crate::query::coverage::KeySet;
use crate::reply::{Reply, Report};
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::document::{Class, Route};
use monsoonring_configuration::id::{BackendServerId, CallerId, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A request that reached its home.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<C: Content = Json> {
    /// Its id.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerId,
    /// How much it counts.
    pub class: Class,
    /// Time by which the caller wants the answer, on this process's clock.
    pub deadline: Time,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// What goes to the backend servers.
    pub body: C::Query,
    /// Idempotency key of a non-idempotent request; `None` for a search.
    pub execute_key: Option<Arc<str>>,
    /// What holds for this request; `None` for what the home's route says.
    pub params: Option<Params>,
    /// Which keys are asked for.
    pub scope: Scope,
}

/// Which keys a search asks for, and who looks through them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// The keys asked for; `None` for all keys of the route.
    pub only: Option<KeySet>,
    /// Those of them that another home looks through, which
    /// [`Event::DelegatedReply`] or [`Event::DelegationFailed`] tell of.
    pub delegated: KeySet,
}

/// Whether another home has begun what it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It has not, and won't.
    NotStarted,
    /// It may have asked as many servers as the request may run on.
    MaybeStarted,
}

/// Something that a home has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<C: Content = Json> {
    /// A request arrived.
    Request(Request<C>),
    /// The caller of a request went away.
    Abandoned(RequestId),
    /// Another home has looked through keys of a search; the ranges of the reply are those that it covers.
    DelegatedReply(RequestId, Reply<C::Value>),
    /// Another home does not look through the keys of a search that it was asked for.
    DelegationFailed(RequestId, Progress),
    /// A connection asked for by an action is ready.
    Opened(ConnectionId),
    /// A connection asked for could not be made, or an idle one has ended.
    Closed(ConnectionId),
    /// A connection asked for could not be made, with what is known of why.
    ConnectFailed(ConnectionId, ConnectFailure),
    /// An attempt was answered; its connection is idle again.
    Reply(AttemptId, Reply<C::Value>),
    /// An attempt of a non-idempotent request was answered with its result.
    Executed(AttemptId, C::Value, Report),
    /// An attempt ended otherwise.
    Failed(AttemptId, Failure),
    /// The configuration of the route changed.
    Route(Arc<Route>),
    /// Other starts are at the addresses of these backend servers.
    Replaced(BTreeSet<BackendServerId>),
    /// The backend servers of the route that are in other data centres than this home.
    RemoteServers(BTreeSet<BackendServerId>),
    /// The backend servers that are cold, of the route or not.
    Cold(BTreeMap<BackendServerId, ColdLimit>),
    /// The homes of the route, this one included, changed.
    Homes(Homes),
    /// A backend server is leaving; only a start number above `start` undoes it.
    Leaving {
        /// The server.
        backend_server: BackendServerId,
        /// The start number that is leaving, where it is known.
        start: Option<Incarnation>,
    },
    /// Another home found that requests with this fingerprint crash backend servers.
    Suspect {
        /// The requests' fingerprint.
        fingerprint: Fingerprint,
        /// Time until which they are refused, on this process's clock.
        until: Time,
    },
    /// The load endpoint of a backend server was read, `None` where it did not answer.
    Polled(BackendServerId, Option<Report>),
    /// The time of the earliest `Wake` has come.
    Tick,
    /// The daemon stops: finish what is in flight, refuse what is new.
    Stop,
}
