//! Stand-ins and daemons of one test.

use crate::daemon::Daemon;
use crate::wait::until;
use monsoonring_configuration::document::Document;
use monsoonring_experiment::caller::{Answer, Caller};
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::sample::Sample;
use monsoonring_experiment::verify::Data;
use monsoonring_fakes::backend_server::{Distribution, Settings};
use monsoonring_fakes::configuration_service::Service;
use monsoonring_fakes::fleet::{self, Fleet, Shape};
use monsoonring_fakes::host_list::{self, List};
use monsoonring_fakes::relay::Link;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// More time than a search takes on a busy machine.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);

/// Stand-ins and daemons.
pub(crate) struct Cluster {
    pub(crate) shapes: Vec<Shape>,
    pub(crate) fleet: Fleet,
    pub(crate) service: Service,
    pub(crate) hosts: List,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) caller: Caller,
}

impl Cluster {
    /// Starts stand-ins, and makes daemons in these data centres that do not run yet.
    pub(crate) fn prepare(shapes: Vec<Shape>, data_centres: &[&'static str]) -> Self {
        let fleet = Fleet::start(shapes.iter().cloned());
        let (service, hosts) = (Service::start(), List::start());
        fleet.register(&hosts);
        let daemon = |name: &&'static str| Daemon::new(name, service.address(), hosts.address());
        let daemons: Vec<_> = data_centres.iter().map(daemon).collect();
        for daemon in &daemons {
            hosts.set(daemon.id(), host_list::State::Live);
        }
        Self {
            caller: Caller::new(shapes[0].caller.name.clone()),
            shapes,
            fleet,
            service,
            hosts,
            daemons,
        }
    }

    /// Starts stand-ins and daemons, and waits until all of them are ready and know each other.
    pub(crate) async fn start(shapes: Vec<Shape>, data_centres: &[&'static str]) -> Self {
        let mut cluster = Self::prepare(shapes, data_centres);
        cluster.service.publish_document(&cluster.fleet.document());
        cluster.launch_all().await;
        cluster.until_whole().await;
        cluster
    }

    /// Starts all processes.
    pub(crate) async fn launch_all(&mut self) {
        for place in 0..self.daemons.len() {
            self.launch(place).await;
        }
    }

    /// Starts the process of one daemon.
    pub(crate) async fn launch(&mut self, place: usize) {
        let peers: Vec<_> = self.daemons.iter().map(Daemon::id).collect();
        self.daemons[place].start(&peers).await;
    }

    /// Waits until all daemons are ready and know each other.
    pub(crate) async fn until_whole(&self) {
        let all: Vec<_> = (0..self.daemons.len()).collect();
        self.until_ready(&all, all.len()).await;
    }

    /// Waits until these daemons are ready and know that many members that serve, none of them
    /// suspect. Members that are dead or have left are still shown.
    pub(crate) async fn until_ready(&self, places: &[usize], members: usize) {
        for &place in places {
            let what = format!("daemon {place} is ready and knows {members} members");
            until(&what, async || {
                let state = self.state(place).await;
                let shown = state["members"].as_array().cloned().unwrap_or_default();
                let count = |of| shown.iter().filter(|member| member["state"] == of).count();
                state["ready"] == true && count("alive") == members && count("suspect") == 0
            })
            .await;
        }
    }

    /// Returns what a daemon says of itself; null where it does not answer.
    pub(crate) async fn state(&self, place: usize) -> Value {
        let state = self.caller.state(self.daemons[place].operator()).await;
        state.unwrap_or_default()
    }

    /// Waits until these daemons have this revision in force, and returns their digests.
    pub(crate) async fn until_revision(&self, places: &[usize], revision: u64) -> Vec<String> {
        let mut digests = Vec::new();
        for &place in places {
            until(
                &format!("daemon {place} has revision {revision}"),
                async || self.state(place).await["configuration"]["revision"] == revision,
            )
            .await;
            let state = self.state(place).await;
            let digest = state["configuration"]["digest"].as_str();
            digests.push(digest.expect("a digest").to_owned());
        }
        digests
    }

    /// Sets what passes from daemon `from` to the listener of daemon `to`, and back on connections
    /// that `from` has opened.
    pub(crate) fn link(&self, from: usize, to: usize, link: Link) {
        self.daemons[to]
            .relay
            .set_link_from(self.daemons[from].ip, link);
    }

    /// Sets what passes between two sets of daemons, in both directions.
    pub(crate) fn between(&self, these: &[usize], those: &[usize], link: Link) {
        for &this in these {
            for &that in those {
                self.link(this, that, link);
                self.link(that, this, link);
            }
        }
    }

    /// The document in which the route's body limit is this number: a change without effect.
    pub(crate) fn document(&self, max_body_bytes: u64) -> Document {
        let mut document = self.fleet.document();
        document.routes[0].max_body_bytes = max_body_bytes;
        document
    }

    /// What a whole answer of the first shape holds.
    pub(crate) fn data(&self) -> Data {
        Data {
            keys: self.fleet.document().routes[0].keys,
            item_every: self.shapes[0].settings.item_every,
        }
    }

    /// Sends a search to a daemon.
    pub(crate) async fn query(&self, place: usize, body: &str) -> Answer {
        let daemon = self.daemons[place].caller();
        let route = &self.shapes[0].route;
        let answer = self.caller.query(daemon, route, body.to_owned(), DEADLINE);
        answer.await
    }

    /// Plans an open-loop load on the first shape over these daemons.
    pub(crate) fn plan(&self, places: &[usize], rate: f64, duration: Duration) -> Plan {
        let shape = &self.shapes[0];
        Plan {
            rate,
            duration,
            seed: 7,
            daemons: self.callers(places),
            route: shape.route.clone(),
            kind: shape.kind,
            caller: shape.caller.name.clone(),
            deadline: shape.deadline,
            data: self.data(),
        }
    }

    /// Sends an open-loop load in the background.
    pub(crate) fn load(
        &self,
        places: &[usize],
        rate: f64,
        duration: Duration,
    ) -> tokio::task::JoinHandle<Vec<Sample>> {
        let plan = self.plan(places, rate, duration);
        tokio::spawn(async move { load::run(&plan).await })
    }

    pub(crate) fn callers(&self, places: &[usize]) -> Vec<SocketAddr> {
        places
            .iter()
            .map(|&place| self.daemons[place].caller())
            .collect()
    }

    /// Returns the places of the daemons that `place` takes for the homes of the first route.
    pub(crate) async fn homes(&self, place: usize) -> Vec<usize> {
        let state = self.state(place).await;
        let homes = state["routes"][0]["homes"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let place_of = |home: &Value| {
            let is_home = |daemon: &Daemon| home.as_str() == Some(daemon.id().to_string().as_str());
            self.daemons.iter().position(is_home)
        };
        homes.iter().filter_map(place_of).collect()
    }
}

/// A small search route: 4 groups of 3, and so few connections that it has `homes` homes.
pub(crate) fn search(homes: usize) -> Shape {
    Shape {
        groups: 4,
        replicas: 3,
        deadline: DEADLINE,
        soft_deadline: None,
        settings: settings(homes),
        ..fleet::dispatch_map()
    }
}

/// A small non-idempotent route of one group, with `homes` homes.
pub(crate) fn execute(homes: usize) -> Shape {
    Shape {
        groups: 1,
        replicas: 4,
        deadline: DEADLINE,
        settings: settings(homes),
        ..fleet::repair_tickets()
    }
}

fn settings(homes: usize) -> Settings {
    const SLOTS: usize = 2;
    const ENDPOINT: usize = 1;
    Settings {
        slots: SLOTS,
        // The number of homes is half the limit, divided by what each of them needs.
        connections: 2 * (SLOTS + ENDPOINT) * homes,
        item_every: 100,
        service_time: Distribution::Constant(Duration::from_millis(5)),
        ..Settings::default()
    }
}
