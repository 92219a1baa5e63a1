//! One route at one of its homes.
//!
//! A home owns everything that its queries share: the runs in progress, the state of the route's
//! backend servers, their connections, the budgets and admission. The daemon feeds it [`Event`]s
//! in the order in which they happen and carries out the [`Action`]s that it returns.
//!
//! [`Home`] is one state machine in several files, by what happens: `search` and `execute` start
//! requests, choose servers and end requests; `dispatch` brings attempts onto connections; `ending`
//! takes in how attempts end; `server` takes in what is learned of backend servers, and `reroute`
//! a new configuration;
//! `timer` keeps what is due.

pub mod action;
mod counts;
mod deferral;
mod delegation;
mod dispatch;
mod ending;
pub mod event;
mod execute;
mod flight;
mod outage;
pub mod params;
mod placement;
mod route;
mod search;
mod server;
mod skip;
mod state;
mod timer;
mod wakeup;

pub use action::Action;
pub use counts::Counts;
pub use event::Event;
pub use params::Params;
pub use state::Home;
pub use wakeup::Wakeup;
