//! The other end of the control task's queue.

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

/// Something for the control task.
pub(crate) enum Input {
    /// A peer probes; the answer goes back to it.
    Probed(Message, oneshot::Sender<Message>),
    /// A message to a member is wanted, for a probe on behalf of another.
    Message(MemberId, oneshot::Sender<Message>),
    /// A peer wants a page of the table.
    Page(BucketRange, oneshot::Sender<Page>),
    /// A peer wants a document that is not lesser than this version.
    Sections(Version, oneshot::Sender<Option<(Version, Arc<[Section]>)>>),
    /// The start number of a member is wanted.
    Start(MemberId, oneshot::Sender<Option<Incarnation>>),
    /// All that is known of members is wanted, for operators.
    Members(oneshot::Sender<Vec<Change>>),
    /// All facts that hold are wanted, for a home that starts.
    Facts(oneshot::Sender<Vec<fact::Entry>>),
    /// Something happened to members.
    Member(MemberEvent),
    /// Something happened to the configuration.
    Configuration(ConfigurationEvent),
    /// A document was read; at a peer, if one is named.
    Document(Option<MemberId>, Box<LoadedDocument>),
    /// The host list says that these backend servers are leaving.
    LeavingServers(Vec<BackendServerId>),
    /// Another home found something out just now.
    RemoteFact(fact::Entry, MemberId),
    /// This daemon found something out: key, version and life.
    LocalFact(fact::Key, u64, Duration),
}

/// Gives the control task its work, and shows its view.
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

    /// Returns why no new work may be taken, if that is so.
    pub(crate) fn ready(&self) -> Result<(), &'static str> {
        self.pause_detector.ready()?;
        self.view.borrow().ready()
    }

    /// Returns what is known now.
    pub(crate) fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Tells whether a member is suspected of being dead.
    pub(crate) fn is_suspect(&self, member: MemberId) -> bool {
        self.view.borrow().suspects.contains(&member)
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<Version> {
        self.view.borrow().version
    }

    /// Returns the channel on which each change of the view shows.
    pub(crate) fn changes(&self) -> watch::Receiver<View> {
        self.view.clone()
    }

    /// Tells the control task something. A task that has ended does not need it any more.
    pub(crate) fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Answers a probe.
    pub(crate) async fn probed(&self, message: Message) -> Option<Message> {
        self.ask(|sender| Input::Probed(message, sender)).await
    }

    /// Returns a message to a member.
    pub(crate) async fn message(&self, to: MemberId) -> Option<Message> {
        self.ask(|sender| Input::Message(to, sender)).await
    }

    /// Returns a page of the member table.
    pub(crate) async fn page(&self, span: BucketRange) -> Option<Page> {
        self.ask(|sender| Input::Page(span, sender)).await
    }

    /// Returns the sections of the document in force, if that is not lesser than `least`.
    pub(crate) async fn sections(&self, least: Version) -> Option<(Version, Arc<[Section]>)> {
        self.ask(|sender| Input::Sections(least, sender)).await?
    }

    /// Returns the start number of a member.
    pub(crate) async fn start(&self, member: MemberId) -> Option<Incarnation> {
        self.ask(|sender| Input::Start(member, sender)).await?
    }

    /// Returns all that is known of members, those included that left or died lately.
    pub(crate) async fn members(&self) -> Vec<Change> {
        self.ask(Input::Members).await.unwrap_or_default()
    }

    /// Returns all facts that hold.
    pub(crate) async fn facts(&self) -> Vec<fact::Entry> {
        self.ask(Input::Facts).await.unwrap_or_default()
    }

    /// Tells the members that this daemon stops.
    pub(crate) fn leave(&self, successor: Option<MemberId>) {
        self.send(Input::Member(MemberEvent::Leave { successor }));
    }

    /// Tells the members that a backend server is leaving.
    pub(crate) fn announce_leaving(
        &self,
        server: BackendServerId,
        start: Option<Incarnation>,
        life: Duration,
    ) {
        let key = fact::Key::Leaving(server);
        self.send(Input::LocalFact(key, start.unwrap_or_default(), life));
    }

    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.inputs.send(input(sender)).ok()?;
        receiver.await.ok()
    }
}
