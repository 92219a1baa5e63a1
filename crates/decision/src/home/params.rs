//! Parameters of a single request.
//!
//! Routes that lead to the same set of backend servers share one home, because separate homes would
//! divide the servers' connections further and know less of their load. Each request therefore
//! carries the parameters of its own route.

use crate::WorkKind;
use crate::admission::Urgency;
use crate::query::coverage;
use monsoonring_configuration::document::{Kind, Route, SoftDeadline};

/// Parameters of a single request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Whether the request may run more than once.
    pub kind: Kind,
    /// Largest number of backend servers that may run one part of the request, hedges included.
    /// Servers that prove that they did not run it don't count.
    pub max_runs: u32,
    /// When, and at which coverage, a partial answer is returned instead of waiting longer.
    pub soft_deadline: Option<SoftDeadline>,
    /// Share of the data, from 0 to 1, below which an answer is useless to the caller.
    pub min_coverage: f64,
    /// Kind of work that it causes at the backend servers.
    pub work: WorkKind,
    /// Urgency relative to requests of other ranks; `None` if the backend servers are not shared
    /// between ranks.
    pub urgency: Option<Urgency>,
}

impl Params {
    /// Returns the parameters for a search of `groups` out of `total` groups of equal weight. Its
    /// answer may lack as many groups as an answer over all groups may.
    #[must_use]
    pub fn for_groups(self, groups: u64, total: usize) -> Self {
        let scale = |coverage: f64| {
            let dispensable = coverage::dispensable(coverage, total as f64);
            (1.0 - dispensable as f64 / groups.max(1) as f64).max(0.0)
        };
        Self {
            soft_deadline: self.soft_deadline.map(|soft| SoftDeadline {
                coverage: scale(soft.coverage),
                ..soft
            }),
            min_coverage: scale(self.min_coverage),
            ..self
        }
    }
}

impl From<&Route> for Params {
    fn from(route: &Route) -> Self {
        Self {
            kind: route.kind,
            max_runs: u32::MAX,
            soft_deadline: route.soft_deadline,
            min_coverage: 0.0,
            work: 0,
            urgency: None,
        }
    }
}
