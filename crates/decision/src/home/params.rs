//! What holds for one request, where requests of several routes share a home.
//!
//! A home owns the connections, the loads and the budgets of a set of backend servers. Where several
//! routes lead to the same set, one home for each would divide the servers' connections further and
//! know less of their load, so that they share one, and each request brings what its route says.

use crate::WorkKind;
use crate::admission::Urgency;
use crate::query::coverage;
use monsoonring_configuration::document::{Kind, Route, SoftDeadline};

/// What holds for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Whether the request may run more than once.
    pub kind: Kind,
    /// Backend servers that may come to run one part of it, hedges included. A server that proves
    /// that it did not run it does not count.
    pub max_runs: u32,
    /// When and at which coverage waiting on is no longer worth it.
    pub soft_deadline: Option<SoftDeadline>,
    /// Share of the data, from 0 to 1, below which an answer is of no use to the caller.
    pub min_coverage: f64,
    /// What it asks of the backend servers.
    pub work: WorkKind,
    /// How urgent it is, where requests of other ranks share the backend servers.
    pub urgency: Option<Urgency>,
}

impl Params {
    /// Returns the same for a search of so many of all groups, as they weigh alike: its answer may lack as many as one
    /// of all groups may.
    #[must_use]
    pub fn for_groups(self, part: u64, of: usize) -> Self {
        let least = |coverage: f64| {
            let dispensable = coverage::dispensable(coverage, of as f64);
            (1.0 - dispensable as f64 / part.max(1) as f64).max(0.0)
        };
        Self {
            soft_deadline: self.soft_deadline.map(|soft| SoftDeadline {
                coverage: least(soft.coverage),
                ..soft
            }),
            min_coverage: least(self.min_coverage),
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
