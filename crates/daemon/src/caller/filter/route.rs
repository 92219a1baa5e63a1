//! Finds the route and checks that the caller may use it.

use super::{Filter, Result};
use crate::caller::exchange::{Exchange, Identified, Routed};
use crate::caller::problem::Problem;
use crate::caller::target::Action;
use monsoonring_configuration::document::{Kind, Route};

/// Finds the route by name and authorises the caller.
pub(crate) struct FindRoute;

impl Filter<Exchange<Identified>> for FindRoute {
    type After = Exchange<Routed>;

    async fn apply(&self, before: Exchange<Identified>) -> Result<Self::After> {
        let name = &before.head.route;
        let route = before
            .head
            .configuration
            .route(name)
            .ok_or_else(|| Problem::unknown_route(format!("there is no route `{name}`")))?
            .clone();
        let caller = &before.stage.caller;
        if !route.callers.contains(caller) {
            return Err(Problem::unauthorised(caller, name));
        }
        check_kind(&route, before.head.action)?;
        Ok(before.advance(|identified| Routed { identified, route }))
    }
}

/// Checks that the action fits the kind of route. An execution run as a search would run on every
/// group, and a search run as an execution only on one backend server.
fn check_kind(route: &Route, action: Action) -> Result<()> {
    let name = &route.name;
    match (route.kind, action) {
        (Kind::Search, Action::Query) | (Kind::Execute, Action::Keys | Action::Execute) => Ok(()),
        (Kind::Search, Action::Keys | Action::Execute) => Err(Problem::unknown_route(format!(
            "the route `{name}` only searches"
        ))),
        (Kind::Execute, Action::Query) => Err(Problem::unknown_route(format!(
            "the route `{name}` only executes"
        ))),
    }
}
