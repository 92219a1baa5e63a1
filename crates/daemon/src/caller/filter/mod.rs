//! The filters, in the operation in which a request meets them.

mod body;
mod deadline;
mod fingerprint;
mod identify;
mod key;
mod route;

pub(crate) use body::ReadBody;
pub(crate) use deadline::Deadline;
pub(crate) use fingerprint::ComputeFingerprint;
pub(crate) use identify::Identify;
pub(crate) use key::{Key, may_be_repeated};
pub(crate) use route::FindRoute;

use super::problem::Problem;

/// Result of a filter: the next stage, or the answer.
pub(crate) type Result<T, E = Problem> = std::result::Result<T, E>;

/// Takes a request from one stage to the next, or answers it.
pub(crate) trait Filter<Before> {
    /// The next stage.
    type After;

    /// Passes the request on, or refuses it.
    ///
    /// # Errors
    ///
    /// What the caller is told. This send has not run.
    fn apply(&self, before: Before) -> impl Future<Output = Result<Self::After>> + Send;
}
