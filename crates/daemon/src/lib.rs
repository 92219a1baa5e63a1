//! The daemon that drives the decisions of `monsoonring-decision`.
//!
//! This crate does the input and output: sockets, tasks, clocks and logs. A front takes requests
//! from callers and operators; controllers behind it drive the decisions. They meet only in
//! [`service::Service`], so that each can be tested without the other.

pub mod backend;
mod body;
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
