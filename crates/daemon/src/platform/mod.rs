//! What the platform gives: the configuration service and the host list. Both can only be read.

mod client;
mod configuration;
mod hosts;

pub(crate) use client::Result;
pub(crate) use configuration::{Service, Value};
pub(crate) use hosts::{List, State};
