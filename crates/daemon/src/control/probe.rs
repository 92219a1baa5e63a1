//! Performs the control task's network calls, each in a separate task that reports its result
//! through the control task's queue.

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

/// Sender for the reply to a peer's probe.
pub(super) type Reply = oneshot::Sender<Message>;

/// Timeout for fetching a page of the member table or a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the network calls.
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
            let answer = timeout(limit, driver.send_probe(to, message, limit)).await;
            driver.probed(probe, to, answer.ok().flatten());
        });
    }

    async fn send_probe(&self, to: MemberId, message: Message, limit: Duration) -> Option<Message> {
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
            let attempts = helpers
                .into_iter()
                .map(|helper| driver.send_probe_via(helper, target, limit));
            let attempts: Vec<_> = attempts.map(Box::pin).collect();
            let answer = match attempts.is_empty() {
                true => None,
                false => timeout(limit, select_ok(attempts))
                    .await
                    .ok()
                    .and_then(Result::ok),
            };
            driver.probed(probe, target, answer.map(|(message, _)| message));
        });
    }

    async fn send_probe_via(
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

    pub(super) fn pull(&self, from: MemberId, range: BucketRange) {
        let driver = self.clone();
        tokio::spawn(async move {
            let page = timeout(FETCH_TIMEOUT, driver.page(from, range))
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

    async fn page(&self, from: MemberId, range: BucketRange) -> Option<member::Page> {
        let client = self.peers.client(from).await.ok()?;
        client.page(context(FETCH_TIMEOUT), range).await.ok()?
    }

    /// Fetches a document of at least `min_version`, based on the `local` sections.
    pub(super) fn fetch(&self, peer: MemberId, min_version: Version, local: Arc<[Section]>) {
        let driver = self.clone();
        tokio::spawn(async move {
            let input = match driver.document(peer, min_version, &local).await {
                Some(read) => Input::Document(Some(peer), Box::new(read)),
                None => Input::Configuration(configuration::Event::FetchFailed(peer)),
            };
            driver.handle.send(input);
        });
    }

    /// Fetches the sections that differ from the `local` ones; if the result does not match, the
    /// whole document.
    ///
    /// Sections that do not have the announced digest are rejected. A truncated document, or a
    /// mixture of two, would be a configuration that no operator wrote, and this daemon would
    /// spread it to its peers. The second attempt uses no local sections, so that it can't fail for
    /// the same reason.
    async fn document(
        &self,
        peer: MemberId,
        min_version: Version,
        local: &[Section],
    ) -> Option<LoadedDocument> {
        for local in [local, &[]] {
            let sections = self.sections(peer, min_version, Base::of(local)).await?;
            match LoadedDocument::from_parts(sections.version, sections.parts, local) {
                Ok(read) => return Some(read),
                Err(error) => {
                    warn!(self.log, "configuration"; "what" => "refused", "from" => %peer,
                        "why" => %error);
                }
            }
        }
        None
    }

    async fn sections(&self, peer: MemberId, min_version: Version, base: Base) -> Option<Sections> {
        let fetch = async {
            let client = self.peers.client(peer).await.ok()?;
            let sections = client
                .sections(context(FETCH_TIMEOUT), min_version, base)
                .await;
            sections.ok()?
        };
        let sections = timeout(FETCH_TIMEOUT, fetch).await.ok()??;
        (sections.version >= min_version).then_some(sections)
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

    /// Reads the host list: daemons become seeds, leaving backend servers become facts.
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
