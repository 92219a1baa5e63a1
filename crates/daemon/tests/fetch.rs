//! How a daemon comes by the configuration that another one has.

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

/// Between two looks at something that must change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("examples are valid")
}

fn edited(by: u64) -> Document {
    let mut document = document();
    document.routes[0].deadline_ms += by;
    document
}

async fn start_with_peer(peer: &Fake) -> Launched {
    launch_daemon(&[&format!("--peers={}", peer.address)]).await
}

/// The configuration that operators see: revision, digest and conflicts.
async fn status(daemon: &Launched) -> (u64, String, u64) {
    let state = exchange(daemon.running.operator_address(), &get("/state")).await;
    let configuration = &state.json()["configuration"];
    let number = |name: &str| configuration[name].as_u64().unwrap_or_default();
    let digest = configuration["digest"].as_str().unwrap_or_default();
    (number("revision"), digest.to_owned(), number("conflicts"))
}

/// Waits until a version other than `before` is in force, and returns what is seen then.
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
    body.expect("a part was sent")
}

fn truncate(mut parts: Vec<Part>) -> Vec<Part> {
    let body = first_sent_body(&mut parts);
    *body = body[..body.len() - 1].into();
    parts
}

/// Leaves a valid document, though not the one that was announced.
fn tamper(mut parts: Vec<Part>) -> Vec<Part> {
    let body = first_sent_body(&mut parts);
    let text = String::from_utf8(body.to_vec()).expect("JSON text");
    let (before, after) = text.split_once("\"deadline_ms\":").expect("a deadline");
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

// Symptom: a daemon serves a route that no operator wrote, and other daemons take it from there.
// Events: of the sections that a peer sends, one is cut short, changed, lost, or named as held though
// it is not.
// Cause: the sections that came are put beside the held ones without a look at the whole's digest.
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

// Symptom: while operators publish often, a daemon that is a little behind never catches up.
// Events: a peer announces a version; before the fetch comes it has put the next one in force.
// Cause: a peer that gives nothing but the very version which was asked for.
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
    let connection = connection.expect("it listens");
    let min_revision = Version {
        revision: min_revision,
        ..in_force
    };
    let context = tarpc::context::current();
    let call = connection
        .client()
        .sections(context, min_revision, Base::default());
    let sections = within(call).await.expect("an answer");
    assert_eq!(sections.map(|sections| sections.version.revision), returned);
}

// Symptom: a conflict is reported and routes are rebuilt though no operator changed anything.
// Events: a daemon reads the service, whose text has other white space and another order of lists
// than the sections that a peer has under the same revision.
// Cause: a digest over the text in place of one over what it says.
#[tokio::test]
async fn read_other_white_space_has_the_same_digest() {
    let service = Service::start();
    let mut reordered = document();
    reordered.routes.reverse();
    reordered.callers.reverse();
    let text = serde_json::to_string_pretty(&reordered).expect("a document is plain JSON");
    let revision = service.publish(DOCUMENT, text);
    let daemon = launch_daemon(&[&format!("--configuration-service={}", service.address())]).await;
    let (version, _) = version(revision, &document());
    assert_eq!(wait_for_change(&daemon, 0).await, expected(version));
}
