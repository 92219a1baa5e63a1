//! What an experiment tries: a shape of backend servers, a load, a fault and a policy.
//!
//! The rate is given as a share of saturation, so that a scenario means the same whatever the service
//! times are scaled to.

use clap::ValueEnum;
use derive_more::Display;
use monsoonring_configuration::document::{Document, Hedge, Kind, Retry};
use monsoonring_fakes::backend_server::Distribution;
use monsoonring_fakes::fleet::{self, Shape as Fleet};
use std::time::Duration;

/// Shape of a route's backend servers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, ValueEnum)]
pub enum Shape {
    /// Search over 10 groups of 3, where coverage weighs most.
    #[display("dispatch map")]
    DispatchMap,
    /// Search over 10 groups of 3, where latency weighs most.
    #[display("gate desk")]
    GateDesk,
    /// Search at one of 20 equal backend servers.
    #[display("planner desk")]
    PlannerDesk,
    /// Non-idempotent requests at one of 10 equal backend servers.
    #[display("repair tickets")]
    RepairTickets,
}

impl Shape {
    /// Returns the backend servers with their route.
    pub fn fleet(self) -> Fleet {
        match self {
            Self::DispatchMap => fleet::dispatch_map(),
            Self::GateDesk => fleet::gate_desk(),
            Self::PlannerDesk => fleet::planner_desk(),
            Self::RepairTickets => fleet::repair_tickets(),
        }
    }
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Nothing.
    #[display("no fault")]
    Nothing,
    /// One backend server becomes ten times slower.
    #[display("straggler")]
    Straggler,
    /// One backend server is gone for good.
    #[display("replica gone")]
    ReplicaGone,
    /// A new index version reaches one replica after the other.
    #[display("index roll-out")]
    IndexRollOut,
    /// The open connections of one replica of each group go silent.
    #[display("silent connections")]
    SilentConnections,
    /// A request crashes each backend server that runs it, and is sent again and again.
    #[display("crashing request")]
    CrashingRequest,
    /// One backend server is slow and reports that it is idle.
    #[display("misleading load")]
    MisleadingLoad,
}

/// How the daemons are to behave, over what the document says by itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Name in the report.
    pub name: String,
    /// Hedging in place of the document's.
    pub hedge: Option<Hedge>,
    /// Retries in place of the document's.
    pub retry: Option<Retry>,
    /// Further flags of the daemons.
    pub arguments: Vec<String>,
}

impl Policy {
    /// Returns the policy that the document describes by default.
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

    /// Returns the policy without hedges and retries.
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

    /// Writes the policy into a document. No policy reaches the non-idempotent routes, and a hedge
    /// there would make the document invalid: it would run a request twice.
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

/// One setting under which policies are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The backend servers.
    pub shape: Shape,
    /// Rate as a share of the saturation rate.
    pub load: f64,
    /// What goes wrong, after a third of the run.
    pub fault: Fault,
    /// Factor on all times of the shape.
    pub scale: f64,
    /// How long load is measured.
    pub duration: Duration,
}

impl Scenario {
    /// Returns the backend servers with all times scaled.
    pub fn fleet(&self) -> Fleet {
        self.shape.fleet().scaled(self.scale)
    }

    /// Returns the requests a second that are sent.
    pub fn rate(&self) -> f64 {
        self.load * saturation(&self.fleet())
    }

    /// Returns the time after which the fault is injected.
    pub fn fault_after(&self) -> Duration {
        self.duration / 3
    }

    /// Returns a name for reports.
    pub fn name(&self) -> String {
        const PERCENT: f64 = 100.0;
        let load = self.load * PERCENT;
        format!("{}, {load:.0} % load, {}", self.shape, self.fault)
    }
}

/// Returns the requests a second at which every slot of a group would always be busy. Each request
/// takes a slot in each group.
pub fn saturation(shape: &Fleet) -> f64 {
    let slots = (shape.replicas * shape.settings.slots) as f64;
    slots / mean(shape.settings.service_time)
}

/// The mean service time in seconds.
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
