//! `monsoonring query`: sends one search.

use crate::arguments::Query;
use crate::command::input;
use crate::command::request::{Nature, Report, headers, peer};
use crate::exit::Code;
use crate::output::Output;

/// Sends the search and reports the answer.
pub(crate) async fn run(query: Query, output: Output) -> Code {
    let body = match input::body(&query.body) {
        Ok(body) => body,
        Err(error) => {
            output.notice(&error.to_string());
            return Code::Usage;
        }
    };
    let path = format!("/routes/{}/query", query.route);
    let exchange = peer(&query.caller)
        .post(&path, &headers(&query.caller), body)
        .await;
    let report = Report::new(query.caller.daemon, Nature::Idempotent, exchange);
    output.report(&report);
    report.outcome.code()
}
