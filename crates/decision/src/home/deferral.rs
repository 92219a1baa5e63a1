//! Which searches get the further attempts when there are not enough for all.
//!
//! When servers fail much of what they are asked, nearly every search over ten shards loses some of
//! them, and the owners of the servers allow about two further attempts for each search. Handed out
//! as failures come, most go to searches that lose five shards and are lost all the same. So once the
//! budget of a group is scarce, a failed part waits until the other parts of its search have come or
//! failed too. Then it is known how many further attempts the search needs: one that needs few may
//! use all that is allowed, one that needs many only what others leave, and it gets all of them or
//! none.

use super::state::Home;
use super::timer::Timer;
use crate::budget::Importance;
use crate::content::Content;
use crate::query::search::{Cause, PartId, Search};
use crate::{RequestId, Time};
use std::time::Duration;

/// Part of the time up to the soft deadline that a failed part waits for the others at most. A
/// further attempt has to come back in what is left.
const WAIT_SHARE: f64 = 0.35;

impl<C: Content> Home<C> {
    /// Lets a failed part wait for the others, if further attempts are scarce and there is time.
    /// Returns whether it waits.
    pub(super) fn defers(&mut self, run: &mut Search<C>, id: PartId, now: Time) -> bool {
        let Some(soft) = self.params(&run.request).soft_deadline else {
            return false;
        };
        let until = run.started + Duration::from_millis(soft.after_ms).mul_f64(WAIT_SHARE);
        let others_in_progress = !run.live().is_empty();
        if !others_in_progress || now >= until {
            return false;
        }
        let Some(part) = run.parts.get_mut(&id) else {
            return false;
        };
        if !self.budgets.for_group(part.group).is_scarce(now) {
            return false;
        }
        if run.deferred.is_empty() {
            self.timers.set(until, Timer::Rescue(run.request.id));
        }
        run.deferred.insert(id);
        let why = format!("budget of retry scarce, part {id} waits for the others");
        self.log(Some(run.request.id), "defer", None, why);
        true
    }

    /// Decides on the parts that wait, if nothing of the others is in progress any more.
    pub(super) fn decide_deferred(&mut self, run: &mut Search<C>, now: Time) {
        if !run.deferred.is_empty() && run.live().is_empty() {
            self.rescue(run, now);
        }
    }

    /// The time that parts wait for the others is over.
    pub(super) fn rescue_due(&mut self, id: RequestId, now: Time) {
        self.with_run(id, now, |home, run| home.rescue(run, now));
    }

    /// Asks again for the parts that wait, if the budgets have what the search needs, and gives them
    /// up otherwise.
    fn rescue(&mut self, run: &mut Search<C>, now: Time) {
        let deferred: Vec<PartId> = std::mem::take(&mut run.deferred).into_iter().collect();
        let need = self.need_of_all(run, deferred.len());
        let (may, not): (Vec<PartId>, Vec<PartId>) = deferred
            .into_iter()
            .partition(|id| self.has_budget(run, *id, need, now));
        for id in not {
            let why = format!("budget of retry scarce, part {id}");
            self.log(Some(run.request.id), "deny", None, why);
            run.give_up(id);
        }
        for id in may {
            match self.is_hopeless(run) {
                true => run.give_up(id),
                false => self.assign_with(run, id, Cause::Retry, need, now),
            }
        }
    }

    /// Returns what rests on further attempts for as many parts: how many of them are beyond those
    /// that the answer can do without.
    fn need_of_all(&self, run: &Search<C>, parts: usize) -> Importance {
        let dispensable = self.dispensable(&run.request);
        let lost = run.parts.values().filter(|part| part.given_up.is_some());
        match (parts + lost.count()).saturating_sub(dispensable) {
            0 => Importance::Optional,
            needed => Importance::Required(u32::try_from(needed - 1).unwrap_or(u32::MAX)),
        }
    }

    fn has_budget(&mut self, run: &Search<C>, id: PartId, need: Importance, now: Time) -> bool {
        let group = run.parts.get(&id).map(|part| part.group);
        group.is_some_and(|group| self.budgets.for_group(group).has_retry(need, now))
    }
}
