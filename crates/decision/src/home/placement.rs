//! Where the backend servers of a route stand, and what each was last known to serve.

use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use rustc_hash::FxHashMap;

/// Which groups a backend server is in.
#[derive(Debug, Default)]
pub(super) struct Placement {
    groups: FxHashMap<BackendServerId, Vec<usize>>,
    replicas: FxHashMap<BackendServerId, Vec<BackendServerId>>,
    servers: Vec<BackendServerId>,
    /// What each server was last known to be able to serve; empty while it is not usable.
    serving: FxHashMap<BackendServerId, Serving>,
}

/// What a backend server was last known to be able to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Serving {
    usable: bool,
    versions: Vec<IndexVersion>,
}

impl Placement {
    pub(super) fn new(route: &Route) -> Self {
        let mut placement = Self::default();
        for (index, group) in route.groups.iter().enumerate() {
            for server in &group.backend_servers {
                placement.groups.entry(*server).or_default().push(index);
                let replicas = placement.replicas.entry(*server).or_default();
                replicas.extend(&group.backend_servers);
            }
        }
        placement.servers = placement.groups.keys().copied().collect();
        placement.servers.sort_unstable();
        placement
    }

    /// Returns all servers of the route.
    pub(super) fn servers(&self) -> &[BackendServerId] {
        &self.servers
    }

    /// Returns the servers that hold what `server` holds, itself included.
    pub(super) fn replicas(&self, server: BackendServerId) -> &[BackendServerId] {
        self.replicas.get(&server).map_or(&[], Vec::as_slice)
    }

    pub(super) fn groups(&self, server: BackendServerId) -> &[usize] {
        self.groups.get(&server).map_or(&[], Vec::as_slice)
    }

    /// Takes in what a server can serve. Returns whether that is new.
    pub(super) fn learn(
        &mut self,
        server: BackendServerId,
        usable: bool,
        versions: &[IndexVersion],
    ) -> bool {
        let serving = self.serving.entry(server).or_default();
        if serving.usable == usable && serving.versions == versions {
            return false;
        }
        serving.usable = usable;
        serving.versions = versions.to_vec();
        true
    }

    /// Takes over what was known before a change of the route; returns the servers that are no
    /// longer in it.
    pub(super) fn inherit(&mut self, old: Self) -> Vec<BackendServerId> {
        let stays = |server: &BackendServerId| self.groups.contains_key(server);
        let serving = old.serving.into_iter();
        self.serving = serving.filter(|(server, _)| stays(server)).collect();
        let gone = old.servers.into_iter().filter(|server| !stays(server));
        gone.collect()
    }
}
