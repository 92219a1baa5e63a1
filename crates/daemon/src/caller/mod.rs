//! HTTP interface for callers.
//!
//! A request passes through a chain of filters, each of which checks or adds one thing: caller,
//! route, deadline, key, body. A filter takes the [`exchange::Exchange`] of one stage and returns
//! that of the next, or a problem; the stage types enforce the order. At the end of the chain the
//! service is called, and its outcome is written as an answer or a problem. Filters send nothing,
//! so their problems report that the request did not run.

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
