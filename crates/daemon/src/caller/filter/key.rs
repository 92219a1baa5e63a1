//! Reads the idempotency key of a non-idempotent request.

use super::{Filter, Result};
use crate::caller::exchange::{Exchange, Operation, WithDeadline, WithKey};
use crate::caller::problem::Problem;
use crate::caller::target::Action;
use crate::caller::{header, read};
use hyper::HeaderMap;

/// Largest key. Keys are stored for as long as they can be sent again.
const MAX_KEY_BYTES: usize = 256;

/// Prefix of keys issued by a daemon.
const ISSUED_PREFIX: &str = monsoonring_decision::idempotency::key::PREFIX;

/// Reads the key and the send number if the action needs them.
pub(crate) struct ReadKey;

impl Filter<Exchange<WithDeadline>> for ReadKey {
    type After = Exchange<WithKey>;

    async fn apply(&self, before: Exchange<WithDeadline>) -> Result<Self::After> {
        let operation = match before.head.action {
            Action::Query => Operation::Search,
            Action::Keys => Operation::Mint,
            Action::Execute => execute(&before.head.headers)?,
        };
        Ok(before.advance(|with_deadline| WithKey {
            with_deadline,
            operation,
        }))
    }
}

fn execute(headers: &HeaderMap) -> Result<Operation> {
    let sent = read::single(headers, header::IDEMPOTENCY_KEY)?
        .ok_or_else(|| Problem::bad_header(header::IDEMPOTENCY_KEY, "is missing"))?;
    let key = unquoted(sent.trim());
    let valid = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'"');
    if !valid {
        let detail = "is not 1 to 256 visible characters without quotes";
        return Err(Problem::bad_header(header::IDEMPOTENCY_KEY, detail));
    }
    Ok(Operation::Execute {
        key: key.to_owned(),
        send: send(headers)?,
    })
}

/// Returns whether an earlier send of a non-idempotent request may have run under the same key.
///
/// A caller that receives `not_run` may submit the request again under another key. If an earlier
/// send may have run, refusing this one must not report `not_run`, or the request could run twice.
/// A key chosen by the caller has no earlier send if this is send number 1 or has no number.
pub(crate) fn may_be_repeated(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let Some(key) = text(header::IDEMPOTENCY_KEY) else {
        return false;
    };
    let number = text(header::SEND).and_then(|number| number.trim().parse::<u32>().ok());
    unquoted(key.trim()).starts_with(ISSUED_PREFIX) || number.is_some_and(|number| number > 1)
}

/// Strips the quotes that the `Idempotency-Key` draft standard requires. Without this, a caller
/// whose library adds them on some sends only would use two keys and could run the request twice.
fn unquoted(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
}

fn send(headers: &HeaderMap) -> Result<Option<u32>> {
    let Some(text) = read::single(headers, header::SEND)? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(number) if number > 0 => Ok(Some(number)),
        _ => Err(Problem::bad_header(
            header::SEND,
            "is not a whole number above 0",
        )),
    }
}
