//! Calls to and from other daemons.

mod pool;
mod server;

pub(crate) use pool::Pool;
pub(crate) use server::serve;
