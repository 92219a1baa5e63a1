//! What the control task publishes.

use crate::service::Configuration;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::Member;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One moment's knowledge.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The configuration in force, `None` before the first.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Which version that is.
    pub(crate) version: Option<Version>,
    /// Members that serve, this one included.
    pub(crate) members: Arc<[Member]>,
    /// Members that are suspected of being dead.
    pub(crate) suspects: Arc<BTreeSet<MemberId>>,
    /// Whether new work may be taken, as far as members are concerned.
    pub(crate) members_current: bool,
    /// Whether new work may be taken, as far as the configuration is concerned.
    pub(crate) configuration_current: bool,
    /// Whether so many members died at once that this side is more likely cut off.
    pub(crate) isolated: bool,
    /// Documents seen that share a revision with another.
    pub(crate) conflicts: u64,
}

impl View {
    /// Returns why no new work may be taken, if that is so.
    pub(crate) fn ready(&self) -> Result<(), &'static str> {
        match (
            &self.configuration,
            self.members_current,
            self.configuration_current,
        ) {
            (None, ..) => Err("no configuration"),
            (_, false, _) => Err("members not refreshed"),
            (_, _, false) => Err("configuration not refreshed"),
            _ => Ok(()),
        }
    }

    /// Returns a member that serves.
    pub(crate) fn member(&self, id: MemberId) -> Option<Member> {
        self.members.iter().find(|member| member.id == id).cloned()
    }

    /// Tells whether the two say the same. Compares what identifies the large parts, not the parts.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.version == other.version
            && self.configuration.is_some() == other.configuration.is_some()
            && self.members == other.members
            && self.suspects == other.suspects
            && self.members_current == other.members_current
            && self.configuration_current == other.configuration_current
            && self.isolated == other.isolated
            && self.conflicts == other.conflicts
    }
}
