//! Parsing of calls.

use hyper::body::Incoming;
use hyper::{Method, Request};
use monsoonring_configuration::id::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// A read of a value, or a long poll for a revision above `after`.
pub(crate) struct Call {
    pub(crate) name: String,
    pub(crate) after: Option<Revision>,
    pub(crate) wait: Duration,
}

impl Call {
    pub(crate) fn read(request: &Request<Incoming>) -> Option<Self> {
        let name = request.uri().path().strip_prefix("/values/")?;
        if request.method() != Method::GET || name.is_empty() {
            return None;
        }
        let query = request.uri().query().unwrap_or_default();
        let parameters: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let number = |name: &str| parameters.get(name)?.parse().ok();
        Some(Self {
            name: name.to_owned(),
            after: number("after"),
            wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
        })
    }
}
