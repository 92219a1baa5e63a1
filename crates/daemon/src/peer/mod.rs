//! Calls to and from other daemons.

mod pool;

pub(crate) use pool::Pool;
