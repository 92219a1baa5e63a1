//! Network relays and fleets of backend servers.

mod support;

use monsoonring_configuration::document::Kind;
use monsoonring_fakes::backend_server::{Server, Settings};
use monsoonring_fakes::fleet::{self, Fleet, Shape};
use monsoonring_fakes::host_list::List;
use monsoonring_fakes::relay::{Link, Relay, udp};
use serde_json::json;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use support::{Call, Client, eventually, send};
use test_case::test_case;
use tokio::net::UdpSocket;
use tokio::time::{self, Instant};

const SENDS: u32 = 40;
const DATAGRAMS: u64 = 20;
const GRACE: Duration = Duration::from_millis(50);

// A request hangs while the link holds bytes, and completes late once it opens: TCP retransmits.
#[test_case(Link::Hold, 1; "both_directions")]
#[test_case(Link::OnlyBack, 1; "to_target")]
#[test_case(Link::OnlyForward, 2; "from_target")]
#[tokio::test]
async fn link_holds_and_delivers_later(link: Link, received: u64) {
    let server = Server::start(Settings::default());
    let relay = Relay::start(server.address());
    let mut client = Client::connect(relay.address()).await;
    client.send(Call::query(1)).await.expect("a reply");
    relay.set_link(link);
    let sending = client.send(Call::query(2));
    tokio::pin!(sending);
    assert!(
        time::timeout(GRACE, &mut sending).await.is_err(),
        "the request neither completes nor fails"
    );
    if received == 2 {
        eventually("the server has received the request", || {
            server.counters().received == 2
        })
        .await;
    }
    assert_eq!(server.counters().received, received);
    relay.set_link(Link::Open);
    assert_eq!(sending.await.expect("a reply").status, 200);
}

#[tokio::test]
async fn link_cut_drops_open_connections() {
    // A partition that closes connections fails requests immediately.
    let server = Server::start(Settings::default());
    let relay = Relay::start(server.address());
    let mut client = Client::connect(relay.address()).await;
    client.send(Call::query(1)).await.expect("a reply");
    relay.set_link(Link::Cut);
    assert!(client.send(Call::query(2)).await.is_err());
    assert!(send(relay.address(), Call::query(3)).await.is_err());
    eventually("the server sees the close", || {
        server.counters().connections_open == 0
    })
    .await;
    relay.set_link(Link::Open);
    assert!(send(relay.address(), Call::query(4)).await.is_ok());
    assert_eq!(server.counters().received, 2);
}

#[tokio::test]
async fn link_silences_open_connections_only() {
    // A middlebox loses its state without a reset: pooled connections hang, new ones work.
    let server = Server::start(Settings::default());
    let relay = Relay::start(server.address());
    let mut old = Client::connect(relay.address()).await;
    old.send(Call::query(1)).await.expect("a reply");
    relay.silence_open();
    assert!(
        time::timeout(GRACE, old.send(Call::query(2)))
            .await
            .is_err()
    );
    assert!(send(relay.address(), Call::query(3)).await.is_ok());
    assert_eq!((relay.opened(), server.counters().received), (2, 2));
}

#[tokio::test]
async fn link_flaps_until_set() {
    // A flapping link makes requests fail and succeed alternately.
    let server = Server::start(Settings::default());
    let relay = Relay::start(server.address());
    let interval = Duration::from_millis(5);
    relay.flap(Link::Cut, interval, interval);
    let (mut failed, mut answered) = (0, 0);
    for _ in 0..SENDS {
        match send(relay.address(), Call::query(1)).await {
            Ok(_) => answered += 1,
            Err(_) => failed += 1,
        }
        time::sleep(interval).await;
    }
    assert!(
        failed > 0 && answered > 0,
        "{failed} failed, {answered} answered"
    );
    relay.set_link(Link::Open);
    for attempt in 0..20 {
        send(relay.address(), Call::query(attempt))
            .await
            .expect("a reply");
    }
}

#[tokio::test(start_paused = true)]
async fn link_delays_both_directions() {
    let server = Server::start(Settings::default());
    let relay = Relay::start(server.address());
    relay.set_delay(Duration::from_millis(30));
    let start = Instant::now();
    send(relay.address(), Call::get("/health"))
        .await
        .expect("a reply");
    assert_eq!(start.elapsed().as_millis(), 60);
}

#[test_case(fleet::dispatch_map(), Kind::Search, (10, 3), (3, 30, 6); "dispatch_map")]
#[test_case(fleet::gate_desk(), Kind::Search, (10, 3), (2, 25, 6); "gate_desk")]
#[test_case(fleet::planner_desk(), Kind::Search, (1, 20), (2, 110, 1); "planner_desk")]
#[test_case(fleet::repair_tickets(), Kind::Execute, (1, 10), (2, 110, 1); "repair_tickets")]
#[tokio::test]
async fn document_matches_fleet(
    shape: Shape,
    kind: Kind,
    size: (usize, usize),
    capacity: (u32, u32, u64),
) {
    let name = shape.route.clone();
    let fleet = Fleet::start([shape]);
    let document = fleet.document();
    let route = &document.routes[0];
    assert_eq!(route.kind, kind);
    assert_eq!(
        (route.groups.len(), route.groups[0].backend_servers.len()),
        size
    );
    let declared = route.capacity;
    assert_eq!(
        (declared.slots, declared.connections, declared.connect_ms),
        capacity
    );
    let held: u64 = route.groups.iter().map(|group| group.keys.len()).sum();
    assert_eq!(held, route.keys.len(), "the groups partition the key space");
    let last = route.groups.len() - 1;
    let server = &fleet.group(&name, last)[0];
    assert_eq!(server.address(), route.groups[last].backend_servers[0]);
    let body = json!({"ranges": [route.keys], "query": 1}).to_string();
    let reply = send(server.address(), Call::query(1).body(&body))
        .await
        .expect("a reply");
    assert_eq!(
        reply.json()["ranges"][0]["start"],
        route.groups[last].keys.start
    );
    assert_eq!(fleet.total(|counters| counters.completed), 1);
}

#[tokio::test]
async fn fleet_registers_all_servers() {
    let fleet = Fleet::start([fleet::planner_desk(), fleet::repair_tickets()]);
    let list = List::start();
    fleet.register(&list);
    let reply = send(list.address(), Call::get("/hosts"))
        .await
        .expect("a reply");
    assert_eq!(reply.json()["hosts"].as_array().map(Vec::len), Some(30));
    let document = fleet.document();
    assert_eq!((document.routes.len(), document.callers.len()), (2, 2));
}

// UDP does not retransmit: datagrams are lost at random, in one direction or in both.
#[test_case(Link::Open, 0.0, (20, 20); "open")]
#[test_case(Link::Hold, 0.0, (0, 0); "both_directions")]
#[test_case(Link::OnlyForward, 0.0, (20, 0); "from_target")]
#[test_case(Link::OnlyBack, 0.0, (0, 0); "to_target")]
#[test_case(Link::Open, 1.0, (0, 0); "random_loss")]
#[tokio::test]
async fn datagrams_are_dropped(link: Link, loss: f64, expected: (u64, u64)) {
    let local = async || {
        UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port")
    };
    let target = local().await;
    let address = target.local_addr().expect("an address");
    let relay = udp::Relay::start(address, 1).await.expect("a free port");
    relay.set_link(link);
    relay.set_loss(loss);
    let arrived = answer_all(target);
    let source = local().await;
    source.connect(relay.address()).await.expect("a route");
    for _ in 0..DATAGRAMS {
        source.send(b"ping").await.expect("the datagram is sent");
    }
    let returned = answer_all(source);
    eventually("each datagram is answered or dropped", || {
        returned.load(Ordering::SeqCst) + relay.dropped() >= DATAGRAMS
    })
    .await;
    let (arrived, returned) = (
        arrived.load(Ordering::SeqCst),
        returned.load(Ordering::SeqCst),
    );
    assert_eq!((arrived, returned), expected);
    assert_eq!(relay.dropped(), DATAGRAMS - returned);
}

/// Answers each `ping` with a `pong` and counts the datagrams received.
fn answer_all(socket: UdpSocket) -> Arc<AtomicU64> {
    let count = Arc::new(AtomicU64::new(0));
    let counter = count.clone();
    tokio::spawn(async move {
        let mut buffer = [0; 4];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            counter.fetch_add(1, Ordering::SeqCst);
            if &buffer[..length] == b"ping" {
                socket
                    .send_to(b"pong", from)
                    .await
                    .expect("the datagram is sent");
            }
        }
    });
    count
}
