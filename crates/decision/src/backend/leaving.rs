//! Tracks which backend servers are leaving.
//!
//! The host list, the health endpoint, draining flags in replies and other homes all report it,
//! each with its own delay. The first report takes effect, and none of these sources can revoke it:
//! an outdated list that still says `live` would otherwise send new attempts to a server that is
//! about to stop. Only a higher incarnation, reported after the server has restarted, clears it.

use crate::Time;
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Time for which the entry of a server outside the configuration is kept.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Incarnation that is leaving; `None` until one is known.
    start: Option<Incarnation>,
    at: Time,
}

/// The servers that are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers {
    entries: FxHashMap<BackendServerId, Entry>,
}

impl LeavingServers {
    /// Marks `server` as leaving, given the incarnation reported as leaving and the highest one
    /// `known`. Returns whether the server was not marked before.
    pub(crate) fn add(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        known: Option<Incarnation>,
        now: Time,
    ) -> bool {
        // A delayed report about a process that has been replaced.
        if start.is_some() && start < known {
            return false;
        }
        let start = start.max(known);
        match self.entries.get_mut(&server) {
            Some(entry) => {
                entry.start = entry.start.max(start);
                false
            }
            None => {
                self.entries.insert(server, Entry { start, at: now });
                true
            }
        }
    }

    /// Records an incarnation reported by the server itself. Returns whether it clears the entry.
    pub(crate) fn observe_start(&mut self, server: BackendServerId, start: Incarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&server) else {
            return false;
        };
        // Without a known incarnation, the first one reported may be that of the leaving process.
        let leaving_start = *entry.start.get_or_insert(start);
        if start > leaving_start {
            self.entries.remove(&server);
        }
        start > leaving_start
    }

    /// Clears the entry of a server whose process was replaced.
    pub(crate) fn remove(&mut self, server: BackendServerId) {
        self.entries.remove(&server);
    }

    pub(crate) fn contains(&self, server: BackendServerId) -> bool {
        self.entries.contains_key(&server)
    }

    /// Drops expired entries of servers for which `keep` returns false.
    pub(crate) fn retain(&mut self, now: Time, keep: impl Fn(BackendServerId) -> bool) {
        self.entries
            .retain(|server, entry| keep(*server) || now < entry.at + RETENTION);
    }
}
