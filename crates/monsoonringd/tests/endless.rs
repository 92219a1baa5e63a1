//! Backend servers whose responses to a real daemon process never end.

#[path = "soak/host.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod host;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use host::Host;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use support::client;
use support::daemon::{configuration, fan_out_route, single_route};
use support::endless::Form;
use support::server::{Behaviour, Server};
use support::store::Store;
use support::wait_for;
use test_case::test_case;
use tokio::task::JoinSet;

/// Result of starting a host.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Concurrent clients, and the requests that each sends.
const CLIENTS: usize = 24;
const ROUNDS: usize = 8;

/// Times that a client sends a request again.
const MAX_REPEATS: usize = 8;

/// Time that a client waits, and the time beyond it within which it has an answer.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Memory limit of a host.
const MEMORY_KIB: u64 = host::MEMORY_MIB * 1_024;

/// Bytes of a response that the host may read before it closes the connection: the longest body that it accepts, with
/// the socket buffers of both sides.
const MAX_BYTES_READ: u64 = 28 * 1_024 * 1_024;

/// Bytes of interim heads that the host may read: those in the socket buffers.
const MAX_INTERIM_BYTES_READ: u64 = 12 * 1_024 * 1_024;

/// Share of the requests that have to be served if another server can serve each.
const MIN_SERVED: f64 = 0.9;

/// Which requests are sent, to how many servers, of which some never end.
#[derive(Clone, Copy)]
enum Load {
    /// Requests that may be repeated at another server.
    Single { servers: usize, endless: usize },
    /// Searches over several shards with two servers each; the first of each never ends.
    Search { shards: usize },
}

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

impl Load {
    /// Returns the share of the requests that have to be served. Retries are too few for all requests if most servers
    /// fail.
    fn min_served(self) -> f64 {
        match self {
            Self::Single { servers, endless } if 2 * endless > servers => {
                (servers - endless) as f64 / servers as f64
            }
            _ => MIN_SERVED,
        }
    }

    /// Starts the servers. Returns them and whether each is to write without end.
    async fn start(self, store: &Store) -> Vec<(Server, bool)> {
        let record = ["0123456789abcdef"];
        let mut started = Vec::new();
        match self {
            Self::Single { servers, endless } => {
                for number in 0..servers {
                    let server = Server::start(store, &format!("i-{number}"), "one", &record).await;
                    started.push((server, number < endless));
                }
                let route = single_route("orders", "/orders/", "idempotent", "one");
                store.put("op/config", &configuration(1, &[route], &["one"]));
            }
            Self::Search { shards } => {
                let shards = &SHARDS[..shards];
                for shard in shards {
                    for number in 0..2 {
                        let instance = format!("i-{shard}-{number}");
                        let server = Server::start(store, &instance, shard, &record).await;
                        started.push((server, number == 0));
                    }
                }
                let route = fan_out_route("orders", "/orders/", shards);
                store.put("op/config", &configuration(1, &[route], shards));
            }
        }
        started
    }
}

/// Sends a request, and again when the host says so, as clients do. Returns whether it was served.
async fn send(front: SocketAddr, path: &str) -> bool {
    let timeout = TIMEOUT.as_millis().to_string();
    for repeat in 0..=MAX_REPEATS {
        let id = format!("{path}/{repeat}");
        let sent = Instant::now();
        let reply = client::send(front, "GET", path, &id, &timeout).await;
        let took = sent.elapsed();
        assert!(took <= TIMEOUT + ANSWER_MARGIN, "{path} took {took:?}");
        let reply = reply.expect("each request is answered");
        let retry_after = reply
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        match retry_after {
            Some(seconds) => tokio::time::sleep(Duration::from_secs_f64(seconds)).await,
            None => return reply.status.as_u16() == 200,
        }
    }
    false
}

/// Sends the requests of all clients. Returns how many were served.
async fn send_all(front: SocketAddr) -> usize {
    let clients = (0..CLIENTS).map(|client| async move {
        let mut served = 0;
        for round in 0..ROUNDS {
            served += usize::from(send(front, &format!("/orders/{client}/{round}")).await);
        }
        served
    });
    let clients: JoinSet<usize> = clients.collect();
    clients.join_all().await.into_iter().sum()
}

// Guards against one server that takes a host's memory, processor or connections with bytes that are no answer.
#[test_case(0, Form::InterimHeads, None, Load::Single { servers: 8, endless: 1 }; "interim_heads")]
#[test_case(1, Form::InterimHeads, Some(5), Load::Single { servers: 8, endless: 1 }; "interim_heads_slow")]
#[test_case(2, Form::InterimHeads, None, Load::Single { servers: 3, endless: 2 }; "interim_heads_of_most_servers")]
#[test_case(3, Form::InterimHeads, None, Load::Search { shards: 4 }; "interim_heads_in_searches")]
#[test_case(4, Form::HeaderLine, None, Load::Single { servers: 8, endless: 1 }; "header_line")]
#[test_case(5, Form::HeaderLine, Some(5), Load::Single { servers: 8, endless: 1 }; "header_line_slow")]
#[test_case(6, Form::HeaderLines, None, Load::Single { servers: 8, endless: 1 }; "header_lines")]
#[test_case(7, Form::HeaderLines, None, Load::Search { shards: 4 }; "header_lines_in_searches")]
#[test_case(8, Form::Chunks, None, Load::Single { servers: 8, endless: 1 }; "chunks")]
#[test_case(9, Form::Chunks, Some(5), Load::Search { shards: 4 }; "chunks_slow_in_searches")]
#[test_case(10, Form::LongBody, None, Load::Single { servers: 8, endless: 1 }; "long_body")]
#[test_case(11, Form::LongBody, None, Load::Single { servers: 3, endless: 2 }; "long_body_of_most_servers")]
#[test_case(12, Form::LongBody, None, Load::Search { shards: 4 }; "long_body_in_searches")]
#[test_case(13, Form::Chunks, None, Load::Search { shards: 4 }; "chunks_in_searches")]
#[test_case(14, Form::LongBody, Some(1), Load::Search { shards: 4 }; "long_body_slow_in_searches")]
#[test_case(15, Form::EmptyLines, None, Load::Single { servers: 8, endless: 1 }; "empty_lines")]
#[test_case(16, Form::ShortChunks, None, Load::Single { servers: 8, endless: 1 }; "short_chunks")]
#[test_case(17, Form::ChunkSize, None, Load::Single { servers: 8, endless: 1 }; "chunk_size")]
#[test_case(18, Form::ChunkSize, Some(5), Load::Single { servers: 8, endless: 1 }; "chunk_size_slow")]
#[test_case(19, Form::ChunkSize, None, Load::Search { shards: 4 }; "chunk_size_in_searches")]
#[test_case(20, Form::ChunkPadding, None, Load::Single { servers: 3, endless: 2 }; "chunk_padding_of_most_servers")]
#[test_case(21, Form::ChunkExtension, None, Load::Single { servers: 8, endless: 1 }; "chunk_extension")]
#[test_case(22, Form::Trailers, None, Load::Single { servers: 8, endless: 1 }; "trailers")]
#[test_case(23, Form::ExtraBytes, None, Load::Single { servers: 8, endless: 1 }; "extra_bytes")]
#[test_case(24, Form::ShortChunks, None, Load::Search { shards: 4 }; "short_chunks_in_searches")]
#[tokio::test(flavor = "multi_thread")]
async fn response_without_end_is_cut(number: u8, form: Form, pause_ms: Option<u64>, load: Load) {
    let store = Store::start().await;
    let servers = load.start(&store).await;
    let folder = tempfile::tempdir().expect("create a directory");
    let binary = Path::new(env!("CARGO_BIN_EXE_monsoonringd"));
    let host = Host::start(
        number,
        number..number + 1,
        store.address,
        binary,
        folder.path(),
    );
    let host = host.expect("start the host");
    wait_for("the host serves requests", || async {
        let reply = client::send(host.front, "GET", "/orders/first", "first", "1000").await?;
        (reply.status.as_u16() == 200).then_some(())
    })
    .await;
    let endless = servers.iter().filter(|(_, is_endless)| *is_endless);
    let endless: Vec<&Server> = endless.map(|(server, _)| server).collect();
    for server in &endless {
        server.set_behaviour(Behaviour::Endless(
            form,
            pause_ms.map(Duration::from_millis),
        ));
    }
    let served = send_all(host.front).await;
    wait_for("the host closes the connections", || async {
        let open: u64 = endless.iter().map(|server| server.endless().open()).sum();
        (open == 0).then_some(())
    })
    .await;
    let started: u64 = endless
        .iter()
        .map(|server| server.endless().started())
        .sum();
    let bytes: u64 = endless.iter().map(|server| server.endless().bytes()).sum();
    let peak = host.peak_memory_kib().expect("the host runs");
    eprintln!("served {served}, {started} responses without end, {bytes} bytes, peak {peak} KiB");
    assert!(started > 0, "a server writes without end");
    let max_bytes = match form {
        Form::InterimHeads => MAX_INTERIM_BYTES_READ,
        _ => MAX_BYTES_READ,
    };
    assert!(
        bytes <= started * max_bytes,
        "{bytes} bytes of {started} responses"
    );
    assert!(peak < MEMORY_KIB, "peak memory {peak} KiB");
    let requests = CLIENTS * ROUNDS;
    assert!(
        served as f64 >= load.min_served() * requests as f64,
        "{served} of {requests} requests are served"
    );
}
