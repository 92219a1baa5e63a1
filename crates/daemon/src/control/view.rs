//! The state that the control task publishes.

use crate::service::Configuration;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::Member;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A consistent snapshot of members and configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The configuration in force, `None` until the first is adopted.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Version of the configuration in force.
    pub(crate) version: Option<Version>,
    /// Members that serve, including this one.
    pub(crate) members: Arc<[Member]>,
    /// Members that the failure detector suspects.
    pub(crate) suspects: Arc<BTreeSet<MemberId>>,
    /// Whether the member table is recent enough to accept requests.
    pub(crate) members_current: bool,
    /// Whether the configuration is recent enough to accept requests.
    pub(crate) configuration_current: bool,
    /// Whether so many members failed together that this daemon is probably partitioned off.
    pub(crate) isolated: bool,
    /// Number of documents seen that share a revision with a different document.
    pub(crate) conflicts: u64,
}

impl View {
    /// Returns the reason if no new requests may be accepted.
    pub(crate) fn check_ready(&self) -> Result<(), &'static str> {
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

    /// Returns a member by its id, if it serves.
    pub(crate) fn member(&self, id: MemberId) -> Option<Member> {
        self.members.iter().find(|member| member.id == id).cloned()
    }

    /// Returns whether two views are equal. Compares the configuration by its version.
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
