//! Load generator, experiments, capacity model and simulation.
//!
//! An experiment runs real daemons between a load generator and the fakes of `monsoonring-fakes`, all
//! over loopback sockets. Load is open-loop: send times are drawn in advance, and latency is measured
//! from these times, so a slow answer can't hide the queueing of later requests (coordinated omission).
//! All randomness is seeded.
//!
//! A [`trial`] runs one [`scenario`]: [`deployment`] starts fakes and daemons, [`load`] sends requests
//! through the [`caller`] client and records [`sample`]s, [`fault`] injects a fault, [`tally`] counts
//! attempts, [`verify`] checks each answer against the fakes' data, and [`report`] writes tables and
//! plots.

pub mod arrival;
pub mod caller;
pub mod capacity;
pub mod deployment;
pub mod document;
pub mod fault;
pub mod load;
pub mod memory;
pub mod operator;
pub mod processor;
pub mod report;
pub mod sample;
pub mod scenario;
pub mod simulation;
pub mod tally;
pub mod trial;
pub mod variant;
pub mod verify;
