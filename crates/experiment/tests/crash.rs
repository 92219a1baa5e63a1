//! A request that crashes whichever backend server runs it, sent again and again to every daemon.

use monsoonring_experiment::caller::Caller;
use monsoonring_experiment::deployment::{Deployment, Launch, Setup};
use monsoonring_experiment::scenario::Policy;
use monsoonring_fakes::backend_server::Crash;
use monsoonring_fakes::fleet::{self, Shape};
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

const DAEMONS: usize = 3;
const MARKER: &str = "crash-me";
/// Sends in each round; the second round comes when all homes have heard of it.
const SENDS: usize = 18;
const GAP: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_millis(300);
const HEARD: Duration = Duration::from_secs(5);

fn crashing(mut shape: Shape) -> Shape {
    shape.deadline = Duration::from_secs(1);
    shape.settings.crash = Some(Crash {
        marker: MARKER.to_owned(),
        restart_after: Some(DOWN),
    });
    shape
}

fn lone() -> Shape {
    Shape {
        groups: 1,
        replicas: 1,
        ..fleet::gate_desk()
    }
}

async fn send_again(deployment: &Deployment, shape: &Shape) {
    let caller = Caller::new(shape.caller.name.clone());
    let daemons = deployment.callers();
    for daemon in daemons.iter().cycle().take(SENDS) {
        let body = format!("{{\"text\":\"{MARKER}\"}}");
        caller
            .query(*daemon, &shape.route, body, shape.deadline)
            .await;
        sleep(GAP).await;
    }
}

// Symptom: replica after replica goes down, each a moment after the same request reached it.
// Events: a request crashes each server that runs it; its caller sends it again to one daemon after
// the other.
// Cause: what one home has found out is not known to the others, or a group with one server never
// gives the evidence of two.
#[test_case(fleet::gate_desk(), 14; "ten groups of three, each once and four more")]
#[test_case(lone(), 2; "one server, twice")]
#[tokio::test(flavor = "multi_thread")]
async fn send_again_crashes_a_bounded_number(shape: Shape, by_home: u64) {
    let shape = crashing(shape);
    let setup = Setup {
        shapes: vec![shape.clone()],
        policy: Policy::document(),
        daemons: DAEMONS,
        launch: Launch::Threads,
    };
    let deployment = Deployment::start(setup).await.expect("a deployment");
    let crashes = || deployment.fleet.total(|counters| counters.crashes);
    send_again(&deployment, &shape).await;
    let bound = DAEMONS as u64 * by_home;
    let first = crashes();
    println!("{first} crashes of at most {bound}");
    assert!(first > 0, "the request crashes servers");
    assert!(first <= bound, "{first} crashes");
    sleep(HEARD).await;
    send_again(&deployment, &shape).await;
    assert_eq!(crashes(), first, "refused everywhere by now");
    deployment.stop().await;
}
