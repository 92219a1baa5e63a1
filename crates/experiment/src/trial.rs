//! Runs scenarios under policies and summarizes the results.

use crate::deployment::{self, Deployment, Launch};
use crate::fault;
use crate::load::{self, Plan};
use crate::report::{Attempts, Row, Summary};
use crate::sample::Sample;
use crate::scenario::{Policy, Scenario};
use crate::tally::Tally;
use crate::verify::Data;
use monsoonring_configuration::Range;
use monsoonring_fakes::fleet::Shape;
use std::time::Duration;
use tokio::time::sleep;

/// Duration of the unmeasured warm-up load, as a share of the run.
const WARM_UP_SHARE: f64 = 0.25;
/// Time until the last attempts have reached the backend servers.
const SETTLE: Duration = Duration::from_millis(500);

/// Settings of a series of trials.
#[derive(Clone, Debug)]
pub struct Bench {
    /// Number of daemons.
    pub daemons: usize,
    /// Whether daemons run as threads or processes.
    pub launch: Launch,
    /// Seed of the intended send times; each round adds its number.
    pub seed: u64,
    /// Number of runs of each scenario under each policy.
    pub rounds: u64,
}

impl Bench {
    /// Runs a scenario under each policy. Policies alternate in each round, so other load on the machine
    /// affects all of them equally.
    ///
    /// # Errors
    ///
    /// Returns [`deployment::Error`] if the daemons do not start.
    pub async fn compare(
        &self,
        scenario: &Scenario,
        policies: &[Policy],
    ) -> deployment::Result<Vec<Row>> {
        let mut runs: Vec<(Vec<Sample>, Attempts)> = vec![Default::default(); policies.len()];
        for round in 0..self.rounds {
            for (policy, run) in policies.iter().zip(&mut runs) {
                let (samples, attempts) = self.run(scenario, policy, self.seed + round).await?;
                run.0.extend(samples);
                run.1 += attempts;
            }
        }
        let rounds = u32::try_from(self.rounds).unwrap_or(u32::MAX);
        let duration = scenario.duration * rounds;
        let deadline = scenario.fleet().deadline;
        let rows = policies.iter().zip(runs);
        Ok(rows
            .map(|(policy, (samples, attempts))| Row {
                scenario: scenario.name(),
                policy: policy.name.clone(),
                summary: Summary::new(&samples, duration, deadline, attempts),
            })
            .collect())
    }

    async fn run(
        &self,
        scenario: &Scenario,
        policy: &Policy,
        seed: u64,
    ) -> deployment::Result<(Vec<Sample>, Attempts)> {
        let mut shape = scenario.fleet();
        fault::prepare(scenario.fault, &mut shape);
        let setup = deployment::Setup {
            shapes: vec![shape.clone()],
            policy: policy.clone(),
            daemons: self.daemons,
            launch: self.launch.clone(),
        };
        let deployment = Deployment::start(setup).await?;
        let plan = Plan {
            rate: scenario.rate(),
            ..plan(&shape, &deployment, scenario.duration, seed)
        };
        warm_up(&plan).await;
        let tally = Tally::begin(&deployment.fleet, &shape);
        let fault = async {
            sleep(scenario.fault_after()).await;
            fault::inject(scenario, &deployment).await;
        };
        let (samples, ()) = tokio::join!(load::run(&plan), fault);
        sleep(SETTLE).await;
        let attempts = tally.end();
        deployment.stop().await;
        Ok((samples, attempts))
    }
}

async fn warm_up(plan: &Plan) {
    let duration = plan.duration.mul_f64(WARM_UP_SHARE);
    let plan = Plan {
        duration,
        ..plan.clone()
    };
    load::run(&plan).await;
    sleep(SETTLE).await;
}

/// Returns a plan for a shape of a deployment, with a rate of 0.
pub fn plan(shape: &Shape, deployment: &Deployment, duration: Duration, seed: u64) -> Plan {
    Plan {
        rate: 0.0,
        duration,
        seed,
        daemons: deployment.callers(),
        route: shape.route.clone(),
        kind: shape.kind,
        caller: shape.caller.name.clone(),
        deadline: shape.deadline,
        data: data(deployment, shape),
    }
}

/// Returns the contents of a complete answer of a shape.
pub fn data(deployment: &Deployment, shape: &Shape) -> Data {
    let document = deployment.fleet.document();
    let route = document.routes.iter().find(|r| r.name == shape.route);
    Data {
        keys: route.map_or(Range::new(0, 0), |route| route.keys),
        item_every: shape.settings.item_every,
    }
}
