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
use support::http::{ask, get};
use support::peer::{Fake, endpoint, version};
use support::{start_whole, within};
use test_case::test_case;

/// Between two looks at something that must change.
const LOOK: Duration = Duration::from_millis(20);

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("examples are valid")
}

fn edited(by: u64) -> Document {
    let mut document = document();
    document.routes[0].deadline_ms += by;
    document
}

async fn start_beside(peer: &Fake) -> Launched {
    start_whole(&[&format!("--peers={}", peer.address)]).await
}

/// The configuration that operators see: revision, digest and conflicts.
async fn seen(daemon: &Launched) -> (u64, String, u64) {
    let state = ask(daemon.running.operator_address(), &get("/state")).await;
    let configuration = &state.json()["configuration"];
    let number = |name: &str| configuration[name].as_u64().unwrap_or_default();
    let digest = configuration["digest"].as_str().unwrap_or_default();
    (number("revision"), digest.to_owned(), number("conflicts"))
}

/// Waits until a version other than `before` is in force, and returns what is seen then.
async fn next(daemon: &Launched, before: u64) -> (u64, String, u64) {
    within(async {
        loop {
            let seen = seen(daemon).await;
            if seen.0 != before {
                return seen;
            }
            tokio::time::sleep(LOOK).await;
        }
    })
    .await
}

fn expected(version: Version) -> (u64, String, u64) {
    (version.revision, format!("{:032x}", version.digest), 0)
}

#[tokio::test]
async fn fetch_holding_nothing_takes_all() {
    let peer = Fake::start().await;
    let version = peer.adopt(7, &document());
    let daemon = start_beside(&peer).await;
    assert_eq!(next(&daemon, 0).await, expected(version));
    assert_eq!(peer.state().asked, [false]);
}

fn sent(parts: &mut [Part]) -> &mut Arc<[u8]> {
    let body = parts.iter_mut().find_map(|part| match part {
        Part::Sent { body, .. } => Some(body),
        Part::Held(_) => None,
    });
    body.expect("a part was sent")
}

fn shorten(mut parts: Vec<Part>) -> Vec<Part> {
    let body = sent(&mut parts);
    *body = body[..body.len() - 1].into();
    parts
}

/// Leaves a valid document, though not the one that was announced.
fn tamper(mut parts: Vec<Part>) -> Vec<Part> {
    let body = sent(&mut parts);
    let text = String::from_utf8(body.to_vec()).expect("JSON text");
    let (before, after) = text.split_once("\"deadline_ms\":").expect("a deadline");
    *body = format!("{before}\"deadline_ms\":1{after}")
        .into_bytes()
        .into();
    parts
}

fn lose(mut parts: Vec<Part>) -> Vec<Part> {
    parts.retain(|part| matches!(part, Part::Held(_)));
    parts
}

fn misplace(mut parts: Vec<Part>) -> Vec<Part> {
    parts.push(Part::Held(u32::MAX));
    parts
}

// Symptom: a daemon serves a route that no operator wrote, and other daemons take it from there.
// Events: of the sections that a peer sends, one is cut short, changed, lost, or named as held though
// it is not.
// Cause: the sections that came are put beside the held ones without a look at the whole's digest.
#[test_case(shorten; "section_cut_short")]
#[test_case(tamper; "section_changed")]
#[test_case(lose; "section_lost")]
#[test_case(misplace; "position_not_held")]
#[tokio::test]
async fn fetch_damaged_is_refused_and_repeated_whole(damage: support::peer::Damage) {
    let peer = Fake::start().await;
    peer.adopt(7, &document());
    let daemon = start_beside(&peer).await;
    next(&daemon, 0).await;
    peer.state().damage.push_back(damage);
    let version = peer.adopt(8, &edited(1));
    assert_eq!(next(&daemon, 7).await, expected(version));
    assert_eq!(peer.state().asked, [false, true, false]);
}

// Symptom: while operators publish often, a daemon that is a little behind never catches up.
// Events: a peer announces a version; before the fetch comes it has put the next one in force.
// Cause: a peer that gives nothing but the very version which was asked for.
#[tokio::test]
async fn fetch_peer_has_gone_on_takes_what_it_has() {
    let peer = Fake::start().await;
    let (announced, _) = version(8, &edited(1));
    let newer = peer.adopt(9, &edited(2));
    peer.state().announced = Some(announced);
    let daemon = start_beside(&peer).await;
    assert_eq!(next(&daemon, 0).await, expected(newer));
}

#[test_case(6, Some(7); "lesser_asked")]
#[test_case(7, Some(7); "the_same_asked")]
#[test_case(8, None; "greater_asked")]
#[tokio::test]
async fn sections_are_those_in_force(least: u64, given: Option<u64>) {
    let peer = Fake::start().await;
    let in_force = peer.adopt(7, &document());
    let daemon = start_beside(&peer).await;
    next(&daemon, 0).await;
    let line = connect(daemon.peer_address, &endpoint()).await;
    let line = line.expect("it listens");
    let least = Version {
        revision: least,
        ..in_force
    };
    let context = tarpc::context::current();
    let fetching = line.client().sections(context, least, Base::default());
    let sections = within(fetching).await.expect("an answer");
    assert_eq!(sections.map(|sections| sections.version.revision), given);
}

// Symptom: a conflict is reported and routes are rebuilt though no operator changed anything.
// Events: a daemon reads the service, whose text has other white space and another order of lists
// than the sections that a peer has under the same revision.
// Cause: a digest over the text in place of one over what it says.
#[tokio::test]
async fn read_other_white_space_is_the_same_document() {
    let service = Service::start();
    let mut turned = document();
    turned.routes.reverse();
    turned.callers.reverse();
    let text = serde_json::to_string_pretty(&turned).expect("a document is plain JSON");
    let revision = service.publish(DOCUMENT, text);
    let daemon = start_whole(&[&format!("--configuration-service={}", service.address())]).await;
    let (version, _) = version(revision, &document());
    assert_eq!(next(&daemon, 0).await, expected(version));
}
