//! State machine of a home: the daemon that owns the connections to a route's backend servers.
//!
//! A home holds everything that the route's requests share: searches in progress, the state of the
//! backend servers, their connections, the budgets and admission. The daemon passes it [`Event`]s
//! in the order in which they happen and carries out the [`Action`]s that it returns.
//!
//! [`Home`] is split over several files by event: `search`, `execute` and `delegation` start
//! requests, choose servers and finish requests; `deferral` decides on retries while budgets are
//! scarce; `dispatch` sends attempts on connections; `completion` handles the end of attempts;
//! `server` handles changes of backend servers, `route` a new configuration and `shutdown` the end of
//! the daemon; `timer` orders what is due.

pub mod action;
mod completion;
mod counts;
mod deferral;
mod delegation;
mod dispatch;
pub mod event;
mod execute;
mod flight;
mod outage;
pub mod params;
mod placement;
mod route;
mod search;
mod server;
mod shutdown;
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
