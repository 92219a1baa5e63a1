//! What requests find: the configuration in force and the homes of its sets of shards.

use super::content::Opaque;
use super::split::Splits;
use crate::route;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use monsoonring_decision::gateway::shards::{self, Expected};
use monsoonring_decision::gateway::{InstanceId, Shards, Table};
use monsoonring_decision::query::coverage::KeySet;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, PoisonError, RwLock};

/// Which start of a backend server is expected at each address of a set of shards. The home's
/// connections read it when they send, the control task replaces it.
#[derive(Clone, Debug, Default)]
pub struct Instances(Arc<RwLock<BTreeMap<BackendServerId, Expected>>>);

impl Instances {
    /// Returns the start that an attempt for `ranges` expects at an address, `None` where no server
    /// of that shard is there any more. The home may learn that a moment later, and sending would
    /// reach a server of another service, or of another shard, whose part would be taken for this
    /// one's.
    pub fn expected_at(&self, server: BackendServerId, ranges: &[Range]) -> Option<InstanceId> {
        let instances = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let expected = instances.get(&server)?;
        let is_shard = ranges.iter().all(|range| *range == expected.keys);
        is_shard.then(|| expected.instance.clone())
    }

    /// Takes over what is expected now. Returns the addresses at which that is another start.
    pub(super) fn replace(
        &self,
        instances: BTreeMap<BackendServerId, Expected>,
    ) -> BTreeSet<BackendServerId> {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let replaced = shards::replaced(&known, &instances);
        *known = instances;
        replaced
    }
}

/// Shards by the data centre where they have servers.
pub(super) type RemoteShards = BTreeMap<DataCentreId, KeySet>;

/// What is in force.
#[derive(Clone, Debug)]
pub(super) struct View {
    pub(super) table: Arc<Table>,
    pub(super) homes: Arc<HashMap<Shards, route::Handle<Opaque>>>,
    /// By set of shards: the shards without a server in this data centre, by where they have some.
    pub(super) remote_shards: Arc<HashMap<Shards, RemoteShards>>,
}

/// What requests find.
#[derive(Debug, Default)]
pub(super) struct State {
    view: RwLock<Option<View>>,
    pub(super) splits: Splits,
}

impl State {
    /// Returns what is in force, `None` before the first configuration and the first list of
    /// backend servers.
    pub(super) fn view(&self) -> Option<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    pub(super) fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Some(view);
    }
}
