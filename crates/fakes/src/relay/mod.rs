//! Relays in front of one target, which can fail as the network does.
//!
//! The test hands a relay's address to one side in place of the target's. One relay stands for one
//! pair of ends, so that each pair can be cut by itself; the one for TCP can also tell its sources
//! apart by their IP numbers.

mod tcp;
pub mod udp;

pub use tcp::Relay;

/// What the link lets through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Everything.
    #[default]
    Open,
    /// Nothing: open connections are dropped and new ones closed as soon as they are accepted.
    /// Datagrams are dropped.
    Cut,
    /// Nothing, without a sign: connections stay open, new ones too, and all bytes are held.
    /// Datagrams are dropped.
    Hold,
    /// Only what goes to the target; what comes back is held, or dropped if it is a datagram.
    OnlyForward,
    /// Only what comes from the target; what goes to it is held, or dropped if it is a datagram.
    OnlyBack,
}

#[derive(Clone, Copy)]
pub(crate) enum Direction {
    Forward,
    Back,
}

impl Link {
    fn passes(self, direction: Direction) -> bool {
        match self {
            Self::Open => true,
            Self::Cut | Self::Hold => false,
            Self::OnlyForward => matches!(direction, Direction::Forward),
            Self::OnlyBack => matches!(direction, Direction::Back),
        }
    }
}
