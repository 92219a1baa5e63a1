//! Drives [`Members`] with a UDP socket and a timer.
//!
//! Datagrams are neither encrypted nor authenticated: only the hosts' own network can reach this address. At worst,
//! forged datagrams make hosts take a smaller share of the servers, or refuse requests as crashing for a while.

#[cfg(test)]
mod tests;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::Fact;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::backend::suspect::EVIDENCE_RETENTION;
use monsoonring_decision::fact;
use monsoonring_decision::gateway::Members;
use monsoonring_decision::gateway::helper::{Candidate, Centicores, Remote};
use monsoonring_decision::gateway::members::{Action, Datagram, Event};
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::member::{Change, MemberId};
use monsoonring_decision::placement::Homes;
use monsoonring_wire::datagram;
use slog::{Logger, debug, info};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two ticks: shorter than the shortest period of the members, but long enough to keep wake-ups rare.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// An update about the other hosts, for the control task.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Update {
    /// The hosts that share the backend servers.
    Hosts(Homes),
    /// A fact that is new to this host.
    Fact(fact::Entry),
    /// CPU capacity of a host in the same data centre.
    Strength(MemberId, Centicores),
    /// Hosts of another data centre that can run parts of searches.
    Remote(Remote),
    /// The hosts that read the store.
    Readers(Readers),
}

/// Status of the membership, for operators.
pub(super) struct Status {
    /// Number of hosts that share the backend servers.
    pub(super) hosts: usize,
    /// The latest state of each member.
    pub(super) changes: Vec<Change>,
    /// Facts that are still valid.
    pub(super) facts: Vec<fact::Entry>,
}

/// The membership task with its socket and channels.
pub(super) struct Task {
    pub(super) members: Members,
    pub(super) socket: UdpSocket,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// Facts that homes on this host found.
    pub(super) local_facts: mpsc::UnboundedReceiver<Fact>,
    /// Requests for the status.
    pub(super) status_requests: mpsc::UnboundedReceiver<oneshot::Sender<Status>>,
    /// Remote data centres that parts of searches can be delegated to.
    pub(super) remote_rx: watch::Receiver<BTreeSet<DataCentreId>>,
    /// Updates for the control task.
    pub(super) updates: mpsc::UnboundedSender<Update>,
    /// Last reported candidates of each data centre.
    pub(super) candidates: BTreeMap<DataCentreId, Vec<Candidate>>,
}

/// Exchanges datagrams with the other hosts until the control task closes its channel.
pub(super) async fn run(mut task: Task) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; datagram::MAX_BYTES];
    while !task.updates.is_closed() {
        let event = tokio::select! {
            _ = ticks.tick() => Some(Event::Tick),
            received = task.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => task.decode(&buffer[..length], from),
                Err(error) => {
                    // An earlier datagram could not be delivered (ICMP); its probe times out.
                    debug!(task.log, "member"; "what" => "unreachable", "error" => %error);
                    None
                }
            },
            Some(fact) = task.local_facts.recv() => fact_event(&fact),
            Ok(()) = task.remote_rx.changed() => {
                Some(Event::RemoteDataCentres(task.remote_rx.borrow_and_update().clone()))
            }
            Some(reply) = task.status_requests.recv() => {
                // The requester may be gone.
                let _ = reply.send(task.status());
                None
            }
        };
        if let Some(event) = event {
            task.handle(event);
        }
    }
}

/// Returns the event for a fact that homes found. Leaving servers are reported by the store, not by members.
fn fact_event(fact: &Fact) -> Option<Event> {
    match fact {
        &Fact::Suspect(fingerprint, life) => {
            // A refusal has no version.
            Some(Event::Found(fact::Key::Suspect(fingerprint), 0, life))
        }
        Fact::CrashEvidence(announcement) => {
            let key = fact::Key::CrashEvidence(announcement.fingerprint, announcement.server);
            Some(Event::Found(key, announcement.version, EVIDENCE_RETENTION))
        }
        Fact::Leaving(..) => None,
    }
}

impl Task {
    fn status(&self) -> Status {
        Status {
            hosts: self.members.hosts().all,
            changes: self.members.changes(),
            facts: self.members.facts(self.clock.now()),
        }
    }

    fn decode(&self, bytes: &[u8], from: SocketAddr) -> Option<Event> {
        match datagram::decode(bytes) {
            Ok(datagram) => Some(Event::Received(from, datagram)),
            Err(error) => {
                debug!(self.log, "member"; "what" => "unreadable", "from" => %from,
                    "error" => %error);
                None
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.members.handle(event, now) {
            match action {
                Action::Send(to, datagram) => self.send(to, &datagram),
                Action::Learned(entry) => self.record_fact(entry),
                Action::Strength(host, strength) => {
                    info!(self.log, "hosts"; "what" => "strength", "member" => %host,
                        "hundredths_of_a_core" => strength);
                    self.publish(Update::Strength(host, strength));
                }
                Action::Remote(remote) => self.record_remote(remote),
                Action::Hosts(hosts) => {
                    info!(self.log, "hosts"; "what" => "counted", "hosts" => hosts.all,
                        "near" => hosts.near, "strong" => hosts.strong,
                        "role" => format!("{:?}", hosts.role),
                        "serving" => self.members.serving());
                    self.publish(Update::Hosts(hosts));
                }
                Action::Readers(readers) => {
                    info!(self.log, "hosts"; "what" => "readers of the store",
                        "is_reader" => readers.is_reader, "others" => format!("{:?}", readers.others));
                    self.publish(Update::Readers(readers));
                }
                Action::Log(line) => {
                    info!(self.log, "member"; "what" => line.label, "member" => %line.member,
                        "why" => line.reason);
                }
            }
        }
    }

    fn send(&self, to: MemberId, datagram: &Datagram) {
        let sent = match datagram::encode(datagram) {
            Ok(bytes) => self.socket.try_send_to(&bytes, to).map(drop),
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = sent {
            // The members tolerate lost datagrams.
            debug!(self.log, "member"; "what" => "not sent", "to" => %to, "error" => %error);
        }
    }

    /// Publishes the candidates in another data centre, and logs them if they changed.
    fn record_remote(&mut self, remote: Remote) {
        let candidates = remote.candidates.clone();
        let previous = self
            .candidates
            .insert(remote.data_centre.clone(), candidates);
        if previous.as_ref() != Some(&remote.candidates) {
            info!(self.log, "hosts"; "what" => "candidates elsewhere",
                "data_centre" => &*remote.data_centre,
                "candidates" => format!("{:?}", remote.candidates),
                "round_trip_us" => remote.round_trip.as_micros());
        }
        self.publish(Update::Remote(remote));
    }

    fn record_fact(&self, entry: fact::Entry) {
        self.metrics.control.record_fact(&entry.key, "learned");
        info!(self.log, "fact"; "what" => "learned", "fact" => format!("{:?}", entry.key),
            "life_ms" => entry.life.as_millis());
        self.publish(Update::Fact(entry));
    }

    fn publish(&self, update: Update) {
        // Fails only while the process is stopping.
        let _ = self.updates.send(update);
    }
}
