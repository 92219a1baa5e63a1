//! One whole session of each office, over the two real binaries as separate processes.
//!
//! The daemons' binary and the command are looked for beside this test: `cargo test --workspace` builds
//! all three. What differs from run to run (addresses, ids, keys, times) is replaced by names, so that
//! the golden files hold what an operator and a caller read.

#[path = "office/session.rs"]
mod session;

use monsoonring_fakes::backend_server::Distribution;
use monsoonring_fakes::fleet::{self, Shape};
use session::Session;
use std::time::Duration;

/// Long enough for a machine that is busy with other tests: no answer of a session depends on time.
const DEADLINE: Duration = Duration::from_secs(20);

/// One item for each group.
const ITEM_EVERY: u64 = 1_000;

fn calm(mut shape: Shape) -> Shape {
    shape.deadline = DEADLINE;
    if let Some(soft) = &mut shape.soft_deadline {
        soft.after_ms = 10_000;
    }
    shape.settings.item_every = ITEM_EVERY;
    shape.settings.service_time = Distribution::Constant(Duration::from_millis(2));
    shape
}

#[tokio::test(flavor = "multi_thread")]
async fn session_hydrant_office() {
    let shapes = [fleet::dispatch_map(), fleet::repair_tickets()].map(calm);
    let mut session = Session::start(shapes).await;
    session.check().await;
    session.status().await;
    session
        .query(0, "dispatcher", "dispatch_map", r#"{"near":"Rue 3"}"#)
        .await;
    session
        .query(1, "dispatcher", "dispatch_map", r#"{"near":"Rue 3"}"#)
        .await;
    session
        .ticket("inspector", "repair_tickets", r#"{"hydrant":17}"#)
        .await;
    session.kill_replica("dispatch_map", 0, 0).await;
    session
        .query(0, "dispatcher", "dispatch_map", r#"{"near":"Rue 4"}"#)
        .await;
    session.query(0, "dispatcher", "no_such_route", "{}").await;
    session.query(0, "stranger", "dispatch_map", "{}").await;
    session.query(0, "dispatcher", "repair_tickets", "{}").await;
    session.stop().await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn session_beet_office() {
    let mut ledger = fleet::repair_tickets();
    ledger.route = "payout_ledger".into();
    ledger.caller.name = "accountant".into();
    ledger.replicas = 3;
    let shapes = [fleet::gate_desk(), ledger].map(calm);
    let mut session = Session::start(shapes).await;
    session.check().await;
    session
        .query(0, "clerk", "gate_desk", r#"{"grower":4711}"#)
        .await;
    session.publish_index_version("gate_desk", 2).await;
    session
        .query(1, "clerk", "gate_desk", r#"{"grower":4711}"#)
        .await;
    session.lose_reply("payout_ledger").await;
    session
        .ticket(
            "accountant",
            "payout_ledger",
            r#"{"grower":4711,"tonnes":12}"#,
        )
        .await;
    session.publish_invalid().await;
    session.status().await;
    session.stop().await;
    insta::assert_snapshot!(session.transcript());
}
