//! Compatibility of two protocol versions during a rolling upgrade.

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

/// Time between two fetches.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A later version of the peer protocol, with a call `added` that this version cannot decode. Only
/// `sections` has its real arguments.
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

// Guards against lost requests during a rolling upgrade: a call that a daemon cannot decode must
// fail alone and leave the stream, with all other calls on it, open.
#[tokio::test]
async fn call_of_a_later_version_keeps_the_stream() {
    let peer = Fake::start().await;
    let document = check::parse(example::HYDRANT.as_bytes()).expect("the example is valid");
    let in_force = peer.adopt(7, &document);
    let daemon = launch_daemon(&[&format!("--peers={}", peer.address)]).await;
    let stream = endpoint().connect(daemon.peer_address).await;
    let stream = framed(stream.expect("the port accepts connections"));
    let calls = tarpc::serde_transport::new(stream, Bincode::default());
    let client = LaterClient::new(Config::default(), calls).spawn();
    let message = vec!["later".to_owned()];
    let added = within(client.added(context::current(), message)).await;
    assert!(matches!(added, Err(RpcError::Server(_))), "{added:?}");
    let sections = within(async {
        loop {
            let call = client.sections(context::current(), in_force, Base::default());
            if let Some(sections) = call.await.expect("the stream stays open") {
                return sections;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    });
    assert_eq!(sections.await.version, in_force);
}
