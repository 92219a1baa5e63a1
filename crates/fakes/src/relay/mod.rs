//! Relays that inject network faults between clients and one target.
//!
//! A test gives clients the relay's address instead of the target's. Use one relay for each pair of
//! peers to partition the pairs independently; the TCP relay can also set faults by source IP
//! address.

mod tcp;
pub mod udp;

pub use tcp::Relay;

/// Which traffic the link lets through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Everything.
    #[default]
    Open,
    /// Nothing: open connections are closed, and new ones as soon as they are accepted. Datagrams
    /// are dropped.
    Cut,
    /// Nothing, silently: open and new connections stay open, and their bytes are held back.
    /// Datagrams are dropped.
    Hold,
    /// Only traffic to the target; bytes from it are held back, datagrams dropped.
    OnlyForward,
    /// Only traffic from the target; bytes to it are held back, datagrams dropped.
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
