//! What the daemons know of each other, of the configuration and of facts.
//!
//! One task owns the member table, the configuration's holder and the fact table. They belong
//! together because they share the messages: each probe carries changes of members, the version of
//! the configuration and facts. What the rest of the daemon needs is published as a [`View`], which
//! is replaced as a whole, so that nobody ever sees members of one moment with the configuration of
//! another.

mod controller;
mod document;
mod handle;
mod pause;
mod probe;
mod view;

pub(crate) use controller::{LEAVING_LIFE, NewFact, Settings, spawn};
pub(crate) use handle::{Handle, Input};
pub(crate) use view::View;
