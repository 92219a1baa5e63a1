//! Measures the bytes to fetch a document in which one route has changed, as the whole text and as the
//! sections that differ.
//!
//! Bytes are counted at the sockets in both directions, without the handshake. Routes have 10 or 100
//! groups of 3 backend servers.

use futures::StreamExt;
use monsoonring_configuration::document::{Document, Route};
use monsoonring_configuration::section::transfer::{self, Base, Part};
use monsoonring_configuration::section::{self, Index, Section};
use monsoonring_decision::configuration::Version;
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::{Key, Ring};
use monsoonring_wire::message::Sections;
use monsoonring_wire::meter::Meter;
use monsoonring_wire::peer::framed;
use serde_json::json;
use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;

type Result<T, E = Box<dyn Error>> = std::result::Result<T, E>;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const KEY: [u8; 32] = [7; 32];
const REPLICAS: u8 = 3;

#[tarpc::service]
trait Fetch {
    async fn document(version: Version) -> Option<Vec<u8>>;
    async fn sections(least: Version, base: Base) -> Option<Sections>;
}

#[derive(Clone)]
struct Server {
    text: Arc<Vec<u8>>,
    sections: Arc<Vec<Section>>,
    version: Version,
}

impl Fetch for Server {
    async fn document(self, _: Context, _: Version) -> Option<Vec<u8>> {
        Some(self.text.to_vec())
    }

    async fn sections(self, _: Context, _: Version, base: Base) -> Option<Sections> {
        let parts = transfer::parts(&self.sections, &base);
        let version = self.version;
        Some(Sections { version, parts })
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    println!(
        "| routes | groups each | text | whole text | sections, none held | sections, one changed |"
    );
    println!("|---|---|---|---|---|---|");
    for (routes, groups) in [(10, 10), (100, 10), (10, 100), (100, 100)] {
        row(routes, groups).await?;
    }
    Ok(())
}

async fn row(routes: usize, groups: u8) -> Result<()> {
    let old = document(routes, groups)?;
    let mut new = old.clone();
    let changed = new.routes.get_mut(routes / 2).ok_or("a route")?;
    changed.deadline_ms += 1;
    let held = section::split(&old)?;
    let sections = section::split(&new)?;
    let digest = Index::of(&sections).digest().half();
    let server = Server {
        text: Arc::new(serde_json::to_vec(&new)?),
        sections: Arc::new(sections),
        version: Version {
            revision: 2,
            digest,
        },
    };
    let text = server.text.len();
    let whole = document_bytes(&server).await?;
    let none = sections_bytes(&server, &[]).await?;
    let one = sections_bytes(&server, &held).await?;
    println!("| {routes} | {groups} | {text} | {whole} | {none} | {one} |");
    Ok(())
}

async fn document_bytes(server: &Server) -> Result<u64> {
    let (client, meter) = open(server).await?;
    let before = total(&meter);
    client.document(context::current(), server.version).await?;
    Ok(total(&meter) - before)
}

async fn sections_bytes(server: &Server, held: &[Section]) -> Result<u64> {
    let (client, meter) = open(server).await?;
    let before = total(&meter);
    let fetching = client.sections(context::current(), server.version, Base::of(held));
    let answer = fetching.await?.ok_or("an answer")?;
    let is_sent = |part: &&Part| matches!(part, Part::Sent { .. });
    assert!(held.is_empty() || answer.parts.iter().filter(is_sent).count() == 1);
    let joined = transfer::join(answer.parts, held)?;
    assert_eq!(Index::of(&joined).digest().half(), server.version.digest);
    Ok(total(&meter) - before)
}

/// Opens an encrypted connection whose client counts its bytes in the returned meter.
async fn open(server: &Server) -> Result<(FetchClient, Meter)> {
    let listener = TcpListener::bind((LOCAL, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(server.clone(), listener));
    let meter = Meter::default();
    let stream = endpoint(meter.clone()).connect(address).await?;
    let config = tarpc::client::Config::default();
    let calls = tarpc::serde_transport::new(framed(stream), Bincode::default());
    Ok((FetchClient::new(config, calls).spawn(), meter))
}

async fn serve(server: Server, listener: TcpListener) -> Option<()> {
    let (stream, peer): (_, SocketAddr) = listener.accept().await.ok()?;
    let endpoint = endpoint(Meter::default());
    let stream = endpoint.accept(stream, peer).await.ok()?;
    let calls = tarpc::serde_transport::new(framed(stream), Bincode::default());
    BaseChannel::with_defaults(calls)
        .execute(server.serve())
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
    Some(())
}

fn endpoint(meter: Meter) -> Endpoint {
    let ring = Ring {
        current: Some(Key::new(KEY)),
        previous: None,
    };
    Endpoint::new(LOCAL, ring, meter)
}

fn total(meter: &Meter) -> u64 {
    meter.sent() + meter.received()
}

fn document(routes: usize, groups: u8) -> Result<Document> {
    let callers = serde_json::from_value(json!([
        {"name": "dispatch", "class": "urgent"},
        {"name": "planner", "class": "background"},
    ]))?;
    let routes = (0..routes).map(|number| route(number, groups));
    let routes = routes.collect::<Result<_>>()?;
    Ok(Document { callers, routes })
}

fn route(number: usize, groups: u8) -> Result<Route> {
    let group = |group: u8| {
        let server = |replica| format!("10.{}.{group}.{}:7000", number % 256, replica + 1);
        let servers: Vec<_> = (0..REPLICAS).map(server).collect();
        json!({
            "name": format!("group-{group}"),
            "keys": {"start": u32::from(group) * 100, "end": (u32::from(group) + 1) * 100},
            "backend_servers": servers,
        })
    };
    let groups: Vec<_> = (0..groups).map(group).collect();
    Ok(serde_json::from_value(json!({
        "name": format!("route-{number:03}"), "kind": "search",
        "callers": ["dispatch", "planner"], "deadline_ms": 360,
        "capacity": {"slots": 3, "connections": 30},
        "keys": {"start": 0, "end": groups.len() * 100},
        "groups": groups,
    }))?)
}
