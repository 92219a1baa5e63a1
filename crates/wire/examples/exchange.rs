//! Measures the control exchange over `tarpc` and over `capnp-rpc` with the same messages.
//!
//! Both ends run in one thread, so that the processor time is that of a whole exchange: a message
//! written, sent, read, answered and the answer read. Bytes are counted at the stream.

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::StreamExt;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::fact;
use monsoonring_decision::member::{
    Attachment, Change, Digest, Incarnation, Message, Page, Span, State,
};
use monsoonring_decision::outcome::Outcome;
use monsoonring_wire::control::control_capnp::control;
use monsoonring_wire::control::{read, write};
use monsoonring_wire::message::{Declined, Request, Send, Sent};
use monsoonring_wire::peer::{Peer, PeerClient, transport};
use nix::sys::resource::{UsageWho, getrusage};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tarpc::server::{BaseChannel, Channel};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Exchanges for one figure.
const EXCHANGES: u32 = 20_000;

/// Bytes written by both ends.
type Count = Arc<AtomicU64>;

struct Counted {
    stream: TcpStream,
    written: Count,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = written {
            self.written.fetch_add(length as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

async fn streams() -> (Counted, Counted, Count) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
    let written = Count::default();
    let counted = |stream: TcpStream| {
        stream.set_nodelay(true).expect("an open socket");
        Counted {
            stream,
            written: written.clone(),
        }
    };
    let client = counted(client.expect("a listener"));
    let server = counted(server.expect("a connection").0);
    (client, server, written)
}

fn message(changes: u16, facts: u64) -> Message {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    Message {
        from: address(7000),
        incarnation: Incarnation {
            start: 1_796_237_867_688,
            refutation: 1,
        },
        data_centre: "north".into(),
        digest: Digest {
            bucket: 7,
            hash: 0x5f1d_0c7a_93b2_4e68,
        },
        changes: (0..changes)
            .map(|index| Change {
                id: address(8000 + index),
                incarnation: Incarnation {
                    start: 1_796_237_867_688,
                    refutation: 0,
                },
                state: State::Alive,
                data_centre: "south".into(),
            })
            .collect(),
        attachment: Attachment {
            configuration: Some(Version {
                revision: 8900,
                digest: u128::MAX / 3,
            }),
            facts: (0..facts)
                .map(|index| fact::Entry {
                    key: fact::Key::Suspect(index),
                    stamp: fact::Stamp::default(),
                    life: Duration::from_secs(60),
                })
                .collect(),
        },
    }
}

#[derive(Clone)]
struct Echo;

impl Peer for Echo {
    async fn probe(self, _: tarpc::context::Context, message: Message) -> Option<Message> {
        Some(message)
    }

    async fn probe_for(self, _: tarpc::context::Context, _: SocketAddr) -> Option<Message> {
        None
    }

    async fn page(self, _: tarpc::context::Context, _: Span) -> Option<Page> {
        None
    }

    async fn document(self, _: tarpc::context::Context, _: Version) -> Option<Vec<u8>> {
        None
    }

    async fn search(self, _: tarpc::context::Context, _: Request) -> Result<Outcome, Declined> {
        Err(Declined::NotHome)
    }

    async fn mint(
        self,
        _: tarpc::context::Context,
        _: Request,
    ) -> Result<monsoonring_decision::idempotency::Key, Declined> {
        Err(Declined::NotHome)
    }

    async fn send(self, _: tarpc::context::Context, _: Send) -> Sent {
        Sent::Conflict
    }

    async fn run(
        self,
        _: tarpc::context::Context,
        _: Request,
        _: String,
    ) -> Result<Outcome, Declined> {
        Err(Declined::NotHome)
    }

    async fn ask(
        self,
        _: tarpc::context::Context,
        _: monsoonring_decision::idempotency::lookup::Question,
    ) -> monsoonring_decision::idempotency::lookup::Answer {
        monsoonring_decision::idempotency::lookup::Answer::Nothing
    }

    async fn take_over(
        self,
        _: tarpc::context::Context,
        _: monsoonring_decision::idempotency::Handover,
    ) -> Option<monsoonring_decision::idempotency::Receipt> {
        None
    }
}

impl control::Server for Echo {
    async fn probe(
        self: Rc<Self>,
        parameters: control::ProbeParams,
        mut results: control::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let message = read(parameters.get()?.get_message()?);
        let message = message.map_err(|error| capnp::Error::failed(error.to_string()))?;
        write(&message, results.get().init_message());
        Ok(())
    }
}

struct Figure {
    bytes: u64,
    processor: Duration,
    elapsed: Duration,
}

fn processor_time() -> Duration {
    let usage = getrusage(UsageWho::RUSAGE_SELF).expect("the system tells its use");
    let micros = |time: nix::sys::time::TimeVal| {
        Duration::from_secs(time.tv_sec().unsigned_abs())
            + Duration::from_micros(time.tv_usec().unsigned_abs())
    };
    micros(usage.user_time()) + micros(usage.system_time())
}

async fn tarpc_figure(message: &Message) -> Figure {
    let (client, server, written) = streams().await;
    let channel = BaseChannel::with_defaults(transport(Box::new(server)));
    tokio::task::spawn_local(channel.execute(Echo.serve()).for_each(|call| async {
        tokio::task::spawn_local(call);
    }));
    let client = PeerClient::new(
        tarpc::client::Config::default(),
        transport(Box::new(client)),
    );
    let client = client.spawn();
    let (processor, start) = (processor_time(), Instant::now());
    for _ in 0..EXCHANGES {
        let answer = client
            .probe(tarpc::context::current(), message.clone())
            .await;
        assert_eq!(answer.ok().flatten().as_ref(), Some(message));
    }
    figure(&written, processor, start)
}

async fn capnp_figure(message: &Message) -> Figure {
    let (client, server, written) = streams().await;
    let mut client = system(client, Side::Client, None);
    let bootstrap: control::Client = client.bootstrap(Side::Server);
    let echo: control::Client = capnp_rpc::new_client(Echo);
    let server = system(server, Side::Server, Some(echo.client));
    tokio::task::spawn_local(server);
    tokio::task::spawn_local(client);
    let (processor, start) = (processor_time(), Instant::now());
    for _ in 0..EXCHANGES {
        let mut call = bootstrap.probe_request();
        write(message, call.get().init_message());
        let answer = call.send().promise.await.expect("an answer");
        let answer = answer.get().and_then(|answer| answer.get_message());
        let answer = read(answer.expect("a message")).expect("a readable message");
        assert_eq!(&answer, message);
    }
    figure(&written, processor, start)
}

fn system(
    stream: Counted,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = tokio::io::split(stream);
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        side,
        capnp::message::ReaderOptions::default(),
    );
    RpcSystem::new(Box::new(network), bootstrap)
}

fn figure(written: &Count, processor: Duration, start: Instant) -> Figure {
    Figure {
        bytes: written.load(Ordering::Relaxed) / u64::from(EXCHANGES),
        processor: (processor_time() - processor) / EXCHANGES,
        elapsed: start.elapsed() / EXCHANGES,
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("| message | library | bytes both ways | processor time | elapsed |");
    println!("|---|---|---|---|---|");
    let cases = [
        ("empty", message(0, 0)),
        ("4 changes, 2 facts", message(4, 2)),
        ("14 changes, 10 facts", message(14, 10)),
    ];
    LocalSet::new()
        .run_until(async {
            for (name, message) in cases {
                let tarpc = tarpc_figure(&message).await;
                print(name, "tarpc", &tarpc);
                let capnp = capnp_figure(&message).await;
                print(name, "capnp-rpc", &capnp);
            }
        })
        .await;
}

fn print(message: &str, library: &str, figure: &Figure) {
    let Figure {
        bytes,
        processor,
        elapsed,
    } = figure;
    println!("| {message} | {library} | {bytes} | {processor:.1?} | {elapsed:.1?} |");
}
