//! The daemon around the decisions.
//!
//! Everything here is input and output: sockets, tasks, clocks and logs. The crate falls into a
//! front, which takes requests from callers and operators, and the controllers behind it, which
//! drive the decisions of `monsoonring-decision`. The two meet in [`service::Service`] alone, so
//! that each can be tested without the other.

pub mod backend;
mod caller;
pub mod client;
pub mod clock;
mod control;
pub mod gateway;
pub mod launch;
pub mod log;
pub mod metrics;
mod node;
mod operator;
mod peer;
mod platform;
mod route;
pub mod run;
mod server;
pub mod service;
pub mod settings;
