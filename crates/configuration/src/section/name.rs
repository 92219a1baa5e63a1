//! Names of sections.

use crate::id::RouteId;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Prefix of the names of route sections.
const ROUTE_PREFIX: &str = "routes/";

/// Name of the section with all callers.
const CALLERS: &str = "callers";

/// Name of a section, written `callers` or `routes/NAME`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Name {
    /// Section with all callers.
    #[display("{CALLERS}")]
    Callers,
    /// Section with one route.
    #[display("{ROUTE_PREFIX}{_0}")]
    Route(RouteId),
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> std::result::Result<Self, String> {
        if text == CALLERS {
            return Ok(Self::Callers);
        }
        match text.strip_prefix(ROUTE_PREFIX) {
            Some(route) if !route.is_empty() => Ok(Self::Route(route.into())),
            _ => Err(format!("there is no section {text:?}")),
        }
    }
}
