//! Divides the sockets of a process.

/// Shares of the sockets for clients, for other hosts, and for each listener of operators. The rest is for
/// connections to backend servers and to other hosts.
const CLIENT_SHARE: f64 = 0.6;
const PEER_SHARE: f64 = 0.2;
const OPERATOR_SHARE: f64 = 0.04;

/// Largest number of connections at a listener of operators.
const MAX_OPERATORS: usize = 72;

/// Connections above the limit that still get a response with a refusal, as a divisor of the limit.
const EXCESS_DIVISOR: usize = 8;

/// Minimum number of connections above the limit that get a response with a refusal.
const MIN_EXCESS: usize = 8;

/// Limits on the connections at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connections {
    /// Connections whose requests are served.
    pub served: usize,
    /// Connections above `served` whose requests are refused; further ones are closed.
    pub excess: usize,
}

impl Connections {
    /// Returns the limits where the requests of `served` connections are served.
    pub fn serving(served: usize) -> Self {
        Self {
            served,
            excess: MIN_EXCESS.max(served / EXCESS_DIVISOR),
        }
    }

    /// Returns the limits where `total` connections may be open. One at least is served.
    pub fn within(total: usize) -> Self {
        let excess = MIN_EXCESS.max(total / (EXCESS_DIVISOR + 1)).min(total / 2);
        Self {
            served: (total - excess).max(1),
            excess,
        }
    }

    /// Returns how many connections may be open.
    pub fn total(self) -> usize {
        self.served + self.excess
    }

    /// Returns the smaller of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        match self.total() <= other.total() {
            true => self,
            false => other,
        }
    }
}

/// Limits on the connections at each kind of listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients.
    pub clients: Connections,
    /// Connections of other hosts.
    pub peers: Connections,
    /// Connections at each listener of operators, load balancers and monitoring.
    pub operators: Connections,
}

impl Shares {
    /// Divides the sockets of a process.
    pub fn of(sockets: usize) -> Self {
        let share = |share: f64| (sockets as f64 * share) as usize;
        Self {
            clients: Connections::within(share(CLIENT_SHARE)),
            peers: Connections::within(share(PEER_SHARE)),
            operators: Connections::within(share(OPERATOR_SHARE).min(MAX_OPERATORS)),
        }
    }
}
