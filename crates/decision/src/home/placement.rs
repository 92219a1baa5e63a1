//! Index of the route's backend servers by group, and the versions that each can serve.

use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use rustc_hash::FxHashMap;

/// The groups, replicas and served versions of each backend server.
#[derive(Debug, Default)]
pub(super) struct Placement {
    groups: FxHashMap<BackendServerId, Vec<usize>>,
    replicas: FxHashMap<BackendServerId, Vec<BackendServerId>>,
    servers: Vec<BackendServerId>,
    /// Last known state per server.
    serving: FxHashMap<BackendServerId, Serving>,
}

/// Whether a server is usable, and the versions that it serves.
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

    /// Returns the servers that hold the same data as `server`, itself included.
    pub(super) fn replicas(&self, server: BackendServerId) -> &[BackendServerId] {
        self.replicas.get(&server).map_or(&[], Vec::as_slice)
    }

    pub(super) fn groups(&self, server: BackendServerId) -> &[usize] {
        self.groups.get(&server).map_or(&[], Vec::as_slice)
    }

    /// Updates what a server can serve. Returns whether it changed.
    pub(super) fn update(
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

    /// Carries over the server states of the previous placement. Returns the servers that were
    /// removed from the route.
    pub(super) fn carry_over(&mut self, old: Self) -> Vec<BackendServerId> {
        let is_kept = |server: &BackendServerId| self.groups.contains_key(server);
        let serving = old.serving.into_iter();
        self.serving = serving.filter(|(server, _)| is_kept(server)).collect();
        let removed = old.servers.into_iter().filter(|server| !is_kept(server));
        removed.collect()
    }
}
