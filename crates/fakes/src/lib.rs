//! Fake backend servers, configuration service, host list and network relays for tests, demos and
//! benchmarks.
//!
//! Each fake listens on a free loopback port and runs in tasks of the calling runtime. The fakes
//! implement `docs/protocols.md` and misbehave only on request: a test injects a fault, drives the
//! daemon, then reads counters and journals. Time, sockets and interleavings are real.

pub mod backend_server;
pub mod configuration_service;
mod endpoint;
pub mod fleet;
mod gate;
pub mod header;
pub mod host_list;
mod http;
mod lag;
pub mod relay;

pub use lag::Mode as Reporting;
