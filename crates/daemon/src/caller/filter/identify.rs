//! Identifies the caller.

use super::{Filter, Result};
use crate::caller::exchange::{Arrived, Exchange, Identified};
use crate::caller::problem::Problem;
use crate::caller::{header, read};
use hyper::HeaderMap;
use monsoonring_configuration::document::Caller;
use sha2::{Digest, Sha256};
use std::fmt::Write;

const SCHEME: &str = "Bearer";

/// Identifies the caller by its name and, if one is configured, its token.
pub(crate) struct Identify;

impl Filter<Exchange<Arrived>> for Identify {
    type After = Exchange<Identified>;

    async fn apply(&self, before: Exchange<Arrived>) -> Result<Self::After> {
        let head = &before.head;
        let name = read::single(&head.headers, header::CALLER)?
            .ok_or_else(|| Problem::unidentified("`monsoonring-caller` is missing"))?;
        // The same response for an unknown name and a wrong token keeps names from being probed.
        let caller = head
            .configuration
            .caller(name)
            .ok_or_else(|| Problem::unidentified("unknown name or wrong token"))?;
        check_token(caller, &head.headers)?;
        let identified = Identified {
            caller: caller.name.clone(),
            class: caller.class,
        };
        Ok(before.advance(|Arrived| identified))
    }
}

fn check_token(caller: &Caller, headers: &HeaderMap) -> Result<()> {
    let Some(expected) = &caller.token_sha256 else {
        return Ok(());
    };
    let token = read::single(headers, "authorization")?.and_then(bearer);
    let digest = token.map(digest);
    // Comparing digests keeps the comparison time from revealing the token.
    if digest.is_some_and(|digest| digest.eq_ignore_ascii_case(expected)) {
        Ok(())
    } else {
        Err(Problem::unidentified("unknown name or wrong token"))
    }
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| token.trim())
}

fn digest(token: &str) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(token.as_bytes()) {
        // Writing to a string does not fail.
        let _written = write!(text, "{byte:02x}");
    }
    text
}
