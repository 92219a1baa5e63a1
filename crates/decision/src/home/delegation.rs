//! Searches of which another home looks through a part.
//!
//! What the other home covers is merged like the reply of a backend server, so that coverage, soft deadline and the end
//! of the search are those of the whole answer. Its keys are not asked for here while it may have begun: it may ask as
//! many servers of a group as the request may run on.

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
    /// Takes in what another home has looked through.
    pub(super) fn gathered(&mut self, id: RequestId, reply: Reply<C::Value>, now: Time) {
        self.with_run(id, now, |home, run| {
            run.fanout.record_send();
            let minimum = home.route.minimum_index_version;
            let covered: KeySet = reply.ranges.iter().copied().collect();
            let elsewhere = run.take_delegated();
            let is_asked = covered.difference(&elsewhere).is_empty();
            if !is_asked
                || merge::check(&reply).is_err()
                || !run.accepts_version(reply.index_version, minimum)
            {
                home.lose_elsewhere(run, &elsewhere, "answered what was not asked");
                return;
            }
            run.accept_delegated(&covered, reply);
            let lost = elsewhere.difference(&covered);
            if !lost.is_empty() {
                home.lose_elsewhere(run, &lost, "not covered");
            }
        });
    }

    /// Takes in that another home does not look through what it was asked for.
    pub(super) fn not_gathered(&mut self, id: RequestId, begun: Progress, now: Time) {
        self.with_run(id, now, |home, run| {
            let elsewhere = run.take_delegated();
            match begun {
                Progress::NotStarted => {
                    let why = format!("keys {:?} are asked for here", elsewhere.ranges());
                    home.log(Some(id), "elsewhere", None, why);
                    for part in run.add_new_parts(&elsewhere, &home.route) {
                        home.assign(run, part, Cause::First, now);
                    }
                }
                Progress::MaybeStarted => {
                    run.fanout.record_send();
                    home.lose_elsewhere(run, &elsewhere, "lost");
                }
            }
        });
    }

    /// Gives up keys that another home was asked for.
    fn lose_elsewhere(&mut self, run: &mut Search<C>, keys: &KeySet, what: &str) {
        let why = format!("keys {:?} elsewhere: {what}", keys.ranges());
        self.log(Some(run.request.id), "elsewhere", None, why);
        run.give_up_keys(keys, &self.route, Reason::Lost);
    }
}
