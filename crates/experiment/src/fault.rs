//! Injects the fault of a scenario.

use crate::caller::Caller;
use crate::deployment::Deployment;
use crate::scenario::{Fault, Scenario};
use monsoonring_configuration::document::Kind;
use monsoonring_fakes::Reporting;
use monsoonring_fakes::backend_server::{Crash, Load, Server};
use monsoonring_fakes::fleet::Shape;
use std::time::Duration;
use tokio::time::sleep;

/// Factor by which a straggler's service times grow.
const STRAGGLER_SLOWDOWN: f64 = 10.0;
/// Text in the body of a request that crashes backend servers.
const CRASH_MARKER: &str = "crash-me";
/// Time until a crashed backend server restarts.
const CRASH_RESTART: Duration = Duration::from_millis(500);
/// Number of times that the crashing request is sent.
const CRASH_SENDS: usize = 10;
const CRASH_SEND_GAP: Duration = Duration::from_millis(100);
/// Time between the replicas of a roll-out.
const ROLL_OUT_GAP: Duration = Duration::from_millis(500);
const OLD_VERSION: u64 = 1;
const NEW_VERSION: u64 = 2;

/// Configures the backend servers for the fault, before they start.
pub fn prepare(fault: Fault, shape: &mut Shape) {
    if fault == Fault::CrashingRequest {
        shape.settings.crash = Some(Crash {
            marker: CRASH_MARKER.to_owned(),
            restart_after: Some(CRASH_RESTART),
        });
    }
}

/// Injects the fault and returns when it is complete.
pub async fn inject(scenario: &Scenario, deployment: &Deployment) {
    let shape = scenario.fleet();
    let group = |place| deployment.fleet.group(&shape.route, place);
    let first = &group(0)[0];
    match scenario.fault {
        Fault::Nothing => {}
        Fault::Straggler => first.set_slowdown(STRAGGLER_SLOWDOWN),
        Fault::ReplicaGone => first.kill().await,
        Fault::SilentConnections => {
            for place in 0..shape.groups {
                group(place)[0].silence_open();
            }
        }
        Fault::MisleadingLoad => report_idle(first, &shape),
        Fault::IndexRollOut => roll_out(&shape, deployment).await,
        Fault::CrashingRequest => send_crashing(&shape, deployment).await,
    }
}

fn report_idle(server: &Server, shape: &Shape) {
    let idle = Load {
        busy: 0,
        slots: shape.settings.slots,
        queued: 0,
        index_versions: shape.settings.index_versions.clone(),
        start: server.start_number(),
    };
    server.set_slowdown(STRAGGLER_SLOWDOWN);
    server.set_load_report(Reporting::Fixed(idle.clone()));
    server.set_reply_load(Some(idle));
}

/// Rolls out a new index version. Each replica keeps the old version until the next replica has the new
/// one.
async fn roll_out(shape: &Shape, deployment: &Deployment) {
    let nth_replicas = |replica: usize| {
        let groups = 0..shape.groups;
        groups.filter_map(move |place| deployment.fleet.group(&shape.route, place).get(replica))
    };
    for replica in 0..=shape.replicas {
        nth_replicas(replica).for_each(|server| server.add_index_version(NEW_VERSION));
        let previous = replica.checked_sub(1).into_iter().flat_map(nth_replicas);
        previous.for_each(|server| server.retire_index_version(OLD_VERSION));
        sleep(ROLL_OUT_GAP).await;
    }
}

/// Sends the crashing request repeatedly, to each daemon in turn.
async fn send_crashing(shape: &Shape, deployment: &Deployment) {
    if shape.kind == Kind::Execute {
        return;
    }
    let caller = Caller::new(shape.caller.name.clone());
    let body = format!("{{\"text\":\"{CRASH_MARKER}\"}}");
    let daemons = deployment.daemons.iter().cycle();
    for daemon in daemons.take(CRASH_SENDS) {
        let answer = caller.query(daemon.caller, &shape.route, body.clone(), shape.deadline);
        answer.await;
        sleep(CRASH_SEND_GAP).await;
    }
}
