//! Calls of the control task, each in a task of its own that reports back through the queue.

use super::document::LoadedDocument;
use super::handle::{Handle, Input};
use super::view::View;
use crate::peer::Pool;
use crate::platform::{self, State};
use futures::future::select_ok;
use monsoonring_configuration::Document;
use monsoonring_configuration::id::{BackendServerId, Revision};
use monsoonring_configuration::section::Section;
use monsoonring_configuration::section::transfer::Base;
use monsoonring_decision::configuration::{self, Version};
use monsoonring_decision::member::{self, BucketRange, MemberId, Message, ProbeId};
use monsoonring_wire::message::Sections;
use slog::{Logger, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Where the answer to a peer's probe goes.
pub(super) type Reply = oneshot::Sender<Message>;

/// Time that a page of the member table or a document may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes the calls.
#[derive(Clone)]
pub(super) struct Driver {
    handle: Handle,
    peers: Pool,
    service: platform::Service,
    log: Logger,
}

impl Driver {
    pub(super) fn new(
        handle: Handle,
        peers: Pool,
        service: platform::Service,
        log: Logger,
    ) -> Self {
        Self {
            handle,
            peers,
            service,
            log,
        }
    }

    pub(super) fn forget(&self, member: MemberId) {
        self.peers.forget(member);
    }

    pub(super) fn probe(&self, probe: ProbeId, to: MemberId, message: Message, limit: Duration) {
        let driver = self.clone();
        tokio::spawn(async move {
            let answer = timeout(limit, driver.ask(to, message, limit)).await;
            driver.probed(probe, to, answer.ok().flatten());
        });
    }

    async fn ask(&self, to: MemberId, message: Message, limit: Duration) -> Option<Message> {
        let client = self.peers.client(to).await.ok()?;
        client.probe(context(limit), message).await.ok()?
    }

    pub(super) fn probe_via(
        &self,
        probe: ProbeId,
        target: MemberId,
        helpers: Vec<MemberId>,
        limit: Duration,
    ) {
        let driver = self.clone();
        tokio::spawn(async move {
            let asked = helpers
                .into_iter()
                .map(|helper| driver.ask_for(helper, target, limit));
            let asked: Vec<_> = asked.map(Box::pin).collect();
            let answer = match asked.is_empty() {
                true => None,
                false => timeout(limit, select_ok(asked))
                    .await
                    .ok()
                    .and_then(Result::ok),
            };
            driver.probed(probe, target, answer.map(|(message, _)| message));
        });
    }

    async fn ask_for(
        &self,
        helper: MemberId,
        target: MemberId,
        limit: Duration,
    ) -> Result<Message, ()> {
        let client = self.peers.client(helper).await.map_err(|_| ())?;
        let answer = client.probe_for(context(limit), target).await;
        answer.ok().flatten().ok_or(())
    }

    fn probed(&self, probe: ProbeId, target: MemberId, answer: Option<Message>) {
        let event = match answer {
            Some(message) => member::Event::Acked(probe, message),
            None => {
                self.peers.forget(target);
                member::Event::Failed(probe)
            }
        };
        self.handle.send(Input::Member(event));
    }

    pub(super) fn pull(&self, from: MemberId, span: BucketRange) {
        let driver = self.clone();
        tokio::spawn(async move {
            let page = timeout(FETCH_TIMEOUT, driver.page(from, span))
                .await
                .ok()
                .flatten();
            let event = match page {
                Some(page) => member::Event::Pulled(from, page),
                None => member::Event::PullFailed(from),
            };
            driver.handle.send(Input::Member(event));
        });
    }

    async fn page(&self, from: MemberId, span: BucketRange) -> Option<member::Page> {
        let client = self.peers.client(from).await.ok()?;
        client.page(context(FETCH_TIMEOUT), span).await.ok()?
    }

    /// Fetches a document that is not lesser than `least`, given the sections in force here.
    pub(super) fn fetch(&self, peer: MemberId, least: Version, held: Arc<[Section]>) {
        let driver = self.clone();
        tokio::spawn(async move {
            let input = match driver.document(peer, least, &held).await {
                Some(read) => Input::Document(Some(peer), Box::new(read)),
                None => Input::Configuration(configuration::Event::FetchFailed(peer)),
            };
            driver.handle.send(input);
        });
    }

    /// Fetches what differs from the sections that are held; the whole if that does not fit.
    ///
    /// What does not have the digest that was announced is never used: the sections of two documents
    /// side by side, or one cut short, would be a configuration that no operator wrote, and this
    /// daemon would hand it on. The second try holds nothing, so that it does not depend on what
    /// went wrong with the first.
    async fn document(
        &self,
        peer: MemberId,
        least: Version,
        held: &[Section],
    ) -> Option<LoadedDocument> {
        for held in [held, &[]] {
            let sections = self.sections(peer, least, Base::of(held)).await?;
            match LoadedDocument::from_parts(sections.version, sections.parts, held) {
                Ok(read) => return Some(read),
                Err(error) => {
                    warn!(self.log, "configuration"; "what" => "refused", "from" => %peer,
                        "why" => %error);
                }
            }
        }
        None
    }

    async fn sections(&self, peer: MemberId, least: Version, base: Base) -> Option<Sections> {
        let asking = async {
            let client = self.peers.client(peer).await.ok()?;
            let sections = client.sections(context(FETCH_TIMEOUT), least, base).await;
            sections.ok()?
        };
        let sections = timeout(FETCH_TIMEOUT, asking).await.ok()??;
        (sections.version >= least).then_some(sections)
    }

    pub(super) fn read(&self) {
        let driver = self.clone();
        tokio::spawn(async move {
            let value = driver.service.read().await.map(Some);
            driver.served(value);
        });
    }

    pub(super) fn watch(&self, after: Revision, wait: Duration) {
        let driver = self.clone();
        tokio::spawn(async move {
            let value = driver.service.watch(after, wait).await;
            driver.served(value);
        });
    }

    fn served(&self, value: platform::Result<Option<platform::Value>>) {
        self.handle.send(match value {
            Ok(Some(value)) => {
                let read = LoadedDocument::from_text(value.revision, &value.bytes);
                Input::Document(None, Box::new(read))
            }
            Ok(None) => Input::Configuration(configuration::Event::Unchanged),
            Err(_) => Input::Configuration(configuration::Event::ServiceFailed),
        });
    }

    /// Reads the host list: daemons become seeds, backend servers that leave become facts.
    pub(super) fn list(&self, list: &platform::List, view: &View, seeds: &[SocketAddr]) {
        let (driver, list) = (self.clone(), list.clone());
        let document = view
            .configuration
            .as_ref()
            .map(|configuration| configuration.document());
        let servers = document.map(backend_servers).unwrap_or_default();
        let seeds = seeds.to_vec();
        tokio::spawn(async move {
            let Ok(hosts) = list.read().await else { return };
            let (servers, daemons): (Vec<_>, Vec<_>) = hosts
                .into_iter()
                .partition(|host| servers.contains(&host.address));
            let leaving = servers.iter().filter(|host| host.state == State::Leaving);
            let leaving = leaving.map(|host| host.address).collect();
            driver.handle.send(Input::LeavingServers(leaving));
            let listed = daemons.iter().map(|host| member::Seed {
                id: host.address,
                leaving: host.state == State::Leaving,
            });
            let mut listed: Vec<_> = listed.collect();
            let known: BTreeSet<_> = listed.iter().map(|seed| seed.id).collect();
            let missing = seeds.into_iter().filter(|seed| !known.contains(seed));
            listed.extend(missing.map(|id| member::Seed { id, leaving: false }));
            driver
                .handle
                .send(Input::Member(member::Event::Listed(listed)));
        });
    }
}

fn backend_servers(document: &Document) -> BTreeSet<BackendServerId> {
    let groups = document.routes.iter().flat_map(|route| &route.groups);
    groups
        .flat_map(|group| &group.backend_servers)
        .copied()
        .collect()
}

fn context(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}
