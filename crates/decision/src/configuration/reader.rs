//! Selects the daemons that read the configuration service.
//!
//! The service limits the rate of calls, including watches. With a fixed number of readers per data
//! centre, the calls grow with the number of data centres rather than with the number of daemons.

use crate::member::MemberId;
use crate::placement;

/// Number of readers in each data centre. Tolerates one that is dead and one that can't reach the service.
pub const READERS_PER_DATA_CENTRE: usize = 3;

/// Returns whether `own` is a reader: among the highest-ranked serving members of its data centre.
pub fn is_reader(own: &placement::Member, members: &[placement::Member]) -> bool {
    let ahead = members
        .iter()
        .filter(|member| member.data_centre == own.data_centre && member.id != own.id)
        .filter(|member| rank(member.id) > rank(own.id))
        .count();
    ahead < READERS_PER_DATA_CENTRE
}

/// Returns whether `other` rather than `own` should be the acting reader.
pub fn outranks(other: MemberId, own: MemberId) -> bool {
    rank(other) > rank(own)
}

fn rank(id: MemberId) -> (u64, MemberId) {
    (placement::score("configuration", id), id)
}
