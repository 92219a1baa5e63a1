//! Having another host look through a part of a search.

use super::{Chosen, Error, Relay, Result, number};
use crate::gateway::Whole;
use crate::gateway::state::Elsewhere;
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

/// The keys that the other host is to look through, as ranges: `0-3,7-9` are 0, 1, 2, 7 and 8.
pub(super) const ONLY: HeaderName = HeaderName::from_static("monsoonring-only");

/// The keys that an answer covers, written alike, and the index version that it is from.
const COVERED: HeaderName = HeaderName::from_static("monsoonring-covered");
const SNAPSHOT: HeaderName = HeaderName::from_static("monsoonring-snapshot");

/// The keys that a search of another host is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Only(pub(in crate::gateway) KeySet);

impl Only {
    /// Takes the keys out of the headers of a search, as they are no backend server's concern.
    pub(super) fn take_out(headers: &mut HeaderMap) -> Option<Self> {
        let keys = keys(&headers.remove(ONLY)?)?;
        Some(Self(keys))
    }
}

/// A part of a search that a host was chosen for.
pub(in crate::gateway) struct Sharing<'a> {
    chosen: Chosen<'a>,
    keys: KeySet,
}

/// What the other host covers, or whether it may have begun.
pub(in crate::gateway) type Part = std::result::Result<Reply<Whole>, Progress>;

/// What became of a part.
pub(in crate::gateway) struct Shared {
    /// What came.
    pub(in crate::gateway) reply: Part,
    /// What went wrong, if something did.
    pub(in crate::gateway) why: Option<String>,
}

impl Relay {
    /// Chooses who looks through a part of a search; `None` where this host asks all servers itself.
    pub(in crate::gateway) fn share(&self, elsewhere: &Elsewhere) -> Option<Sharing<'_>> {
        let Delegation { host, keys } = self.helpers().delegate(elsewhere, self.clock.now())?;
        let chosen = Chosen {
            relay: self,
            host,
            ended: Outcome::Cancelled,
        };
        Some(Sharing { chosen, keys })
    }
}

impl Sharing<'_> {
    /// Returns who was chosen.
    pub(in crate::gateway) fn host(&self) -> MemberId {
        self.chosen.host
    }

    /// Returns the keys.
    pub(in crate::gateway) fn keys(&self) -> &KeySet {
        &self.keys
    }

    /// Asks for the part. The answer is poor where it lacks more than `tolerable` of the keys.
    pub(in crate::gateway) async fn ask(
        mut self,
        head: request::Parts,
        body: Bytes,
        version: u64,
        tolerable: u64,
        patience: Duration,
    ) -> Shared {
        let mut request = Request::from_parts(head, Full::new(body));
        if let Ok(only) = HeaderValue::from_str(&text(&self.keys)) {
            request.headers_mut().insert(ONLY, only);
        }
        let Chosen { relay, host, .. } = self.chosen;
        let answer = relay.hand(host, request, version, patience).await;
        let (ended, shared) = self.judge(answer, tolerable).await;
        self.chosen.ended = ended;
        shared
    }

    async fn judge(
        &self,
        answer: Result<Response<Full<Bytes>>>,
        tolerable: u64,
    ) -> (Outcome, Shared) {
        let response = match answer {
            Ok(response) => response,
            Err(error) => return (error.ended(), lost(&error)),
        };
        let status = response.status();
        let covered = self.covered(response.headers());
        let (Some((covered, snapshot)), StatusCode::OK) = (covered, status) else {
            let begun = match status {
                // It says that nothing has run.
                StatusCode::SERVICE_UNAVAILABLE => Progress::NotStarted,
                _ => Progress::MaybeStarted,
            };
            let why = Some(format!("status {}", status.as_u16()));
            let reply = Err(begun);
            return (Outcome::Incomplete, Shared { reply, why });
        };
        let lacking = self.keys.len() - covered.len();
        let ended = match lacking > tolerable {
            true => Outcome::Incomplete,
            false => Outcome::Answered,
        };
        let reply = reply(response, &covered, snapshot).await;
        let why = (lacking > 0).then(|| format!("lacks {lacking} of {}", self.keys.len()));
        (ended, Shared { reply, why })
    }

    /// Returns what an answer says that it covers, if that was asked for.
    fn covered(&self, headers: &HeaderMap) -> Option<(KeySet, IndexVersion)> {
        let covered = keys(headers.get(COVERED)?)?;
        let is_asked = covered.difference(&self.keys).is_empty();
        let snapshot = number(headers, &SNAPSHOT)?;
        (is_asked && !covered.is_empty()).then_some((covered, snapshot))
    }
}

fn lost(error: &Error) -> Shared {
    let begun = match error.may_have_begun() {
        true => Progress::MaybeStarted,
        false => Progress::NotStarted,
    };
    Shared {
        reply: Err(begun),
        why: Some(error.to_string()),
    }
}

/// Makes a reply of one merged answer, which stands for all keys that it covers.
async fn reply(response: Response<Full<Bytes>>, covered: &KeySet, snapshot: IndexVersion) -> Part {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let value = Whole {
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

/// Writes into the answer for a part of a search what it covers.
pub(in crate::gateway) fn set_covered(
    headers: &mut HeaderMap,
    covered: &KeySet,
    snapshot: IndexVersion,
) {
    if let Ok(covered) = HeaderValue::from_str(&text(covered)) {
        headers.insert(COVERED, covered);
        headers.insert(SNAPSHOT, snapshot.into());
    }
}

fn text(keys: &KeySet) -> String {
    let ranges = keys.ranges().iter();
    let ranges: Vec<String> = ranges
        .map(|range| format!("{}-{}", range.start, range.end))
        .collect();
    ranges.join(",")
}

fn keys(value: &HeaderValue) -> Option<KeySet> {
    let ranges = value.to_str().ok()?.split(',');
    let ranges = ranges.map(|range| {
        let (start, end) = range.split_once('-')?;
        Some(Range::new(start.parse().ok()?, end.parse().ok()?))
    });
    ranges.collect()
}
