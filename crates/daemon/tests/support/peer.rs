//! A fake peer daemon that announces and serves a configuration over the wire.

use futures::StreamExt;
use monsoonring_configuration::document::Document;
use monsoonring_configuration::section::transfer::{self, Base, Part};
use monsoonring_configuration::section::{self, Index, Section};
use monsoonring_decision::configuration::Version;
use monsoonring_decision::idempotency::lookup::{Finding, Lookup};
use monsoonring_decision::idempotency::{Handover, Key, Receipt, Refusal};
use monsoonring_decision::member::{
    Attachment, BucketRange, Digest, Incarnation, MemberId, Message, Page,
};
use monsoonring_decision::outcome::Outcome;
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::Ring;
use monsoonring_wire::message::{Rejection, Request, Sections, Send, SendReply};
use monsoonring_wire::meter::Meter;
use monsoonring_wire::peer::{Peer, call_handlers};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tarpc::context::Context;
use tokio::net::TcpListener;

/// Corrupts the sections of an answer.
pub(crate) type Damage = fn(Vec<Part>) -> Vec<Part>;

/// Configuration of the peer, and the fetches that it received.
#[derive(Default)]
pub(crate) struct State {
    /// Version that the peer announces in probe replies.
    pub(crate) announced: Option<Version>,
    /// Version that the peer serves, and its sections.
    pub(crate) held: Option<(Version, Vec<Section>)>,
    /// Corruptions of the next answers, one for each.
    pub(crate) damage: VecDeque<Damage>,
    /// For each fetch, whether the requester already held some sections.
    pub(crate) incremental: Vec<bool>,
}

/// A peer that listens on the loopback interface.
#[derive(Clone)]
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Returns a channel endpoint that authenticates with the tests' key.
pub(crate) fn endpoint() -> Endpoint {
    let key = super::KEY
        .repeat(4)
        .parse()
        .expect("the tests' key is valid");
    let ring = Ring {
        current: Some(key),
        previous: None,
    };
    Endpoint::new(Ipv4Addr::LOCALHOST.into(), ring, Meter::default())
}

/// Splits a document into sections and computes its version.
pub(crate) fn version(revision: u64, document: &Document) -> (Version, Vec<Section>) {
    let sections = section::split(document).expect("the document can be encoded");
    let digest = Index::of(&sections).digest().half();
    (Version { revision, digest }, sections)
}

impl Fake {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listener = listener.await.expect("binding port 0 succeeds");
        let fake = Self {
            address: listener.local_addr().expect("the listener has an address"),
            state: Arc::default(),
        };
        tokio::spawn(fake.clone().listen(listener));
        fake
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves and announces a document.
    pub(crate) fn adopt(&self, revision: u64, document: &Document) -> Version {
        let held = version(revision, document);
        let mut state = self.state();
        state.announced = Some(held.0);
        state.held = Some(held);
        state.announced.expect("`announced` was just set")
    }

    async fn listen(self, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let fake = self.clone();
            tokio::spawn(async move {
                let Ok(stream) = endpoint().accept(stream, peer).await else {
                    return;
                };
                call_handlers(stream, fake.serve())
                    .for_each(async |call| drop(tokio::spawn(call)))
                    .await;
            });
        }
    }

    /// Builds the gossip message of the peer.
    pub(crate) fn message(&self) -> Message {
        Message {
            from: self.address,
            incarnation: Incarnation {
                start: 1,
                refutation: 0,
            },
            data_centre: "tunis-1".into(),
            digest: Digest { bucket: 0, hash: 0 },
            changes: Vec::new(),
            attachment: Attachment {
                contact: None,
                configuration: self.state().announced,
                facts: Vec::new(),
            },
        }
    }
}

impl Peer for Fake {
    async fn probe(self, _: Context, _: Message) -> Option<Message> {
        Some(self.message())
    }

    async fn probe_for(self, _: Context, _: MemberId) -> Option<Message> {
        None
    }

    async fn page(self, _: Context, _: BucketRange) -> Option<Page> {
        None
    }

    async fn sections(self, _: Context, min_version: Version, base: Base) -> Option<Sections> {
        let mut state = self.state();
        state.incremental.push(!base.is_empty());
        let damage = state.damage.pop_front();
        let (version, sections) = state.held.as_ref()?;
        let parts = transfer::parts(sections, &base);
        let version = (*version >= min_version).then_some(*version)?;
        let parts = match damage {
            Some(damage) => damage(parts),
            None => parts,
        };
        Some(Sections { version, parts })
    }

    async fn search(self, _: Context, _: Request) -> Result<Outcome, Rejection> {
        Err(Rejection::NotHome)
    }

    async fn mint(self, _: Context, _: Request) -> Result<Key, Rejection> {
        Err(Rejection::NotHome)
    }

    async fn send(self, _: Context, _: Send) -> SendReply {
        SendReply::Refused(Refusal::Gone)
    }

    async fn run(self, _: Context, _: Request, _: String) -> Result<Outcome, Rejection> {
        Err(Rejection::NotHome)
    }

    async fn ask(self, _: Context, _: Lookup) -> Finding {
        Finding::Nothing
    }

    async fn hear(
        self,
        _: tarpc::context::Context,
        _: monsoonring_decision::fact::Entry,
        _: std::net::SocketAddr,
    ) {
    }

    async fn take_over(self, _: Context, _: Handover) -> Option<Receipt> {
        None
    }
}
