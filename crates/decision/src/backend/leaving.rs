//! Which backend servers are leaving.
//!
//! The host list, the health endpoint, a mark on a reply and other homes all say so, each with its
//! own lag. Any of them counts at once and none of them can take it back: a lagging list that still
//! says `live` would otherwise send new work to a server that is about to stop, seen as lost
//! connections some seconds after its first drain mark. Only a higher start number, which a server
//! gets by starting again, ends it.

use crate::Time;
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Time for which the mark of a server that isn't configured is kept.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start number that is leaving; `None` until one is heard.
    start: Option<Incarnation>,
    at: Time,
}

/// Marks of the servers that are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers {
    entries: FxHashMap<BackendServerId, Entry>,
}

impl LeavingServers {
    /// Marks `server`, of which `known` is the start number last heard. Returns whether that is
    /// new.
    pub(crate) fn add(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        known: Option<Incarnation>,
        now: Time,
    ) -> bool {
        // A sign from before the last restart arrived late: the process that was leaving is gone.
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

    /// Takes in a start number that the server itself gave. Returns whether it ended the mark.
    pub(crate) fn observe_start(&mut self, server: BackendServerId, start: Incarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&server) else {
            return false;
        };
        // Without a number in the mark the first one heard may well be the process that leaves.
        let leaving_start = *entry.start.get_or_insert(start);
        if start > leaving_start {
            self.entries.remove(&server);
        }
        start > leaving_start
    }

    /// Drops the mark of a server at whose address another start is.
    pub(crate) fn remove(&mut self, server: BackendServerId) {
        self.entries.remove(&server);
    }

    pub(crate) fn contains(&self, server: BackendServerId) -> bool {
        self.entries.contains_key(&server)
    }

    /// Drops old marks of servers for which `keep` is false.
    pub(crate) fn retain(&mut self, now: Time, keep: impl Fn(BackendServerId) -> bool) {
        self.entries
            .retain(|server, entry| keep(*server) || now < entry.at + RETENTION);
    }
}
