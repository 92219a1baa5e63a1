//! State that requests read: the configuration in force and the homes of its sets of shards.

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

/// The server instance expected at each address of a set of shards.
///
/// Connections read it for each attempt, and the control task replaces it.
#[derive(Clone, Debug, Default)]
pub struct Instances(Arc<RwLock<BTreeMap<BackendServerId, Expected>>>);

impl Instances {
    /// Returns the instance that an attempt for `ranges` expects at an address, or `None` if no server of that shard is
    /// registered there any more.
    ///
    /// Until the home learns of the change, it may still choose that address. Its new server may belong to another
    /// service or shard, and its response must not be taken for this shard.
    pub fn expected_at(&self, server: BackendServerId, ranges: &[Range]) -> Option<InstanceId> {
        let instances = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let expected = instances.get(&server)?;
        let is_shard = ranges.iter().all(|range| *range == expected.keys);
        is_shard.then(|| expected.instance.clone())
    }

    /// Replaces the expected instances. Returns the addresses whose instance changed.
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

/// The configuration in force and its homes.
#[derive(Clone, Debug)]
pub(super) struct View {
    pub(super) table: Arc<Table>,
    pub(super) homes: Arc<HashMap<Shards, route::Handle<Opaque>>>,
    /// By set of shards: shards without a server in this data centre, by the data centre that has one.
    pub(super) remote_shards: Arc<HashMap<Shards, RemoteShards>>,
}

/// State shared between the control task and requests.
#[derive(Debug, Default)]
pub(super) struct State {
    view: RwLock<Option<View>>,
    pub(super) splits: Splits,
}

impl State {
    /// Returns the current view, or `None` before the first configuration and the first list of backend servers.
    pub(super) fn view(&self) -> Option<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    pub(super) fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Some(view);
    }
}
