//! Parses the query string of a request for an explanation.

use crate::service::Explain;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a query string is invalid.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// A required parameter is missing.
    #[snafu(display("give `request`, or `route` and `backend_server`"))]
    Missing,
    /// The request id is not a hexadecimal number of 128 bits.
    #[snafu(display("`request` is not a request id of 32 hexadecimal digits"))]
    Request {
        /// The error of the integer parser.
        source: ParseIntError,
    },
    /// The address of the backend server is invalid.
    #[snafu(display("`backend_server` is not an address such as 127.0.0.1:7000"))]
    BackendServer {
        /// The error of the address parser.
        source: AddrParseError,
    },
}

/// Result of parsing a query string.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Parses a query string.
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

/// Returns the first value of a parameter.
fn value(query: &str, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let (_, value) = pairs.find(|(found, _)| found == name)?;
    Some(value.into_owned())
}
