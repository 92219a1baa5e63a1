//! Drives a home: tracks its connections, attempts and wake-ups.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::{AttemptId, ConnectionId, Failure};
use monsoonring_decision::backend::Ledger;
use monsoonring_decision::content::Content;
use monsoonring_decision::gateway::{Registry, Table, shards};
use monsoonring_decision::home::{Action, Event, Home, Wakeup};
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use monsoonring_decision::reply::{Item, Load, Reply, Report};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::site::Site;

/// Empty content of requests and answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoContent;

impl Content for NoContent {
    type Query = ();
    type Value = ();
}

/// Index version of all replies.
const INDEX_VERSION: u64 = 1;

/// Extra attempts allowed per first attempt.
const EXTRA_ATTEMPT_SHARE: f64 = 0.2;

/// A home with its connections.
pub struct Driver {
    home: Home<NoContent>,
    wakeup: Wakeup,
    /// Server of each open connection.
    pub connections: HashMap<ConnectionId, BackendServerId>,
    /// Connection of each attempt in flight.
    attempts: HashMap<AttemptId, ConnectionId>,
}

impl Driver {
    /// Starts the home of a pool. Returns it with its first actions.
    pub fn start(
        site: &Site,
        (table, registry): (&Table, &Registry),
        pool: usize,
        data_centre: usize,
        policy: Policy,
        seed: u64,
    ) -> (Self, Vec<Action<NoContent>>) {
        let (set, usable) = (site.shards(pool), registry.usable());
        let route = Arc::new(shards::route(&set, table, &usable, EXTRA_ATTEMPT_SHARE));
        let own = Site::data_centre_name(data_centre).into();
        let remote_servers: BTreeSet<BackendServerId> = shards::remote_servers(&set, &usable, &own);
        let division = Division::among_all_hosts(site.expected_hosts(), site.slack);
        let allocation = Allocation {
            division,
            remote_servers,
            cold: Ledger::default(),
        };
        let (home, actions) = Home::with_policy(route, allocation, seed, policy, Time::ZERO);
        let mut driver = Self {
            home,
            wakeup: Wakeup::default(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
        };
        driver.track(&actions);
        (driver, actions)
    }

    /// Passes an event to the home and returns its actions.
    pub fn handle(&mut self, event: Event<NoContent>, now: Time) -> Vec<Action<NoContent>> {
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
        self.track(&actions);
        actions
    }

    /// Returns the time of the next wake-up, if any.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeup.next()
    }

    /// Returns the events of a closed connection: its attempt is lost, and the connection is closed.
    pub fn close_events(&self, connection: ConnectionId) -> Vec<Event<NoContent>> {
        let affected = self.attempts.iter().filter(|(_, on)| **on == connection);
        let lost = affected.map(|(attempt, _)| Event::Failed(*attempt, Failure::Lost));
        lost.chain([Event::Closed(connection)]).collect()
    }

    fn track(&mut self, actions: &[Action<NoContent>]) {
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

/// Returns the reply of a server to an attempt for `ranges`.
pub fn reply(ranges: Vec<Range>, load: Load) -> Reply<()> {
    let item = |range: &Range| Item {
        key: range.start,
        value: (),
    };
    Reply {
        index_version: Some(INDEX_VERSION),
        items: ranges.iter().map(item).collect(),
        ranges,
        report: report(load),
    }
}

/// Returns the report of a server with the given load.
pub fn report(load: Load) -> Report {
    Report {
        load: Some(load),
        ..Report::default()
    }
}
