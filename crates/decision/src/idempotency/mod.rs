//! At most once for non-idempotent requests, without a store and without consensus.
//!
//! Hosts vanish with all that they know, and a balancer lands a caller's second send anywhere. So
//! a key is *fenced*: it names the one incarnation of a daemon that alone may run it, and that
//! incarnation keeps a [`Ledger`] of what it ran. Two facts carry the promise:
//!
//! - Only the holder of a fence runs its keys, and a fence has one holder at any time: the
//!   incarnation itself or, after a graceful stop, the one successor that it named.
//! - The holder records a key before it runs it, and keeps the record for as long as the key can
//!   still be run. A key past its expiry is never run.
//!
//! Everyone else passes the request to the holder or answers "unknown". The outcome of a key is
//! final, "not run" included: a delayed copy of an earlier send may arrive after the caller was
//! told "not run" and has begun anew under another key, and must not run then.
//!
//! `docs/design/at-most-once.md` weighs the ways that were not taken.

pub mod decision;
mod fence;
pub mod handover;
pub mod key;
pub mod ledger;
pub mod lookup;
pub mod permit;
pub mod record;
mod seal;

pub use decision::{Decision, Refusal, Request};
pub use handover::{Handover, Receipt};
pub use key::{Fence, Key};
pub use ledger::{Ledger, Limits};
pub use lookup::{Finding, Lookup, Poll};
pub use permit::{AnyPermit, Permit, Sent, Unsent};
pub use record::Outcome;
pub use seal::Secret;
