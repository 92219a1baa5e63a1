//! Small stand-ins for what surrounds monsoonring, for tests, demos and benchmarks.
//!
//! Each is a library type that listens on a free port of the loopback interface and lives in tasks
//! of the calling runtime. They speak `docs/protocols.md` and nothing more, and misbehave only on
//! request: a test switches a fault on, drives the daemon and then reads counters and journals.
//! They do not simulate a cluster; time, sockets and interleavings are real.

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
