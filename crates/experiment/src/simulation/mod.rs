//! Discrete-event simulation of a deployment around the production homes.
//!
//! The homes, the route table and the registry are the real ones of `monsoonring-decision`; sockets,
//! backend servers and callers are modelled. This is fast enough to compare policies on hundreds of
//! seeds. Hosts have unlimited processor time in this model, and neither hosts nor the store fail.
//!
//! A [`Site`] describes the deployment and a [`Day`] its faults. [`run`] simulates one day with a seed and
//! returns its [`Statistics`]; [`compare()`](compare::compare) runs many seeds under several policies.

pub mod compare;
pub mod day;
pub mod host;
pub mod page;
mod plot;
pub mod server;
pub mod site;
pub mod statistics;
mod timeline;
mod work;
pub mod world;

pub use day::{Day, Fault, ScheduledFault};
pub use site::{Kind, Pool, Site};
pub use statistics::Statistics;
pub use work::Pauses;
pub use world::run;
