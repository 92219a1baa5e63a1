//! The subcommands, and what they share.

pub(crate) mod check;
mod disagreement;
pub(crate) mod execute;
pub(crate) mod explain;
mod input;
pub(crate) mod query;
mod request;
mod state;
pub(crate) mod status;
pub(crate) mod timeline;
