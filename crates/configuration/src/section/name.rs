//! Names of sections.

use crate::id::RouteId;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What stands before the route in the name of its section.
const ROUTE: &str = "routes/";

/// The name of the section with all callers.
const CALLERS: &str = "callers";

/// Which part of a document a section holds; written `callers` or `routes/NAME`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Name {
    /// All callers.
    #[display("{CALLERS}")]
    Callers,
    /// One route.
    #[display("{ROUTE}{_0}")]
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
        match text.strip_prefix(ROUTE) {
            Some(route) if !route.is_empty() => Ok(Self::Route(route.into())),
            _ => Err(format!("there is no section {text:?}")),
        }
    }
}
