//! Fleets of backend servers sized like the production routes, and their configuration document.
//!
//! Service times are assumptions: lognormal, with a tail that produces stragglers. Benchmarks vary
//! them.

use crate::backend_server::{Counters, Distribution, Server, Settings};
use crate::host_list::{self, List};
use monsoonring_configuration::document::{
    Caller, Capacity, Class, Document, Group, Hedge, Kind, Retry, Route, SoftDeadline,
};
use monsoonring_configuration::{Range, id::RouteId};
use std::time::Duration;

const KEYS_PER_GROUP: u64 = 1_000;
const ITEM_EVERY: u64 = 100;
const MAX_BODY_BYTES: u64 = 64 * 1024;
const SIGMA: f64 = 0.5;

/// Size and behaviour of a route's backend servers.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name of the route.
    pub route: RouteId,
    /// Whether requests are searches or non-idempotent executions.
    pub kind: Kind,
    /// The only caller of the route.
    pub caller: Caller,
    /// Number of groups of replicas; they divide the key space evenly.
    pub groups: usize,
    /// Number of backend servers in each group.
    pub replicas: usize,
    /// Default deadline of a request.
    pub deadline: Duration,
    /// When to return a partial answer, if ever.
    pub soft_deadline: Option<SoftDeadline>,
    /// Settings of each backend server; ranges and seed are derived from its group and replica.
    pub settings: Settings,
}

/// Returns the dispatch map: 10 groups of 3, 3 slots, 30 connections at 6 ms each.
pub fn dispatch_map() -> Shape {
    Shape {
        groups: 10,
        replicas: 3,
        settings: server(3, 30, 6, 8),
        ..search("dispatch_map", "dispatcher", Class::Urgent)
    }
}

/// Returns the gate desk: 10 groups of 3, 2 slots, 25 connections at 6 ms each. Its soft deadline
/// prefers a nearly complete answer to a late one.
pub fn gate_desk() -> Shape {
    Shape {
        groups: 10,
        replicas: 3,
        soft_deadline: Some(SoftDeadline {
            after_ms: 200,
            coverage: 0.9,
        }),
        settings: server(2, 25, 6, 8),
        ..search("gate_desk", "clerk", Class::Urgent)
    }
}

/// Returns the planner desk: one group of 20 backend servers, 2 slots, 110 connections at 1 ms
/// each.
pub fn planner_desk() -> Shape {
    Shape {
        replicas: 20,
        settings: server(2, 110, 1, 5),
        ..search("planner_desk", "planner", Class::Normal)
    }
}

/// Returns the repair tickets: one group of 10 backend servers that run requests at most once,
/// 2 slots, 110 connections at 1 ms each.
pub fn repair_tickets() -> Shape {
    Shape {
        kind: Kind::Execute,
        replicas: 10,
        settings: server(2, 110, 1, 5),
        ..search("repair_tickets", "inspector", Class::Normal)
    }
}

fn search(route: &str, caller: &str, class: Class) -> Shape {
    Shape {
        route: route.into(),
        kind: Kind::Search,
        caller: Caller {
            name: caller.into(),
            class,
            token_sha256: None,
        },
        groups: 1,
        replicas: 1,
        deadline: Duration::from_millis(360),
        soft_deadline: None,
        settings: Settings::default(),
    }
}

fn server(slots: usize, connections: usize, connect_ms: u64, median_ms: u64) -> Settings {
    Settings {
        slots,
        connections,
        connect_cost: Duration::from_millis(connect_ms),
        item_every: ITEM_EVERY,
        service_time: Distribution::Lognormal {
            median: Duration::from_millis(median_ms),
            sigma: SIGMA,
        },
        ..Settings::default()
    }
}

impl Shape {
    /// Disables hedging for non-idempotent requests, as a hedge would run them twice.
    fn hedge(&self) -> Hedge {
        let budget_percent = match self.kind {
            Kind::Search => Hedge::default().budget_percent,
            Kind::Execute => 0.0,
        };
        Hedge {
            budget_percent,
            ..Hedge::default()
        }
    }

    /// Multiplies service times, connection costs and deadlines by a factor.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        self.deadline = self.deadline.mul_f64(factor);
        if let Some(soft) = &mut self.soft_deadline {
            soft.after_ms = (soft.after_ms as f64 * factor).round() as u64;
        }
        let settings = &mut self.settings;
        settings.connect_cost = settings.connect_cost.mul_f64(factor);
        settings.service_time = settings.service_time.scaled(factor);
        self
    }

    /// Returns the key range of a group.
    fn keys(&self, group: usize) -> Range {
        let start = group as u64 * KEYS_PER_GROUP;
        Range::new(start, start + KEYS_PER_GROUP)
    }

    fn start(&self, group: usize, replica: usize) -> Server {
        let index = (group * self.replicas + replica) as u64;
        Server::start(Settings {
            ranges: vec![self.keys(group)],
            seed: self.settings.seed + index,
            ..self.settings.clone()
        })
    }

    fn describe(&self, servers: &[Vec<Server>]) -> Route {
        let groups = servers.iter().enumerate();
        let groups = groups.map(|(index, replicas)| Group {
            name: format!("group-{index}").into(),
            keys: self.keys(index),
            weight: 1.0,
            backend_servers: replicas.iter().map(Server::address).collect(),
        });
        Route {
            name: self.route.clone(),
            kind: self.kind,
            callers: vec![self.caller.name.clone()],
            deadline_ms: milliseconds(self.deadline),
            soft_deadline: self.soft_deadline,
            hedge: self.hedge(),
            retry: Retry::default(),
            capacity: Capacity {
                slots: self.settings.slots as u32,
                connections: self.settings.connections as u32,
                connect_ms: milliseconds(self.settings.connect_cost),
            },
            max_body_bytes: MAX_BODY_BYTES,
            minimum_index_version: 0,
            keys: Range::new(0, self.groups as u64 * KEYS_PER_GROUP),
            groups: groups.collect(),
        }
    }
}

fn milliseconds(time: Duration) -> u64 {
    (time.as_secs_f64() * 1_000.0).ceil() as u64
}

/// Running backend servers of one or more routes.
pub struct Fleet {
    routes: Vec<RunningRoute>,
}

struct RunningRoute {
    shape: Shape,
    groups: Vec<Vec<Server>>,
}

impl Fleet {
    /// Starts the backend servers of the given routes.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn start(shapes: impl IntoIterator<Item = Shape>) -> Self {
        let routes = shapes.into_iter().map(|shape| {
            let group = |index| (0..shape.replicas).map(move |replica| (index, replica));
            let start = |(index, replica)| shape.start(index, replica);
            let groups = (0..shape.groups).map(|index| group(index).map(start).collect());
            let groups = groups.collect();
            RunningRoute { groups, shape }
        });
        Self {
            routes: routes.collect(),
        }
    }

    /// Returns the configuration document of the routes and their callers.
    pub fn document(&self) -> Document {
        let mut document = Document::default();
        for RunningRoute { shape, groups } in &self.routes {
            document.routes.push(shape.describe(groups));
            let is_known = document.callers.contains(&shape.caller);
            if !is_known {
                document.callers.push(shape.caller.clone());
            }
        }
        document
    }

    /// Returns the replicas of a group; empty if the route or group does not exist.
    pub fn group(&self, route: &str, group: usize) -> &[Server] {
        let mut routes = self.routes.iter();
        let running = routes.find(|running| *running.shape.route == *route);
        let replicas = running.and_then(|running| running.groups.get(group));
        replicas.map_or(&[], Vec::as_slice)
    }

    /// Returns all backend servers, ordered by route, group and replica.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.routes
            .iter()
            .flat_map(|route| route.groups.iter().flatten())
    }

    /// Sums a counter over all backend servers.
    pub fn total(&self, counter: impl Fn(&Counters) -> u64) -> u64 {
        self.servers()
            .map(|server| counter(&server.counters()))
            .sum()
    }

    /// Adds all backend servers to the host list as live.
    pub fn register(&self, list: &List) {
        for server in self.servers() {
            list.set(server.address(), host_list::State::Live);
        }
    }
}
