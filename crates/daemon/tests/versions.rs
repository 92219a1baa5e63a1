//! Two versions beside each other, during a roll-out.

mod support;

use monsoonring_configuration::section::transfer::Base;
use monsoonring_configuration::{check, example};
use monsoonring_decision::configuration::Version;
use monsoonring_wire::message::Sections;
use monsoonring_wire::peer::framed;
use std::time::Duration;
use support::peer::{Fake, endpoint};
use support::{launch_daemon, within};
use tarpc::client::{Config, RpcError};
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;

/// Between two tries of something that must succeed.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The calls of a later version: those of this one, and one more.
#[tarpc::service]
trait Later {
    async fn probe();
    async fn probe_for();
    async fn page();
    async fn sections(least: Version, base: Base) -> Option<Sections>;
    async fn search();
    async fn mint();
    async fn send();
    async fn run();
    async fn ask();
    async fn take_over();
    async fn added(message: Vec<String>) -> u64;
}

// Symptom: during a roll-out, queries that pass from new daemons to old ones are lost now and then.
// Events: a new daemon calls a method that the old one lacks, on the stream that carries its queries.
// Cause: a call that can't be read is taken for a broken stream, which is closed with all calls on it.
#[tokio::test]
async fn call_of_a_later_version_keeps_the_stream() {
    let peer = Fake::start().await;
    let document = check::parse(example::HYDRANT.as_bytes()).expect("examples are valid");
    let in_force = peer.adopt(7, &document);
    let daemon = launch_daemon(&[&format!("--peers={}", peer.address)]).await;
    let stream = endpoint().connect(daemon.peer_address).await;
    let stream = framed(stream.expect("it listens"));
    let calls = tarpc::serde_transport::new(stream, Bincode::default());
    let client = LaterClient::new(Config::default(), calls).spawn();
    let message = vec!["later".to_owned()];
    let added = within(client.added(context::current(), message)).await;
    assert!(matches!(added, Err(RpcError::Server(_))), "{added:?}");
    let sections = within(async {
        loop {
            let call = client.sections(context::current(), in_force, Base::default());
            if let Some(sections) = call.await.expect("the stream is open") {
                return sections;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    });
    assert_eq!(sections.await.version, in_force);
}
