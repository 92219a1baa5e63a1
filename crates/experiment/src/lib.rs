//! Open-loop load, experiments and the demonstration.
//!
//! An experiment puts the real daemon between a load generator and the stand-ins of
//! `monsoonring-fakes`, all over sockets of the loopback interface. Load is open-loop: requests
//! leave at times drawn beforehand, and latency is counted from those times, so that a slow answer
//! can't hide the wait of the requests behind it. Everything random is drawn from a seed.
//!
//! A [`trial`] goes through these modules: a [`scenario`] says what is tried, [`deployment`] starts
//! stand-ins and daemons, [`load`] sends and records [`sample`]s by way of the [`caller`] client while
//! [`fault`] breaks something and [`tally`] counts, [`verify`] holds each answer against what the stand-ins hold, and
//! [`report`] turns the samples into tables and plots.

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
