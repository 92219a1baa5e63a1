//! What an operator wants explained, from the query of the address.

use crate::service::Explain;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a query can't be read.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// A part is missing.
    #[snafu(display("give `request`, or `route` and `backend_server`"))]
    Missing,
    /// A request id is wrong.
    #[snafu(display("`request` is not a request id of 32 hexadecimal digits"))]
    Request {
        /// What the standard library says.
        source: ParseIntError,
    },
    /// An address is wrong.
    #[snafu(display("`backend_server` is not an address such as 127.0.0.1:7000"))]
    BackendServer {
        /// What the standard library says.
        source: AddrParseError,
    },
}

/// Result of reading a query.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads a query.
pub(super) fn parse(query: &str) -> Result<Explain> {
    if let Some(request) = value(query, "request") {
        let request = u128::from_str_radix(&request, 16).context(RequestSnafu)?;
        return Ok(Explain::Request(request));
    }
    let route = value(query, "route").context(MissingSnafu)?;
    let backend_server = value(query, "backend_server").context(MissingSnafu)?;
    Ok(Explain::BackendServer {
        route: route.into(),
        backend_server: backend_server.parse().context(BackendServerSnafu)?,
    })
}

/// The value of a name.
fn value(query: &str, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let (_, value) = pairs.find(|(found, _)| found == name)?;
    Some(value.into_owned())
}
