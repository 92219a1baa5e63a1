//! At-most-once execution of non-idempotent requests, without shared storage or consensus.
//!
//! A host can fail and lose its state, and a load balancer may route a retry to any daemon.
//! Idempotency keys are therefore *fenced*: a key names the only incarnation of a daemon that may
//! run it, and that incarnation keeps a [`Ledger`] of the keys that it ran. Two invariants hold:
//!
//! - Only the holder of a fence runs its keys. A fence has one holder at any time: the incarnation
//!   itself or, after a graceful stop, the one successor that it named.
//! - The holder records a key before it runs it, and keeps the record until the key has expired. An
//!   expired key is never run.
//!
//! Every other daemon forwards the request to the holder or answers "unknown". The outcome of a key
//! is final, "not run" included: a delayed copy of an earlier send must not run after the caller
//! received "not run" and retried under another key.
//!
//! `docs/design/at-most-once.md` compares the alternatives.

pub mod decision;
mod fence;
pub mod handover;
pub mod key;
pub mod ledger;
pub mod lookup;
pub mod permit;
pub mod record;
mod secret;

pub use decision::{Decision, Refusal, Request};
pub use handover::{Handover, Receipt};
pub use key::{Fence, Key};
pub use ledger::{Ledger, Limits};
pub use lookup::{Finding, Lookup, Poll};
pub use permit::{AnyPermit, Permit, Sent, Unsent};
pub use record::Outcome;
pub use secret::Secret;
