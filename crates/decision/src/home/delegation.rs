//! Searches that delegate some of their keys to another home.
//!
//! The other home's reply is merged like the reply of a backend server, so coverage, soft deadline
//! and completion are those of the whole answer. As long as the other home may have started, this
//! home doesn't search the delegated keys itself: the other home may already have sent as many
//! attempts per part as the request allows.

use super::event::Progress;
use super::state::Home;
use crate::content::Content;
use crate::outcome::Reason;
use crate::query::coverage::KeySet;
use crate::query::merge;
use crate::query::search::{Cause, Search};
use crate::reply::Reply;
use crate::{RequestId, Time};

impl<C: Content> Home<C> {
    /// Merges another home's reply for the delegated keys.
    pub(super) fn delegated_reply(&mut self, id: RequestId, reply: Reply<C::Value>, now: Time) {
        self.with_search(id, now, |home, search| {
            search.fanout.record_send();
            let minimum = home.route.minimum_index_version;
            let covered: KeySet = reply.ranges.iter().copied().collect();
            let delegated = search.take_delegated();
            let is_delegated = covered.difference(&delegated).is_empty();
            if !is_delegated
                || merge::check(&reply).is_err()
                || !search.accepts_version(reply.index_version, minimum)
            {
                home.give_up_delegated(search, &delegated, "invalid reply");
                return;
            }
            search.accept_delegated(&covered, reply);
            let lost = delegated.difference(&covered);
            if !lost.is_empty() {
                home.give_up_delegated(search, &lost, "missing from the reply");
            }
        });
    }

    /// Searches the delegated keys here if the other home did not start, and gives them up
    /// otherwise.
    pub(super) fn delegation_failed(&mut self, id: RequestId, progress: Progress, now: Time) {
        self.with_search(id, now, |home, search| {
            let delegated = search.take_delegated();
            match progress {
                Progress::NotStarted => {
                    let rationale =
                        format!("delegated keys {:?} searched here", delegated.ranges());
                    home.log(Some(id), "elsewhere", None, rationale);
                    for part in search.add_new_parts(&delegated, &home.route) {
                        home.assign(search, part, Cause::First, now);
                    }
                }
                Progress::MaybeStarted => {
                    search.fanout.record_send();
                    home.give_up_delegated(search, &delegated, "no reply");
                }
            }
        });
    }

    /// Gives up delegated keys for which no usable reply exists.
    fn give_up_delegated(&mut self, search: &mut Search<C>, keys: &KeySet, problem: &str) {
        let rationale = format!("delegated keys {:?} given up: {problem}", keys.ranges());
        self.log(Some(search.request.id), "elsewhere", None, rationale);
        search.give_up_keys(keys, &self.route, Reason::Lost);
    }
}
