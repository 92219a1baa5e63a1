//! A home's share of a backend server's connection limit.

use crate::placement::{self, ENDPOINT};
use monsoonring_configuration::document::Capacity;

/// Returns how many connections for requests one of `homes` homes may hold to one backend server.
///
/// Homes of one view together take half of the limit and no more ([`placement::share`]), what they
/// read health and load on included. Homes disagree about how many they are while a partition
/// lasts, and after one of them hangs: its connections stay open at the servers although another
/// home has taken its place. If the homes of one view took nearly all, the servers would refuse
/// connections in just that moment, seen as partial answers of the home that took over.
pub fn of(capacity: Capacity, homes: usize) -> usize {
    let share = placement::share(capacity.connections, homes);
    let requests = share.saturating_sub(ENDPOINT).max(1);
    usize::try_from(requests).unwrap_or(usize::MAX)
}
