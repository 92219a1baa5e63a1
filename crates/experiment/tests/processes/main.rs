//! Failures, on several real processes of the daemon on the loopback interface.
//!
//! Each test starts its own stand-ins and daemons. A daemon has an IP number of its own, from which it
//! also connects to its peers, and is reached by them through a relay, so that any pair of daemons
//! can be cut. Tests wait for states; the cap on a wait only ends a test that hangs.

mod cluster;
mod configuration;
mod daemon;
mod home;
mod hop;
mod leaving;
mod once;
mod partition;
mod rolling;
mod suspect;
mod wait;
