//! The filters, in the order in which they are applied.

mod body;
mod deadline;
mod fingerprint;
mod identify;
mod key;
mod route;

pub(crate) use body::ReadBody;
pub(crate) use deadline::ReadDeadline;
pub(crate) use fingerprint::ComputeFingerprint;
pub(crate) use identify::Identify;
pub(crate) use key::{ReadKey, may_be_repeated};
pub(crate) use route::FindRoute;

use super::problem::Problem;

/// Result of a filter: the next stage, or the problem to respond with.
pub(crate) type Result<T, E = Problem> = std::result::Result<T, E>;

/// Moves a request from one stage to the next, or refuses it.
pub(crate) trait Filter<Before> {
    /// The next stage.
    type After;

    /// Applies the filter.
    ///
    /// # Errors
    ///
    /// Returns the problem to respond with. This send of the request has not run.
    fn apply(&self, before: Before) -> impl Future<Output = Result<Self::After>> + Send;
}
