//! Read-only clients for the platform's configuration service and host list.

mod client;
mod configuration;
mod hosts;

pub(crate) use client::Result;
pub(crate) use configuration::{Service, Value};
pub(crate) use hosts::{List, State};
