//! Room that the backend servers of a route have for this home.

use std::time::Duration;

/// Room for work, taken from the group that has the least of it.
///
/// A search needs every group, so the busiest group decides how long a query waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// This home's share of the work slots of usable servers, in the tightest group.
    pub slots: f64,
    /// Own attempts outstanding in that group, plus its share of what others have there.
    pub busy: f64,
    /// Time that a new attempt would wait in that group before it is worked on.
    pub wait: Duration,
    /// Measured time of one attempt in that group, waiting included.
    pub service: Duration,
}
