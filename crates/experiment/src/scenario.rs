//! Scenarios of an experiment: a shape of backend servers, a load and a fault, run under a policy.
//!
//! Load is a share of the saturation rate, so a scenario is independent of the scale of service times.

use clap::ValueEnum;
use derive_more::Display;
use monsoonring_configuration::document::{Document, Hedge, Kind, Retry};
use monsoonring_fakes::backend_server::Distribution;
use monsoonring_fakes::fleet::{self, Shape as Fleet};
use std::time::Duration;

/// Shape of a route's backend servers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, ValueEnum)]
pub enum Shape {
    /// Search over 10 groups of 3 replicas; coverage matters most.
    #[display("dispatch map")]
    DispatchMap,
    /// Search over 10 groups of 3 replicas; latency matters most.
    #[display("gate desk")]
    GateDesk,
    /// Search at one of 20 equivalent backend servers.
    #[display("planner desk")]
    PlannerDesk,
    /// Non-idempotent requests at one of 10 equivalent backend servers.
    #[display("repair tickets")]
    RepairTickets,
}

impl Shape {
    /// Returns the shape of the backend servers and their route.
    pub fn fleet(self) -> Fleet {
        match self {
            Self::DispatchMap => fleet::dispatch_map(),
            Self::GateDesk => fleet::gate_desk(),
            Self::PlannerDesk => fleet::planner_desk(),
            Self::RepairTickets => fleet::repair_tickets(),
        }
    }
}

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// No fault.
    #[display("no fault")]
    Nothing,
    /// One backend server becomes ten times slower.
    #[display("straggler")]
    Straggler,
    /// One backend server stops permanently.
    #[display("replica gone")]
    ReplicaGone,
    /// A new index version is rolled out to one replica of each group at a time.
    #[display("index roll-out")]
    IndexRollOut,
    /// The open connections of one replica of each group stop responding without being closed.
    #[display("silent connections")]
    SilentConnections,
    /// A request that crashes each backend server that runs it is sent repeatedly.
    #[display("crashing request")]
    CrashingRequest,
    /// One slow backend server reports that it is idle.
    #[display("misleading load")]
    MisleadingLoad,
}

/// Overrides of the document and the daemons' flags.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Name in the report.
    pub name: String,
    /// Replaces the document's hedge settings.
    pub hedge: Option<Hedge>,
    /// Replaces the document's retry settings.
    pub retry: Option<Retry>,
    /// Additional flags of the daemons.
    pub arguments: Vec<String>,
}

impl Policy {
    /// Returns the policy without overrides.
    pub fn document() -> Self {
        Self {
            name: "document".to_owned(),
            ..Self::default()
        }
    }

    /// Returns the policy without hedges.
    pub fn without_hedges() -> Self {
        let hedge = Hedge {
            budget_percent: 0.0,
            ..Hedge::default()
        };
        Self {
            name: "no hedge".to_owned(),
            hedge: Some(hedge),
            ..Self::default()
        }
    }

    /// Returns the policy without hedges or retries.
    pub fn without_extra_attempts() -> Self {
        let retry = Retry {
            budget_percent: 0.0,
            attempts: 1,
        };
        Self {
            name: "no hedge, no retry".to_owned(),
            retry: Some(retry),
            ..Self::without_hedges()
        }
    }

    /// Applies the policy to the search routes of a document. Disables hedges on non-idempotent routes,
    /// where validation rejects them because a hedge would execute a request twice.
    pub fn apply(&self, document: &mut Document) {
        for route in &mut document.routes {
            match route.kind {
                Kind::Search => {
                    route.hedge = self.hedge.unwrap_or(route.hedge);
                    route.retry = self.retry.unwrap_or(route.retry);
                }
                Kind::Execute => route.hedge.budget_percent = 0.0,
            }
        }
    }
}

/// Conditions under which policies are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The backend servers.
    pub shape: Shape,
    /// Rate as a share of the saturation rate.
    pub load: f64,
    /// Fault to inject after a third of the run.
    pub fault: Fault,
    /// Scale factor for all times of the shape.
    pub scale: f64,
    /// Duration of the measured load.
    pub duration: Duration,
}

impl Scenario {
    /// Returns the shape with all times scaled.
    pub fn fleet(&self) -> Fleet {
        self.shape.fleet().scaled(self.scale)
    }

    /// Returns the request rate, per second.
    pub fn rate(&self) -> f64 {
        self.load * saturation(&self.fleet())
    }

    /// Returns the time from the start of the run to the fault.
    pub fn fault_after(&self) -> Duration {
        self.duration / 3
    }

    /// Returns the name of the scenario in reports.
    pub fn name(&self) -> String {
        const PERCENT: f64 = 100.0;
        let load = self.load * PERCENT;
        format!("{}, {load:.0} % load, {}", self.shape, self.fault)
    }
}

/// Returns the request rate, per second, at which all slots of a group are always busy. Each request
/// occupies one slot in each group.
pub fn saturation(shape: &Fleet) -> f64 {
    let slots = (shape.replicas * shape.settings.slots) as f64;
    slots / mean(shape.settings.service_time)
}

/// Returns the mean of a distribution in seconds.
fn mean(distribution: Distribution) -> f64 {
    match distribution {
        Distribution::Constant(time) | Distribution::Exponential { mean: time } => {
            time.as_secs_f64()
        }
        Distribution::Lognormal { median, sigma } => {
            median.as_secs_f64() * (sigma * sigma / 2.0).exp()
        }
        Distribution::Bimodal {
            fast,
            slow,
            slow_share,
        } => fast.as_secs_f64() * (1.0 - slow_share) + slow.as_secs_f64() * slow_share,
    }
}
