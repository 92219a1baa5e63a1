//! Describes why the backend servers of a group get no work, for the log.
//!
//! A search that is refused because a shard has no available server tells its caller only that. The
//! log line names each server with its reason, so operators can tell a shard whose servers have
//! left from one whose servers are out of connections.

use super::outage::Outage;
use super::state::Home;
use crate::Time;
use crate::content::Content;
use derive_more::Display;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};

/// Why a server is not chosen for a part of a search.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum SkipReason {
    #[display("leaving")]
    Leaving,
    #[display("unreachable, {_0}")]
    Unreachable(Outage),
    #[display("does not serve the pinned version")]
    Version,
    #[display("backing off until {_0:?}")]
    BackOff(Time),
    #[display("cold until {_0:?}")]
    Cold(Time),
    #[display("already tried")]
    Tried,
}

impl<C: Content> Home<C> {
    /// Describes for each server of a group why it gets no work of a search.
    pub(super) fn skip_reasons(
        &self,
        group: usize,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> String {
        let Some(group) = self.route.groups.get(group) else {
            return "group no longer exists".to_owned();
        };
        let servers = group.backend_servers.iter();
        let lines = servers.map(|server| {
            let skip_reason = self.skip_reason(*server, version, deadline, now);
            format!("{server} {skip_reason}")
        });
        let lines: Vec<String> = lines.collect();
        match lines.is_empty() {
            true => format!("{}: no registered servers", group.name),
            false => format!("{}: {}", group.name, lines.join(", ")),
        }
    }

    fn skip_reason(
        &self,
        server: BackendServerId,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> SkipReason {
        if self.fleet.is_leaving(server) {
            return SkipReason::Leaving;
        }
        if !self.pool.is_reachable(server) {
            let outage = self
                .outages
                .get(&server)
                .copied()
                .unwrap_or(Outage::ConnectionLost);
            return SkipReason::Unreachable(outage);
        }
        if self.lacks_version(server, version) {
            return SkipReason::Version;
        }
        match self.back_offs.get(&server) {
            Some(until) if *until >= deadline => return SkipReason::BackOff(*until),
            _ => {}
        }
        match self.fleet.excluded_until(server, now) {
            Some(until) if until >= deadline => SkipReason::Cold(until),
            _ => SkipReason::Tried,
        }
    }
}
