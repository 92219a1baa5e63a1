//! Why a backend server gets no work, for the line that says why a part of a search has none.
//!
//! A search that is refused because a shard has no server in reach tells its caller only that much. Without
//! the servers and what stands in the way of each, operators can't tell a shard whose servers have all
//! left from one whose servers are full of other hosts' connections.

use super::down::Down;
use super::state::Home;
use crate::Time;
use crate::content::Content;
use derive_more::Display;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};

/// What stands in the way of work for a server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Hindrance {
    #[display("leaving")]
    Leaving,
    #[display("unreachable, {_0}")]
    Unreachable(Down),
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
    pub(super) fn hindrances(
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
            let hindrance = self.hindrance(*server, version, deadline, now);
            format!("{server} {hindrance}")
        });
        let told: Vec<String> = told.collect();
        match told.is_empty() {
            true => format!("{}: none registered", group.name),
            false => format!("{}: {}", group.name, told.join(", ")),
        }
    }

    fn hindrance(
        &self,
        server: BackendServerId,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> Hindrance {
        if self.fleet.is_leaving(server) {
            return Hindrance::Leaving;
        }
        if !self.pool.is_reachable(server) {
            let down = self.down.get(&server).copied().unwrap_or(Down::Lost);
            return Hindrance::Unreachable(down);
        }
        if self.lacks(server, version) {
            return Hindrance::Version;
        }
        match self.back_offs.get(&server) {
            Some(until) if *until >= deadline => return Hindrance::BackOff(*until),
            _ => {}
        }
        match self.fleet.excluded_until(server, now) {
            Some(until) if until >= deadline => Hindrance::Cold(until),
            _ => Hindrance::Tried,
        }
    }
}
