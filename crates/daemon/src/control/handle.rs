//! The handle through which the daemon queries the control task and sends it events.

use super::document::LoadedDocument;
use super::pause::Detector;
use super::view::View;
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use monsoonring_configuration::section::Section;
use monsoonring_decision::configuration::{Event as ConfigurationEvent, Version};
use monsoonring_decision::fact;
use monsoonring_decision::member::{
    BucketRange, Change, Event as MemberEvent, MemberId, Message, Page,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// A message to the control task.
pub(crate) enum Input {
    /// A peer's probe, and the sender for the reply.
    Probed(Message, oneshot::Sender<Message>),
    /// Requests a message to a member, for a probe on behalf of another member.
    Message(MemberId, oneshot::Sender<Message>),
    /// Requests a page of the member table, for a peer.
    Page(BucketRange, oneshot::Sender<Page>),
    /// Requests the document in force if it has at least this version, for a peer.
    Sections(Version, oneshot::Sender<Option<(Version, Arc<[Section]>)>>),
    /// Requests the start number of a member.
    Start(MemberId, oneshot::Sender<Option<Incarnation>>),
    /// Requests the entries of the member table, for operators.
    Members(oneshot::Sender<Vec<Change>>),
    /// Requests the facts in force, for operators and for homes that start.
    Facts(oneshot::Sender<Vec<fact::Entry>>),
    /// An event for the member table.
    Member(MemberEvent),
    /// An event for the configuration's holder.
    Configuration(ConfigurationEvent),
    /// A document that was read from a peer, or from the configuration service if no peer is given.
    Document(Option<MemberId>, Box<LoadedDocument>),
    /// Backend servers that the host list marks as leaving.
    LeavingServers(Vec<BackendServerId>),
    /// A fact that a peer pushed.
    RemoteFact(fact::Entry, MemberId),
    /// A fact that this daemon found: key, version and lifetime.
    LocalFact(fact::Key, u64, Duration),
}

/// Sends messages to the control task and reads its published view.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    view: watch::Receiver<View>,
    pause_detector: Arc<Detector>,
}

impl Handle {
    pub(crate) fn new(
        inputs: mpsc::UnboundedSender<Input>,
        view: watch::Receiver<View>,
        pause_detector: Arc<Detector>,
    ) -> Self {
        Self {
            inputs,
            view,
            pause_detector,
        }
    }

    /// Returns the reason if no new requests may be accepted.
    pub(crate) fn check_ready(&self) -> Result<(), &'static str> {
        self.pause_detector.check_ready()?;
        self.view.borrow().check_ready()
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns whether the failure detector suspects a member.
    pub(crate) fn is_suspect(&self, member: MemberId) -> bool {
        self.view.borrow().suspects.contains(&member)
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<Version> {
        self.view.borrow().version
    }

    /// Returns a receiver that is notified of each change of the view.
    pub(crate) fn changes(&self) -> watch::Receiver<View> {
        self.view.clone()
    }

    /// Sends a message to the control task; does nothing if the task has ended.
    pub(crate) fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Handles a peer's probe and returns the reply.
    pub(crate) async fn probed(&self, message: Message) -> Option<Message> {
        self.ask(|sender| Input::Probed(message, sender)).await
    }

    /// Returns a message to a member, for a probe on behalf of another member.
    pub(crate) async fn message(&self, to: MemberId) -> Option<Message> {
        self.ask(|sender| Input::Message(to, sender)).await
    }

    /// Returns a page of the member table.
    pub(crate) async fn page(&self, range: BucketRange) -> Option<Page> {
        self.ask(|sender| Input::Page(range, sender)).await
    }

    /// Returns the version and sections of the document in force if its version is at least
    /// `min_version`.
    pub(crate) async fn sections(&self, min_version: Version) -> Option<(Version, Arc<[Section]>)> {
        self.ask(|sender| Input::Sections(min_version, sender))
            .await?
    }

    /// Returns the start number of a member, `None` if the member is unknown.
    pub(crate) async fn start(&self, member: MemberId) -> Option<Incarnation> {
        self.ask(|sender| Input::Start(member, sender)).await?
    }

    /// Returns the entries of the member table, including members that left or died recently.
    pub(crate) async fn members(&self) -> Vec<Change> {
        self.ask(Input::Members).await.unwrap_or_default()
    }

    /// Returns the facts in force.
    pub(crate) async fn facts(&self) -> Vec<fact::Entry> {
        self.ask(Input::Facts).await.unwrap_or_default()
    }

    /// Announces to the members that this daemon is stopping.
    pub(crate) fn leave(&self, successor: Option<MemberId>) {
        self.send(Input::Member(MemberEvent::Leave { successor }));
    }

    /// Publishes the fact that a backend server is leaving.
    pub(crate) fn announce_leaving(
        &self,
        server: BackendServerId,
        start: Option<Incarnation>,
        lifetime: Duration,
    ) {
        let key = fact::Key::Leaving(server);
        self.send(Input::LocalFact(key, start.unwrap_or_default(), lifetime));
    }

    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.inputs.send(input(sender)).ok()?;
        receiver.await.ok()
    }
}
