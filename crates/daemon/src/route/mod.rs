//! The routes that this daemon is a home of.
//!
//! Each has one task that owns the route's [`Home`]: all that happens to the route goes through its
//! queue, and each action of the decision is carried out before the next event is looked at. So the
//! state needs no lock, and the order of events is the order of decisions.
//!
//! [`Home`]: monsoonring_decision::home::Home

mod controller;
mod gauges;
mod handle;
mod management;
mod poll;

pub(crate) use controller::{Fact, Facts, Settings, spawn};
pub(crate) use handle::Handle;
pub(crate) use management::Management;
