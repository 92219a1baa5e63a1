//! Real daemons between a caller and stand-ins.

use monsoonring_experiment::caller::Caller;
use monsoonring_experiment::deployment::{Deployment, Error, Launch, Setup};
use monsoonring_experiment::sample::Outcome;
use monsoonring_experiment::scenario::{Fault, Policy, Scenario, Shape, saturation};
use monsoonring_experiment::tally::Tally;
use monsoonring_experiment::{trial, verify};
use monsoonring_fakes::fleet;
use std::path::PathBuf;
use std::time::Duration;
use test_case::test_case;

/// More time than a test machine takes however busy it is.
const DEADLINE: Duration = Duration::from_secs(30);

fn setup(shape: fleet::Shape, launch: Launch) -> Setup {
    Setup {
        shapes: vec![shape],
        policy: Policy::without_hedges(),
        daemons: 2,
        launch,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn start_daemons_answer_whole_searches() {
    let shape = fleet::gate_desk();
    let deployment = Deployment::start(setup(shape.clone(), Launch::Threads)).await;
    let deployment = deployment.expect("a deployment");
    let tally = Tally::begin(&deployment.fleet, &shape);
    let caller = Caller::new(shape.caller.name.clone());
    let data = trial::data(&deployment, &shape);
    for daemon in deployment.callers() {
        let answer = caller.query(daemon, &shape.route, "{}".to_owned(), DEADLINE);
        let answer = answer.await;
        assert!(answer.outcome.is_answer(), "{answer:?}");
        assert!(verify::is_correct(&answer, &data), "{answer:?}");
    }
    let attempts = tally.end();
    assert_eq!(attempts.first, 2 * shape.groups as u64);
    assert_eq!(attempts.crashes, 0);
    deployment.stop().await;
}

// Symptom: now and then a test of processes fails after twenty seconds with a daemon that is not
// ready, although the machine is idle.
// Events: a port is found free and let go; another program takes it; the daemon cannot listen on
// it and ends.
// Cause: nobody looked whether the process still ran.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_a_daemon_ended_starts_it_again() {
    let directory = std::env::temp_dir().join(format!("monsoonring-start-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let (script, mark) = (directory.join("daemon"), directory.join("mark"));
    let daemon = beside_tests("monsoonringd");
    let text = format!(
        "#!/bin/sh\n[ -e {0} ] || {{ touch {0}; exit 1; }}\nexec {1} \"$@\"\n",
        mark.display(),
        daemon.display()
    );
    std::fs::write(&script, text).expect("a script");
    let may_run = std::os::unix::fs::PermissionsExt::from_mode(0o700);
    std::fs::set_permissions(&script, may_run).expect("its permissions");
    let launch = Launch::Processes(script);
    let deployment = Deployment::start(setup(fleet::gate_desk(), launch)).await;
    let deployment = deployment.expect("a deployment");
    assert!(mark.exists());
    assert_eq!(deployment.daemons.len(), 2);
    deployment.stop().await;
    std::fs::remove_dir_all(&directory).expect("the directory goes");
}

/// Returns the path of a binary of this workspace, built beside this test.
fn beside_tests(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let profile = test
        .ancestors()
        .nth(2)
        .expect("a test lies two levels deep");
    let path = profile.join(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo test --workspace`"
    );
    path
}

// Symptom: a run that can never begin takes the whole bound to fail, and doesn't say why.
// Events: the binary of the daemon isn't there.
// Cause: a wrong path.
#[tokio::test]
async fn start_without_the_binary_names_it() {
    let launch = Launch::Processes(PathBuf::from("/absent/monsoonringd"));
    let error = Deployment::start(setup(fleet::gate_desk(), launch)).await;
    let error = error.err().expect("an error");
    assert!(matches!(error, Error::Start { .. }), "{error}");
    assert!(
        error.to_string().contains("/absent/monsoonringd"),
        "{error}"
    );
}

#[tokio::test]
async fn query_unknown_route_has_no_answer() {
    let deployment = Deployment::start(setup(fleet::gate_desk(), Launch::Threads)).await;
    let deployment = deployment.expect("a deployment");
    let caller = Caller::new("clerk".into());
    let daemon = deployment.callers()[0];
    let answer = caller.query(daemon, "absent", "{}".to_owned(), DEADLINE);
    assert_eq!(answer.await.outcome, Outcome::NotRun);
    deployment.stop().await;
}

#[test_case(Shape::DispatchMap, 1.0)]
#[test_case(Shape::DispatchMap, 4.0)]
#[test_case(Shape::PlannerDesk, 2.0)]
fn rate_share_of_saturation_keeps_its_meaning(shape: Shape, scale: f64) {
    let scenario = Scenario {
        shape,
        load: 0.5,
        fault: Fault::Nothing,
        scale,
        duration: Duration::from_secs(1),
    };
    let expected = saturation(&shape.fleet()) / scale / 2.0;
    assert!((scenario.rate() / expected - 1.0).abs() < 1e-6);
}

#[test_case(Shape::DispatchMap, 0.0 ; "search")]
#[test_case(Shape::RepairTickets, 0.0 ; "non idempotent")]
fn apply_policy_hedges(shape: Shape, budget: f64) {
    let document = |policy: Policy| {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let _guard = runtime.enter();
        let mut document = fleet::Fleet::start([shape.fleet()]).document();
        policy.apply(&mut document);
        document.routes.remove(0)
    };
    let route = document(Policy::without_hedges());
    assert!((route.hedge.budget_percent - budget).abs() < 1e-9);
    let retry = document(Policy::without_extra_attempts()).retry;
    let is_search = shape == Shape::DispatchMap;
    assert_eq!(retry.attempts == 1, is_search);
}
