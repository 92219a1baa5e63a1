//! Strengths of the hosts in this data centre, and the host counts derived from them.

use super::{Action, Datagram, Members, Reply};
use crate::Time;
use crate::gateway::helper::{Centicores, MIN_STRENGTH_RATIO};
use crate::member::{Change, MemberId};
use crate::placement::{self, Homes, Role};
use std::collections::BTreeSet;
use std::time::Duration;

/// Delay before a host is asked again for its strength, which doubles with each request, and the
/// maximum number of requests.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_TRIES: u32 = 6;

impl Members {
    /// Updates the host counts and publishes them if they changed.
    pub(super) fn publish_hosts(&mut self) {
        let known = self.known_hosts;
        let is_near = |change: &&Change| change.data_centre == self.data_centre;
        let near = self.table.iter().filter(is_near).count();
        self.near = near;
        let hosts = Homes {
            all: known.max(self.assumed.all),
            near: near.max(self.assumed.near),
            strong: self.strong().count(),
            role: self.role(),
            rank: self.rank(),
        };
        if hosts != self.published {
            self.published = hosts;
            self.actions.push(Action::Hosts(hosts));
        }
        self.choose_readers();
    }

    /// Returns the hosts of this data centre that fan out for others: those with at least
    /// [`MIN_STRENGTH_RATIO`] times the strength of the weakest.
    pub(super) fn strong(&self) -> impl Iterator<Item = MemberId> {
        let weakest = self
            .strengths
            .values()
            .copied()
            .filter(|strength| *strength > 0)
            .min();
        let threshold = weakest.unwrap_or(0).saturating_mul(MIN_STRENGTH_RATIO);
        let is_strong = move |strength: &Centicores| threshold > 0 && *strength >= threshold;
        let strong = self
            .strengths
            .iter()
            .filter(move |(_, strength)| is_strong(strength));
        strong.map(|(host, _)| *host)
    }

    fn role(&self) -> Role {
        let own = self.table.own();
        match self.strong().next() {
            None => Role::Even,
            Some(_) if self.strong().any(|host| host == own) => Role::Strong,
            Some(_) => Role::Weak,
        }
    }

    /// Returns the index of this host among those in this data centre that have the same role.
    fn rank(&self) -> usize {
        let own = self.table.own();
        let strong: BTreeSet<MemberId> = self.strong().collect();
        let is_alike = |id: &MemberId| strong.contains(id) == strong.contains(&own);
        let near = self.table.iter();
        let near = near.filter(|change| change.data_centre == self.data_centre);
        let before = near.map(|change| change.id).filter(|id| *id < own);
        before.filter(is_alike).count()
    }

    /// Records the strength of a host and replies if requested.
    pub(super) fn receive_strength(&mut self, from: MemberId, strength: Centicores, reply: Reply) {
        if reply == Reply::Wanted {
            self.send_strength(from, Reply::Unwanted);
        }
        self.actions.push(Action::Strength(from, strength));
        if self.strengths.insert(from, strength) != Some(strength) {
            self.publish_hosts();
        }
    }

    /// Removes the strengths of hosts that died or left. Otherwise, after the strong hosts are
    /// gone, the remaining ones would keep the small shares of hosts that hand their searches over.
    pub(super) fn forget_strengths(&mut self) {
        let own = self.table.own();
        let serving = self.table.members().into_iter().map(|member| member.id);
        let serving: BTreeSet<MemberId> = serving.chain([own]).collect();
        let before = self.strengths.len();
        self.strengths.retain(|id, _| serving.contains(id));
        self.strength_requests.retain(|id, _| serving.contains(id));
        if self.strengths.len() != before {
            self.publish_hosts();
        }
    }

    /// Requests unknown strengths of hosts in this data centre. Requests are limited, as a host
    /// without a configured strength never answers.
    pub(super) fn ask_strengths(&mut self, now: Time) {
        let own = self.table.own();
        let is_near =
            |member: &placement::Member| member.id != own && member.data_centre == self.data_centre;
        let near = self.table.members().into_iter().filter(is_near);
        let near = near.map(|member| member.id);
        let unknown: Vec<MemberId> = near.filter(|id| !self.strengths.contains_key(id)).collect();
        for id in unknown {
            let (tries, next) = self.strength_requests.entry(id).or_default();
            if *tries < MAX_TRIES && *next <= now {
                *next = now + RETRY_DELAY * 2_u32.pow(*tries);
                *tries += 1;
                self.send_strength(id, Reply::Wanted);
            }
        }
    }

    fn send_strength(&mut self, to: MemberId, reply: Reply) {
        let own = self.strengths.get(&self.table.own()).copied();
        if let Some(own) = own.filter(|own| *own > 0) {
            self.send(to, Datagram::Strength(own, reply));
        }
    }
}
