//! Reads the headers of callers' requests.

use super::header::TRACEPARENT;
use super::problem::Problem;
use hyper::HeaderMap;

/// Returns the value of a header that may occur at most once.
///
/// Duplicates are refused: a proxy could act on one value and the daemon on the other, and the
/// request would run for another caller or key than the one that was checked.
pub(crate) fn single<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Problem::bad_header(name, "is given more than once"));
    }
    first
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_| Problem::bad_header(name, "has characters outside ASCII"))
}

/// Returns the trace id of a valid `traceparent` header.
pub(crate) fn trace_id(headers: &HeaderMap) -> Option<u128> {
    let value = single(headers, TRACEPARENT).ok()??;
    let mut parts = value.split('-');
    let version = hexadecimal(parts.next()?, 2)?;
    let trace = hexadecimal(parts.next()?, 32)?;
    let parent = hexadecimal(parts.next()?, 16)?;
    hexadecimal(parts.next()?, 2)?;
    let supported = version != 0xff && (version != 0 || parts.next().is_none());
    (supported && trace != 0 && parent != 0).then_some(trace)
}

/// Parses exactly `digits` lower-case hexadecimal digits.
fn hexadecimal(text: &str, digits: usize) -> Option<u128> {
    let valid = text.len() == digits
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    valid.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}
