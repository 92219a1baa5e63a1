//! Runs membership, configuration and the exchange of facts among the daemons.
//!
//! One task owns the member table, the configuration's holder and the fact table, because they
//! share messages: each probe carries member changes, the version of the configuration and facts.
//! The task publishes its state to the rest of the daemon as a [`View`], which is replaced as a
//! whole, so that members and configuration in a view are consistent.

mod controller;
mod document;
mod handle;
mod pause;
mod probe;
mod view;

pub(crate) use controller::{LEAVING_LIFETIME, NewFact, Settings, spawn};
pub(crate) use handle::{Handle, Input};
pub(crate) use view::View;
