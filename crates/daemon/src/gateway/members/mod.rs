//! The socket and the clock of [`Members`].
//!
//! Datagrams are neither sealed nor signed: whoever can send to this address stands in the hosts' own
//! network, and the most that a lie does is to make hosts take a smaller part, or refuse requests as
//! crashing for a while.

#[cfg(test)]
mod tests;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::Fact;
use monsoonring_configuration::id::DataCentreId;
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

/// Time between two ticks: less than the shortest time that the members count in, and few wake-ups,
/// which cost processor time.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Something that the homes here have to hear.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Update {
    /// The hosts that share the backend servers.
    Hosts(Homes),
    /// A fact that was not previous here before.
    Fact(fact::Entry),
    /// A host in the same data centre has this strength.
    Strength(MemberId, Centicores),
    /// These hosts of another data centre may fan out for this one.
    Remote(Remote),
    /// Who reads the store.
    Readers(Readers),
}

/// What operators see of the hosts.
pub(super) struct Status {
    /// Number of hosts that share the backend servers.
    pub(super) hosts: usize,
    /// What is previous of each.
    pub(super) changes: Vec<Change>,
    /// What hosts told each other and still holds.
    pub(super) facts: Vec<fact::Entry>,
}

/// This host's part, with what it speaks through.
pub(super) struct Task {
    pub(super) members: Members,
    pub(super) socket: UdpSocket,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// What homes here found out.
    pub(super) local_facts: mpsc::UnboundedReceiver<Fact>,
    /// Operators who ask.
    pub(super) status_requests: mpsc::UnboundedReceiver<oneshot::Sender<Status>>,
    /// Other data centres that parts of searches may go to.
    pub(super) remote_rx: watch::Receiver<BTreeSet<DataCentreId>>,
    /// Where updates for the homes go.
    pub(super) updates: mpsc::UnboundedSender<Update>,
    /// By data centre: the hosts that were named there last.
    pub(super) candidates: BTreeMap<DataCentreId, Vec<Candidate>>,
}

/// Speaks with the other hosts until nobody takes the updates any more.
pub(super) async fn run(mut task: Task) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; datagram::MAX_BYTES];
    while !task.updates.is_closed() {
        let event = tokio::select! {
            _ = ticks.tick() => Some(Event::Tick),
            received = task.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => task.read(&buffer[..length], from),
                Err(error) => {
                    // A datagram sent earlier found nobody; the probe fails by its time.
                    debug!(task.log, "member"; "what" => "unreachable", "error" => %error);
                    None
                }
            },
            Some(fact) = task.local_facts.recv() => fact_event(&fact),
            Ok(()) = task.remote_rx.changed() => {
                Some(Event::RemoteDataCentres(task.remote_rx.borrow_and_update().clone()))
            }
            Some(reply) = task.status_requests.recv() => {
                // Who status_requests may have gone.
                let _ = reply.send(task.status());
                None
            }
        };
        if let Some(event) = event {
            task.handle(event);
        }
    }
}

/// Returns what the members have to hear of a fact. That a server leaves they hear from the store.
fn fact_event(fact: &Fact) -> Option<Event> {
    match fact {
        &Fact::Suspect(fingerprint, life) => {
            Some(Event::Found(fact::Key::Suspect(fingerprint), life))
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

    fn read(&self, bytes: &[u8], from: SocketAddr) -> Option<Event> {
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
                    info!(self.log, "member"; "what" => line.what, "member" => %line.member,
                        "why" => line.why);
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
            // As good as lost on the way, which the members reckon with.
            debug!(self.log, "member"; "what" => "not sent", "to" => %to, "error" => %error);
        }
    }

    /// Tells of hosts in another data centre, and writes them to the log where they are others than before.
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
        self.metrics.control.fact(&entry.key, "learned");
        info!(self.log, "fact"; "what" => "learned", "fact" => format!("{:?}", entry.key),
            "life_ms" => entry.life.as_millis());
        self.publish(Update::Fact(entry));
    }

    fn publish(&self, update: Update) {
        // Without a receiver the process is ending.
        let _ = self.updates.send(update);
    }
}
