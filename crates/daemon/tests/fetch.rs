//! Fetching the configuration from a peer.

mod support;

use monsoonring_configuration::document::Document;
use monsoonring_configuration::section::transfer::{Base, Part};
use monsoonring_configuration::{check, example};
use monsoonring_daemon::launch::Launched;
use monsoonring_decision::configuration::Version;
use monsoonring_fakes::configuration_service::{DOCUMENT, Service};
use monsoonring_wire::peer::connect;
use std::sync::Arc;
use std::time::Duration;
use support::http::{exchange, get};
use support::peer::{Fake, endpoint, version};
use support::{launch_daemon, within};
use test_case::test_case;

/// Time between two checks of the configuration in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("the example is valid")
}

fn edited(by: u64) -> Document {
    let mut document = document();
    document.routes[0].deadline_ms += by;
    document
}

async fn start_with_peer(peer: &Fake) -> Launched {
    launch_daemon(&[&format!("--peers={}", peer.address)]).await
}

/// Returns revision, digest and number of conflicts that `/state` reports.
async fn status(daemon: &Launched) -> (u64, String, u64) {
    let state = exchange(daemon.running.operator_address(), &get("/state")).await;
    let configuration = &state.json()["configuration"];
    let number = |name: &str| configuration[name].as_u64().unwrap_or_default();
    let digest = configuration["digest"].as_str().unwrap_or_default();
    (number("revision"), digest.to_owned(), number("conflicts"))
}

/// Waits until the revision in force differs from `before`, and returns the new status.
async fn wait_for_change(daemon: &Launched, before: u64) -> (u64, String, u64) {
    within(async {
        loop {
            let status = status(daemon).await;
            if status.0 != before {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
    .await
}

fn expected(version: Version) -> (u64, String, u64) {
    (version.revision, format!("{:032x}", version.digest), 0)
}

#[tokio::test]
async fn fetch_without_base_takes_all_sections() {
    let peer = Fake::start().await;
    let version = peer.adopt(7, &document());
    let daemon = start_with_peer(&peer).await;
    assert_eq!(wait_for_change(&daemon, 0).await, expected(version));
    assert_eq!(peer.state().incremental, [false]);
}

fn first_sent_body(parts: &mut [Part]) -> &mut Arc<[u8]> {
    let body = parts.iter_mut().find_map(|part| match part {
        Part::Sent { body, .. } => Some(body),
        Part::Held(_) => None,
    });
    body.expect("at least one part carries a body")
}

fn truncate(mut parts: Vec<Part>) -> Vec<Part> {
    let body = first_sent_body(&mut parts);
    *body = body[..body.len() - 1].into();
    parts
}

/// Changes a value, so that the document is valid but its digest is not the announced one.
fn tamper(mut parts: Vec<Part>) -> Vec<Part> {
    let body = first_sent_body(&mut parts);
    let text = String::from_utf8(body.to_vec()).expect("sections are UTF-8");
    let (before, after) = text
        .split_once("\"deadline_ms\":")
        .expect("the section has a deadline");
    *body = format!("{before}\"deadline_ms\":1{after}")
        .into_bytes()
        .into();
    parts
}

fn drop_sent(mut parts: Vec<Part>) -> Vec<Part> {
    parts.retain(|part| matches!(part, Part::Held(_)));
    parts
}

fn add_unknown_position(mut parts: Vec<Part>) -> Vec<Part> {
    parts.push(Part::Held(u32::MAX));
    parts
}

// Guards against a corrupted configuration: a daemon verifies the digest of the whole document
// before it combines fetched sections with those that it holds.
#[test_case(truncate; "section_cut_short")]
#[test_case(tamper; "section_changed")]
#[test_case(drop_sent; "section_lost")]
#[test_case(add_unknown_position; "position_not_held")]
#[tokio::test]
async fn fetch_damaged_is_refused_and_repeated_in_full(damage: support::peer::Damage) {
    let peer = Fake::start().await;
    peer.adopt(7, &document());
    let daemon = start_with_peer(&peer).await;
    wait_for_change(&daemon, 0).await;
    peer.state().damage.push_back(damage);
    let version = peer.adopt(8, &edited(1));
    assert_eq!(wait_for_change(&daemon, 7).await, expected(version));
    assert_eq!(peer.state().incremental, [false, true, false]);
}

// Guards against a daemon that never catches up while operators publish often: a peer that has gone
// past the announced version serves its newer one.
#[tokio::test]
async fn fetch_takes_a_newer_version_than_announced() {
    let peer = Fake::start().await;
    let (announced, _) = version(8, &edited(1));
    let newer = peer.adopt(9, &edited(2));
    peer.state().announced = Some(announced);
    let daemon = start_with_peer(&peer).await;
    assert_eq!(wait_for_change(&daemon, 0).await, expected(newer));
}

#[test_case(6, Some(7); "older_requested")]
#[test_case(7, Some(7); "same_requested")]
#[test_case(8, None; "newer_requested")]
#[tokio::test]
async fn sections_are_those_in_force(min_revision: u64, returned: Option<u64>) {
    let peer = Fake::start().await;
    let in_force = peer.adopt(7, &document());
    let daemon = start_with_peer(&peer).await;
    wait_for_change(&daemon, 0).await;
    let connection = connect(daemon.peer_address, &endpoint()).await;
    let connection = connection.expect("the port accepts connections");
    let min_revision = Version {
        revision: min_revision,
        ..in_force
    };
    let context = tarpc::context::current();
    let call = connection
        .client()
        .sections(context, min_revision, Base::default());
    let sections = within(call).await.expect("the call is answered");
    assert_eq!(sections.map(|sections| sections.version.revision), returned);
}

// Guards against false conflicts: white space and the order of lists must not change the digest.
#[tokio::test]
async fn read_other_white_space_has_the_same_digest() {
    let service = Service::start();
    let mut reordered = document();
    reordered.routes.reverse();
    reordered.callers.reverse();
    let text = serde_json::to_string_pretty(&reordered).expect("the document can be encoded");
    let revision = service.publish(DOCUMENT, text);
    let daemon = launch_daemon(&[&format!("--configuration-service={}", service.address())]).await;
    let (version, _) = version(revision, &document());
    assert_eq!(wait_for_change(&daemon, 0).await, expected(version));
}
