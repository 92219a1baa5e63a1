//! Protocol between the daemons.
//!
//! Forwarded requests and the control protocol are [`tarpc`] calls: a call carries its deadline, and
//! dropping it cancels it at the peer. If keys are set, calls travel over an encrypted [`channel`].

pub mod channel;
pub mod codec;
pub mod datagram;
pub mod key;
pub mod message;
pub mod meter;
pub mod peer;
