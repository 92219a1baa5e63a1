//! Runs the routes that this daemon is a home of.
//!
//! Each route has a task that owns its [`Home`]. All events of the route pass through the task's
//! queue, and the actions of one event are performed before the next event is handled. So the state
//! needs no lock, and decisions are made in the order of events.
//!
//! [`Home`]: monsoonring_decision::home::Home

mod controller;
mod gauges;
mod handle;
mod management;
mod poll;

pub(crate) use controller::{Fact, Facts, Settings, spawn};
pub(crate) use handle::{Handle, WeakHandle};
pub(crate) use management::Management;
