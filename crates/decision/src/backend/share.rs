//! A home's share of a backend server's connection limit.

use monsoonring_configuration::document::Capacity;

/// Connections of a server's limit that no home takes, one in this many.
const RESERVE_DIVISOR: u32 = 10;

/// Returns how many connections one of `homes` homes may hold to one backend server.
///
/// A tenth of the limit stays free. Homes disagree for a moment about how many they are, when one
/// joins or is taken over: without the reserve the server would refuse connections in just that
/// moment, seen as `connections` refusals after each change of members.
pub fn of(capacity: Capacity, homes: usize) -> usize {
    let homes = homes.max(1);
    let limit = capacity.connections as usize;
    let reserve = capacity.connections.div_ceil(RESERVE_DIVISOR) as usize;
    let share = limit.saturating_sub(reserve) / homes;
    share.max(usize::from(limit >= homes))
}
