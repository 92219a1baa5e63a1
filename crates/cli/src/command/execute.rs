//! `monsoonring execute`: sends one non-idempotent request.
//!
//! The idempotency key is written to standard error before the request is sent. If the command is
//! stopped or the answer is lost, the operator can retry with the same key; with another key, the
//! request might run twice.

use crate::arguments::Execute;
use crate::command::input;
use crate::command::request::{Nature, Outcome, Report, headers, peer};
use crate::exit::Code;
use crate::output::Output;
use crate::peer::Answer;
use hyper::StatusCode;

const KEY_HEADER: &str = "idempotency-key";
const SEND_HEADER: &str = "monsoonring-send";

/// Sends the request and reports the result. Fetches a key first if none was given.
pub(crate) async fn run(execute: Execute, output: Output) -> Code {
    let body = match input::body(&execute.body) {
        Ok(body) => body,
        Err(error) => {
            output.notice(&error.to_string());
            return Code::Usage;
        }
    };
    let key = match key(&execute).await {
        Ok(key) => key,
        Err(report) => {
            output.report(report.as_ref());
            return report.outcome.code();
        }
    };
    output.notice(&format!("idempotency-key: {key}"));
    let report = send(&execute, &key, body).await;
    output.report(&report);
    report.outcome.code()
}

async fn send(execute: &Execute, key: &str, body: String) -> Report {
    let mut headers = headers(&execute.caller);
    headers.push((KEY_HEADER, key.to_owned()));
    if let Some(send) = execute.send {
        headers.push((SEND_HEADER, send.to_string()));
    }
    let path = format!("/routes/{}/execute", execute.route);
    let exchange = peer(&execute.caller).post(&path, &headers, body).await;
    let mut report = Report::new(execute.caller.daemon, Nature::NonIdempotent, exchange);
    report.idempotency_key = Some(key.to_owned());
    report
}

/// Returns the given key, or fetches one from the daemon. If this fails, the request did not run.
async fn key(execute: &Execute) -> Result<String, Box<Report>> {
    if let Some(key) = &execute.idempotency_key {
        return Ok(key.clone());
    }
    let path = format!("/routes/{}/keys", execute.route);
    let headers = headers(&execute.caller);
    let exchange = peer(&execute.caller)
        .post(&path, &headers, String::new())
        .await;
    if let Some(key) = exchange.as_ref().ok().and_then(issued_key) {
        return Ok(key);
    }
    let mut report = Report::new(execute.caller.daemon, Nature::Idempotent, exchange);
    if report.outcome != Outcome::Unreachable {
        report.outcome = Outcome::NotRun;
    }
    Err(Box::new(report))
}

fn issued_key(answer: &Answer) -> Option<String> {
    if answer.status != StatusCode::CREATED {
        return None;
    }
    let key = answer.headers.get(KEY_HEADER)?;
    Some(key.to_str().ok()?.to_owned())
}
