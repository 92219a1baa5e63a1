//! Hosts that speak over real sockets.

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

/// Ends a test that hangs; no test waits for this to pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A host, and what it says to its homes.
struct Host {
    address: SocketAddr,
    facts: mpsc::UnboundedSender<Fact>,
    updates: mpsc::UnboundedReceiver<Update>,
}

impl Host {
    async fn start(seeds: &[SocketAddr]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let address = socket.local_addr().expect("it is bound");
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
        let waiting = async {
            while let Some(update) = self.updates.recv().await {
                if matches(&update) {
                    return update;
                }
            }
            unreachable!("the host goes on");
        };
        timeout(TEST_TIMEOUT, waiting)
            .await
            .expect("the updates come")
    }

    /// Waits until so many hosts are is_expected that do the same. Returns this one's place among them.
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
            _ => unreachable!("it was waited for"),
        }
    }
}

#[tokio::test]
async fn start_three_count_each_other_and_share_what_they_find() {
    let mut first = Host::start(&[]).await;
    let mut second = Host::start(&[first.address]).await;
    let mut third = Host::start(&[first.address]).await;
    let mut ranks = BTreeSet::new();
    for host in [&mut first, &mut second, &mut third] {
        ranks.insert(host.wait_for_host_count(3).await);
    }
    assert_eq!(ranks, BTreeSet::from([0, 1, 2]), "each has its own place");
    let fact = Fact::Suspect(7, Duration::from_secs(60));
    second.facts.send(fact).expect("the host goes on");
    let known =
        |update: &Update| matches!(update, Update::Fact(entry) if entry.key == Key::Suspect(7));
    first.wait_for(known).await;
    third.wait_for(known).await;
}

// Symptom: one stray datagram ends the talk between hosts.
// Events: something else sends to the port.
// Cause: what can't be read is an error of the socket.
#[tokio::test]
async fn receive_garbage_is_ignored() {
    let mut first = Host::start(&[]).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for garbage in [&b""[..], &[0xff; 900], &[0; 40]] {
        stranger
            .send_to(garbage, first.address)
            .await
            .expect("it is sent");
    }
    let _second = Host::start(&[first.address]).await;
    first.wait_for_host_count(2).await;
}
