//! Calls to and from other daemons.

mod pool;
mod server;
#[cfg(test)]
mod tests;

pub(crate) use pool::Pool;
pub(crate) use server::serve;
