//! Membership over real sockets.

use super::{Task, Update, run};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::Fact;
use monsoonring_decision::fact::Key;
use monsoonring_decision::gateway::Members;
use monsoonring_decision::placement::{Homes, Member};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slog::{Discard, Logger, o};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A host with its channels.
struct Host {
    address: SocketAddr,
    facts: mpsc::UnboundedSender<Fact>,
    updates: mpsc::UnboundedReceiver<Update>,
}

impl Host {
    async fn start(seeds: &[SocketAddr]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        let address = socket.local_addr().expect("bound socket");
        let own = Member {
            id: address,
            data_centre: "north".into(),
        };
        let clock = Clock::start();
        let rng = ChaCha8Rng::seed_from_u64(u64::from(address.port()));
        let (facts, fact_receiver) = mpsc::unbounded_channel();
        let (sender, updates) = mpsc::unbounded_channel();
        tokio::spawn(run(Task {
            members: Members::new(own, 1, seeds, 0, 1.into(), clock.now(), rng),
            socket,
            clock,
            log: Logger::root(Discard, o!()),
            metrics: Arc::new(Metrics::default()),
            local_facts: fact_receiver,
            status_requests: mpsc::unbounded_channel().1,
            remote_rx: watch::channel(BTreeSet::new()).1,
            updates: sender,
            candidates: BTreeMap::new(),
        }));
        Self {
            address,
            facts,
            updates,
        }
    }

    async fn wait_for(&mut self, matches: impl Fn(&Update) -> bool) -> Update {
        let received = async {
            while let Some(update) = self.updates.recv().await {
                if matches(&update) {
                    return update;
                }
            }
            unreachable!("the host is running");
        };
        timeout(TEST_TIMEOUT, received)
            .await
            .expect("update received in time")
    }

    /// Waits until the given number of hosts share the servers. Returns the rank of this host.
    async fn wait_for_host_count(&mut self, hosts: usize) -> usize {
        let is_expected = |homes: &Homes| {
            let rank = homes.rank;
            let expected = Homes {
                rank,
                ..hosts.into()
            };
            *homes == expected
        };
        let has_count =
            |update: &Update| matches!(update, Update::Hosts(homes) if is_expected(homes));
        match self.wait_for(has_count).await {
            Update::Hosts(homes) => homes.rank,
            _ => unreachable!("only host counts match"),
        }
    }
}

#[tokio::test]
async fn start_three_hosts_discover_each_other_and_share_facts() {
    let mut first = Host::start(&[]).await;
    let mut second = Host::start(&[first.address]).await;
    let mut third = Host::start(&[first.address]).await;
    let mut ranks = BTreeSet::new();
    for host in [&mut first, &mut second, &mut third] {
        ranks.insert(host.wait_for_host_count(3).await);
    }
    assert_eq!(ranks, BTreeSet::from([0, 1, 2]), "ranks are distinct");
    let fact = Fact::Suspect(7, Duration::from_secs(60));
    second.facts.send(fact).expect("the host is running");
    let is_suspect =
        |update: &Update| matches!(update, Update::Fact(entry) if entry.key == Key::Suspect(7));
    first.wait_for(is_suspect).await;
    third.wait_for(is_suspect).await;
}

// Guards against an invalid datagram that stops the task.
#[tokio::test]
async fn receive_invalid_datagram_is_ignored() {
    let mut first = Host::start(&[]).await;
    let other_sender = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    for datagram in [&b""[..], &[0xff; 900], &[0; 40]] {
        other_sender
            .send_to(datagram, first.address)
            .await
            .expect("datagram sent");
    }
    let _second = Host::start(&[first.address]).await;
    first.wait_for_host_count(2).await;
}
