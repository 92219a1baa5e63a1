//! The homes of one host, with what their drivers keep.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::{AttemptId, ConnectionId, Failure};
use monsoonring_decision::content::Content;
use monsoonring_decision::gateway::{Registry, Table, shards};
use monsoonring_decision::home::{Action, Event, Home, Wakeup};
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use monsoonring_decision::reply::{Item, Load, Reply, Report};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::site::Site;

/// Requests and answers of which nothing matters but that they are there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blank;

impl Content for Blank {
    type Query = ();
    type Value = ();
}

/// Snapshot that all replies belong to.
const SNAPSHOT: u64 = 1;

/// Extra attempts that owners allow for each first one.
const EXTRA: f64 = 0.2;

/// One home and its connections.
pub struct Driver {
    home: Home<Blank>,
    wakeup: Wakeup,
    /// Server at the other end of each connection.
    pub connections: HashMap<ConnectionId, BackendServerId>,
    /// Connection that each attempt is on.
    attempts: HashMap<AttemptId, ConnectionId>,
}

impl Driver {
    /// Starts the home of a pool. Returns it with what it wants done.
    pub fn start(
        site: &Site,
        (table, registry): (&Table, &Registry),
        pool: usize,
        place: usize,
        policy: Policy,
        seed: u64,
    ) -> (Self, Vec<Action<Blank>>) {
        let (set, usable) = (site.shards(pool), registry.usable());
        let route = Arc::new(shards::route(&set, table, &usable, EXTRA));
        let own = Site::place_name(place).into();
        let remote_servers: BTreeSet<BackendServerId> = shards::remote_servers(&set, &usable, &own);
        let division = Division::among_all_hosts(site.reckoned_hosts(), site.slack);
        let allocation = Allocation {
            division,
            remote_servers,
        };
        let (home, actions) = Home::with_policy(route, allocation, seed, policy, Time::ZERO);
        let mut driver = Self {
            home,
            wakeup: Wakeup::default(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
        };
        driver.note(&actions);
        (driver, actions)
    }

    /// Feeds an event. Returns what is to be done.
    pub fn handle(&mut self, event: Event<Blank>, now: Time) -> Vec<Action<Blank>> {
        match &event {
            Event::Closed(connection) | Event::ConnectFailed(connection, _) => {
                self.connections.remove(connection);
            }
            Event::Reply(attempt, _) | Event::Failed(attempt, _) => {
                self.attempts.remove(attempt);
            }
            _ => {}
        }
        self.wakeup.on_event(now);
        let actions = self.home.handle(event, now);
        self.note(&actions);
        actions
    }

    /// Returns when the home is to be woken.
    pub fn wake(&self) -> Option<Time> {
        self.wakeup.next()
    }

    /// Returns what the end of a connection means: the attempt on it is lost.
    pub fn closed(&self, connection: ConnectionId) -> Vec<Event<Blank>> {
        let on_it = self.attempts.iter().filter(|(_, on)| **on == connection);
        let lost = on_it.map(|(attempt, _)| Event::Failed(*attempt, Failure::Lost));
        lost.chain([Event::Closed(connection)]).collect()
    }

    fn note(&mut self, actions: &[Action<Blank>]) {
        for action in actions {
            match action {
                Action::Open(connection, server) => {
                    self.connections.insert(*connection, *server);
                }
                Action::Close(connection) => {
                    self.connections.remove(connection);
                }
                Action::Send(send) => {
                    self.attempts.insert(send.attempt, send.connection);
                }
                Action::Wake(at) => self.wakeup.schedule(*at),
                _ => {}
            }
        }
    }
}

/// Returns the reply of a server to an attempt.
pub fn reply(ranges: Vec<Range>, load: Load) -> Reply<()> {
    let item = |range: &Range| Item {
        key: range.start,
        value: (),
    };
    Reply {
        index_version: Some(SNAPSHOT),
        items: ranges.iter().map(item).collect(),
        ranges,
        report: report(load),
    }
}

/// Returns what a server says of itself.
pub fn report(load: Load) -> Report {
    Report {
        load: Some(load),
        ..Report::default()
    }
}
