//! Calls of the control task, each in a task of its own that reports back through the queue.

use super::handle::{Handle, Input};
use super::view::View;
use crate::peer::Pool;
use crate::platform::{self, State};
use futures::future::select_ok;
use monsoonring_configuration::Document;
use monsoonring_configuration::id::{BackendServerId, Revision};
use monsoonring_decision::configuration::{self, Version};
use monsoonring_decision::member::{self, MemberId, Message, ProbeId, Span};
use std::collections::BTreeSet;
use std::net::SocketAddr;
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
}

impl Driver {
    pub(super) fn new(handle: Handle, peers: Pool, service: platform::Service) -> Self {
        Self {
            handle,
            peers,
            service,
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
        self.handle.tell(Input::Member(event));
    }

    pub(super) fn pull(&self, from: MemberId, span: Span) {
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
            driver.handle.tell(Input::Member(event));
        });
    }

    async fn page(&self, from: MemberId, span: Span) -> Option<member::Page> {
        let client = self.peers.client(from).await.ok()?;
        client.page(context(FETCH_TIMEOUT), span).await.ok()?
    }

    pub(super) fn fetch(&self, peer: MemberId, version: Version) {
        let driver = self.clone();
        tokio::spawn(async move {
            let document = timeout(FETCH_TIMEOUT, driver.document(peer, version)).await;
            let (event, bytes) = match document.ok().flatten() {
                Some(bytes) => (
                    configuration::Event::Fetched(peer, version, Vec::new()),
                    Some(bytes),
                ),
                None => (configuration::Event::FetchFailed(peer), None),
            };
            driver.handle.tell(Input::Configuration(event, bytes));
        });
    }

    async fn document(&self, peer: MemberId, version: Version) -> Option<Vec<u8>> {
        let client = self.peers.client(peer).await.ok()?;
        client
            .document(context(FETCH_TIMEOUT), version)
            .await
            .ok()?
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
        let (event, bytes) = match value {
            Ok(Some(value)) => {
                // The control task fills in the digest when it has read the document.
                let version = Version {
                    revision: value.revision,
                    digest: 0,
                };
                let event = configuration::Event::Served(version, Vec::new());
                (event, Some(value.bytes.to_vec()))
            }
            Ok(None) => (configuration::Event::Unchanged, None),
            Err(_) => (configuration::Event::ServiceFailed, None),
        };
        self.handle.tell(Input::Configuration(event, bytes));
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
            driver.handle.tell(Input::Listed(leaving));
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
                .tell(Input::Member(member::Event::Listed(listed)));
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
