//! What a caller's request is directed at, by method and path.

use super::problem::Problem;
use hyper::Method;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Whether the process lives.
    Health,
    /// Whether it should be sent requests.
    Ready,
    /// Something of a route.
    Route {
        /// The route's name, as sent.
        name: String,
        /// What to do.
        action: Action,
    },
}

/// What to do with a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Search.
    Query,
    /// Issue a key.
    Keys,
    /// Run a non-idempotent request.
    Execute,
}

impl Target {
    /// Finds the target of a request.
    pub(crate) fn find(method: &Method, path: &str) -> Result<Self, Problem> {
        let target = Self::by_path(path).ok_or_else(|| Problem::no_such_path(path))?;
        let allowed = target.method();
        if method.as_str() == allowed {
            Ok(target)
        } else {
            Err(Problem::wrong_method(method, allowed))
        }
    }

    fn by_path(path: &str) -> Option<Self> {
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

    fn method(&self) -> &'static str {
        match self {
            Self::Health | Self::Ready => "GET",
            Self::Route { .. } => "POST",
        }
    }
}
