//! Parses method and path of a caller's request.

use super::problem::Problem;
use hyper::Method;

/// What a request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Liveness check.
    Health,
    /// Readiness check.
    Ready,
    /// An operation on a route.
    Route {
        /// Name of the route, as sent.
        name: String,
        action: Action,
    },
}

/// Operation on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Run a search.
    Query,
    /// Issue an idempotency key.
    Keys,
    /// Run a non-idempotent request.
    Execute,
}

impl Target {
    /// Returns the target of a method and path.
    pub(crate) fn parse(method: &Method, path: &str) -> Result<Self, Problem> {
        let target = Self::parse_path(path).ok_or_else(|| Problem::no_such_path(path))?;
        let allowed = target.allowed_method();
        if method.as_str() == allowed {
            Ok(target)
        } else {
            Err(Problem::wrong_method(method, allowed))
        }
    }

    fn parse_path(path: &str) -> Option<Self> {
        match path {
            "/health" => return Some(Self::Health),
            "/ready" => return Some(Self::Ready),
            _ => {}
        }
        let (name, action) = path.strip_prefix("/routes/")?.split_once('/')?;
        let action = match action {
            "query" => Action::Query,
            "keys" => Action::Keys,
            "execute" => Action::Execute,
            _ => return None,
        };
        Some(Self::Route {
            name: name.to_owned(),
            action,
        })
    }

    fn allowed_method(&self) -> &'static str {
        match self {
            Self::Health | Self::Ready => "GET",
            Self::Route { .. } => "POST",
        }
    }
}
