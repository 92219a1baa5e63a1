//! Delegates a part of a search to another host.

use super::{Assignment, Error, Relay, Result, parse_number};
use crate::gateway::ServerResponse;
use crate::gateway::state::RemoteShards;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::IndexVersion;
use monsoonring_decision::gateway::helper::{Delegation, Outcome};
use monsoonring_decision::home::event::Progress;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::query::coverage::KeySet;
use monsoonring_decision::reply::{Item, Reply, Report};
use std::time::Duration;

/// Keys to search, as half-open ranges: `0-3,7-9` means 0, 1, 2, 7 and 8.
pub(super) const ONLY_KEYS: HeaderName = HeaderName::from_static("monsoonring-only");

/// Keys that a response covers, in the same format, and its index version.
const COVERED: HeaderName = HeaderName::from_static("monsoonring-covered");
const SNAPSHOT: HeaderName = HeaderName::from_static("monsoonring-snapshot");

/// Keys that a search of another host is restricted to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct OnlyKeys(pub(in crate::gateway) KeySet);

impl OnlyKeys {
    /// Removes the keys from the headers of a search, so that they are not forwarded to backend servers.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let keys = parse_keys(&headers.remove(ONLY_KEYS)?)?;
        Some(Self(keys))
    }
}

/// A part of a search that is assigned to a host.
pub(in crate::gateway) struct PendingDelegation<'a> {
    assignment: Assignment<'a>,
    keys: KeySet,
}

/// The reply for a delegated part, or whether the other host may have started it.
pub(in crate::gateway) type DelegatedReply = std::result::Result<Reply<ServerResponse>, Progress>;

/// Result of a delegated part.
pub(in crate::gateway) struct DelegationResult {
    /// The reply, or whether the part may have started.
    pub(in crate::gateway) reply: DelegatedReply,
    /// Why keys are missing, if any are.
    pub(in crate::gateway) reason: Option<String>,
}

impl Relay {
    /// Assigns a part of a search to a host; returns `None` if this host should query all servers itself.
    pub(in crate::gateway) fn delegate(
        &self,
        remote_shards: &RemoteShards,
    ) -> Option<PendingDelegation<'_>> {
        let Delegation { host, keys } = self.helpers().delegate(remote_shards, self.clock.now())?;
        let assignment = Assignment {
            relay: self,
            host,
            outcome: Outcome::Cancelled,
        };
        Some(PendingDelegation { assignment, keys })
    }
}

impl PendingDelegation<'_> {
    /// Returns the assigned host.
    pub(in crate::gateway) fn host(&self) -> MemberId {
        self.assignment.host
    }

    /// Returns the delegated keys.
    pub(in crate::gateway) fn keys(&self) -> &KeySet {
        &self.keys
    }

    /// Sends the part to the assigned host. A reply that lacks more than `max_missing` keys counts as incomplete.
    pub(in crate::gateway) async fn send(
        mut self,
        head: request::Parts,
        body: Bytes,
        version: u64,
        max_missing: u64,
        remaining: Duration,
    ) -> DelegationResult {
        let mut request = Request::from_parts(head, Full::new(body));
        if let Ok(only_keys) = HeaderValue::from_str(&format_keys(&self.keys)) {
            request.headers_mut().insert(ONLY_KEYS, only_keys);
        }
        let Assignment { relay, host, .. } = self.assignment;
        let answer = relay.send(host, request, version, remaining).await;
        let (outcome, result) = self.evaluate_response(answer, max_missing).await;
        self.assignment.outcome = outcome;
        result
    }

    async fn evaluate_response(
        &self,
        answer: Result<Response<Full<Bytes>>>,
        max_missing: u64,
    ) -> (Outcome, DelegationResult) {
        let response = match answer {
            Ok(response) => response,
            Err(error) => return (error.outcome(), failed_delegation(&error)),
        };
        let status = response.status();
        let covered = self.covered(response.headers());
        let (Some((covered, snapshot)), StatusCode::OK) = (covered, status) else {
            let progress = match status {
                // With this status the host has not started anything.
                StatusCode::SERVICE_UNAVAILABLE => Progress::NotStarted,
                _ => Progress::MaybeStarted,
            };
            let reason = Some(format!("status {}", status.as_u16()));
            let reply = Err(progress);
            return (Outcome::Incomplete, DelegationResult { reply, reason });
        };
        let missing = self.keys.len() - covered.len();
        let outcome = match missing > max_missing {
            true => Outcome::Incomplete,
            false => Outcome::Answered,
        };
        let reply = merged_reply(response, &covered, snapshot).await;
        let reason =
            (missing > 0).then(|| format!("missing {missing} of {} shards", self.keys.len()));
        (outcome, DelegationResult { reply, reason })
    }

    /// Returns the keys and index version that a response covers, or `None` if it covers none or keys not requested.
    fn covered(&self, headers: &HeaderMap) -> Option<(KeySet, IndexVersion)> {
        let covered = parse_keys(headers.get(COVERED)?)?;
        let is_requested = covered.difference(&self.keys).is_empty();
        let snapshot = parse_number(headers, &SNAPSHOT)?;
        (is_requested && !covered.is_empty()).then_some((covered, snapshot))
    }
}

fn failed_delegation(error: &Error) -> DelegationResult {
    let progress = match error.may_have_started() {
        true => Progress::MaybeStarted,
        false => Progress::NotStarted,
    };
    DelegationResult {
        reply: Err(progress),
        reason: Some(error.to_string()),
    }
}

/// Builds a reply from one merged response that covers several keys.
async fn merged_reply(
    response: Response<Full<Bytes>>,
    covered: &KeySet,
    snapshot: IndexVersion,
) -> DelegatedReply {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let value = ServerResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    };
    let first = covered.ranges().first().ok_or(Progress::MaybeStarted)?;
    Ok(Reply {
        items: vec![Item {
            key: first.start,
            value,
        }],
        ranges: covered.ranges().to_vec(),
        index_version: Some(snapshot),
        report: Report::default(),
    })
}

/// Sets the covered keys and the index version in the headers of a response to a delegated part.
pub(in crate::gateway) fn set_covered(
    headers: &mut HeaderMap,
    covered: &KeySet,
    snapshot: IndexVersion,
) {
    if let Ok(covered) = HeaderValue::from_str(&format_keys(covered)) {
        headers.insert(COVERED, covered);
        headers.insert(SNAPSHOT, snapshot.into());
    }
}

fn format_keys(keys: &KeySet) -> String {
    let ranges = keys.ranges().iter();
    let ranges: Vec<String> = ranges
        .map(|range| format!("{}-{}", range.start, range.end))
        .collect();
    ranges.join(",")
}

fn parse_keys(value: &HeaderValue) -> Option<KeySet> {
    let ranges = value.to_str().ok()?.split(',');
    let ranges = ranges.map(|range| {
        let (start, end) = range.split_once('-')?;
        Some(Range::new(start.parse().ok()?, end.parse().ok()?))
    });
    ranges.collect()
}
