//! One route at one of its homes.
//!
//! A home owns everything that its queries share: the runs in progress, the state of the route's
//! backend servers, their connections, the budgets and admission. The daemon feeds it [`Event`]s
//! in the order in which they happen and carries out the [`Action`]s that it returns.

pub mod action;
pub mod event;

pub use action::Action;
pub use event::Event;
