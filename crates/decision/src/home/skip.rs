//! Why a backend server gets no work, for the line that says why a part of a search has none.
//!
//! A search that is refused because a shard has no server in reach tells its caller only that much. Without
//! the servers and what stands in the way of each, operators can't tell a shard whose servers have all
//! left from one whose servers are full of other hosts' connections.

use super::outage::Outage;
use super::state::Home;
use crate::Time;
use crate::content::Content;
use derive_more::Display;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};

/// What stands in the way of work for a server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum SkipReason {
    #[display("leaving")]
    Leaving,
    #[display("unreachable, {_0}")]
    Unreachable(Outage),
    #[display("lacks the version")]
    Version,
    #[display("asked to be left alone until {_0:?}")]
    BackOff(Time),
    #[display("cold until {_0:?}")]
    Cold(Time),
    #[display("tried")]
    Tried,
}

impl<C: Content> Home<C> {
    /// Says for each server of a group why it gets no work of a search.
    pub(super) fn skip_reasons(
        &self,
        group: usize,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> String {
        let Some(group) = self.route.groups.get(group) else {
            return "group gone".to_owned();
        };
        let servers = group.backend_servers.iter();
        let told = servers.map(|server| {
            let skip_reason = self.skip_reason(*server, version, deadline, now);
            format!("{server} {skip_reason}")
        });
        let told: Vec<String> = told.collect();
        match told.is_empty() {
            true => format!("{}: none registered", group.name),
            false => format!("{}: {}", group.name, told.join(", ")),
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
        if self.lacks(server, version) {
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
