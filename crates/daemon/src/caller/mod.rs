//! The port of the callers.
//!
//! A request goes through a chain of filters, each of which knows one thing: who asks, for which
//! route, until when, with which body. A filter takes the exchange of one stage and gives that of
//! the next, or a problem; the types keep the operation, as a filter that needs the route can't be put
//! before the one that finds it. The chain ends in a call to the service, and the service's outcome
//! is written out as an answer or a problem. No filter sends anything anywhere, which is why each
//! of their problems says that the request did not run.

mod answer;
mod exchange;
mod filter;
mod front;
mod header;
mod problem;
mod read;
mod request_log;
mod status;
mod target;

pub(crate) use front::Front;
pub(crate) use request_log::RequestLog;
