//! Deferred retries: which searches get retries while the retry budget is scarce.
//!
//! When servers fail many attempts, most searches lose several parts, and the budget covers only a
//! few retries per search. Granted in the order of the failures, most retries would go to searches
//! that fail anyway. So while the budget of a group is scarce, a failed part is deferred until the
//! other parts of its search have succeeded or failed. The search then retries all its deferred
//! parts or none: if it needs few retries it may use the whole budget, if it needs many only what
//! other searches leave.

use super::state::Home;
use super::timer::Timer;
use crate::budget::Importance;
use crate::content::Content;
use crate::query::search::{Cause, PartId, Search};
use crate::{RequestId, Time};
use std::time::Duration;

/// Longest deferral, as a share of the time up to the soft deadline. The retry has to complete in
/// the rest.
const MAX_DEFER_SHARE: f64 = 0.35;

impl<C: Content> Home<C> {
    /// Defers a failed part if the retry budget is scarce and there is time. Returns whether it was
    /// deferred.
    pub(super) fn try_defer(&mut self, search: &mut Search<C>, id: PartId, now: Time) -> bool {
        let Some(soft) = self.params(&search.request).soft_deadline else {
            return false;
        };
        let until = search.started + Duration::from_millis(soft.after_ms).mul_f64(MAX_DEFER_SHARE);
        let others_in_progress = !search.live().is_empty();
        if !others_in_progress || now >= until {
            return false;
        }
        let Some(part) = search.parts.get_mut(&id) else {
            return false;
        };
        if !self.budgets.for_group(part.group).is_scarce(now) {
            return false;
        }
        if search.deferred.is_empty() {
            self.timers.set(until, Timer::Deferral(search.request.id));
        }
        search.deferred.insert(id);
        let rationale = format!("retry budget is scarce, part {id} waits for the other parts");
        self.log(Some(search.request.id), "defer", None, rationale);
        true
    }

    /// Decides on the deferred parts as soon as no attempt of the search is in progress.
    pub(super) fn decide_deferred(&mut self, search: &mut Search<C>, now: Time) {
        if !search.deferred.is_empty() && search.live().is_empty() {
            self.retry_deferred(search, now);
        }
    }

    /// Decides on the deferred parts because the longest deferral has passed.
    pub(super) fn deferral_expired(&mut self, id: RequestId, now: Time) {
        self.with_search(id, now, |home, search| home.retry_deferred(search, now));
    }

    /// Retries the deferred parts if the budgets cover what the search needs, and gives them up
    /// otherwise.
    fn retry_deferred(&mut self, search: &mut Search<C>, now: Time) {
        let deferred: Vec<PartId> = std::mem::take(&mut search.deferred).into_iter().collect();
        let importance = self.deferred_importance(search, deferred.len());
        let (affordable, denied): (Vec<PartId>, Vec<PartId>) = deferred
            .into_iter()
            .partition(|id| self.has_budget(search, *id, importance, now));
        for id in denied {
            let rationale = format!("retry budget is scarce, part {id} given up");
            self.log(Some(search.request.id), "deny", None, rationale);
            search.give_up(id);
        }
        for id in affordable {
            match self.cannot_reach_min_coverage(search) {
                true => search.give_up(id),
                false => self.assign_with(search, id, Cause::Retry, importance, now),
            }
        }
    }

    /// Returns how important the retries of `parts` deferred parts are: the number of parts beyond
    /// those that the answer can do without.
    fn deferred_importance(&self, search: &Search<C>, parts: usize) -> Importance {
        let dispensable = self.dispensable(&search.request);
        let lost = search.parts.values().filter(|part| part.given_up.is_some());
        match (parts + lost.count()).saturating_sub(dispensable) {
            0 => Importance::Optional,
            needed => Importance::Required(u32::try_from(needed - 1).unwrap_or(u32::MAX)),
        }
    }

    fn has_budget(
        &mut self,
        search: &Search<C>,
        id: PartId,
        importance: Importance,
        now: Time,
    ) -> bool {
        let group = search.parts.get(&id).map(|part| part.group);
        group.is_some_and(|group| self.budgets.for_group(group).has_retry(importance, now))
    }
}
