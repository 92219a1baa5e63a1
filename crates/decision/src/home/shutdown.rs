//! Ends the requests of a home before its daemon exits.
//!
//! When the daemon exits, its connections close. A caller whose request still waits then gets no
//! answer and can't know that the request did not run. So each request is refused as soon as it
//! can't be answered in time, and what is left when the daemon exits ends with what is known of it.

use super::event::Request;
use super::state::Home;
use super::timer::Timer;
use crate::content::Content;
use crate::outcome::Reason;
use crate::query::search::{PartId, Waiter};
use crate::{RequestId, Time};
use std::time::Duration;

/// Latency quantile of an attempt that has to fit between its start and the end of the shutdown. A
/// non-idempotent request that is still running then ends with an unknown outcome.
const LATENCY_QUANTILE: f64 = 0.95;

/// Share of the shutdown that is kept for an attempt whose latency is unknown.
const DEFAULT_LATENCY_SHARE: f64 = 0.25;

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shutdown {
    began: Time,
    /// Time by which all requests have ended.
    end: Time,
}

impl<C: Content> Home<C> {
    /// Begins the shutdown, or moves its end forward. All requests end by `end` at the latest.
    pub(super) fn shut_down(&mut self, end: Time, now: Time) {
        let Shutdown { began, end } = match self.shutdown {
            Some(Shutdown { began, end: old }) => Shutdown {
                began,
                end: end.min(old),
            },
            None => Shutdown { began: now, end },
        };
        self.shutdown = Some(Shutdown { began, end });
        self.timers.set(end, Timer::Shutdown);
        let searches = self.searches.values().map(|search| &search.request);
        let executions = self.executions.values().map(|execution| &execution.request);
        let last_sends: Vec<(Time, RequestId)> = searches
            .chain(executions)
            .filter_map(|request| Some((self.last_send(request)?, request.id)))
            .collect();
        for (at, id) in last_sends {
            self.timers.set(at, Timer::LastSend(id));
        }
        for (_, _, request, part) in self.late_waiters(now) {
            self.refuse_waiter(request, part, now);
        }
        if end <= now {
            self.end_all(now);
        }
    }

    /// Returns the last time at which an attempt of a request may be sent; `None` without a
    /// shutdown.
    pub(super) fn last_send(&self, request: &Request<C>) -> Option<Time> {
        let Shutdown { began, end } = self.shutdown?;
        let work = self.params(request).work;
        let latency = self.fleet.latency_of(work, LATENCY_QUANTILE);
        let default = || end.saturating_sub(began).mul_f64(DEFAULT_LATENCY_SHARE);
        Some(end.saturating_sub(latency.unwrap_or_else(default)))
    }

    /// Returns whether a new request can't be answered before the daemon exits.
    pub(super) fn is_too_late_for_shutdown(&self, request: &Request<C>, now: Time) -> bool {
        let Some(last_send) = self.last_send(request) else {
            return false;
        };
        let groups = self.waiting.iter();
        let mut waits: Vec<Duration> = groups
            .map(|(group, waiting)| self.time_to_send(*group, waiting.len()))
            .collect();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        let wait = waits.get(self.dispensable(request));
        now + wait.copied().unwrap_or_default() >= last_send
    }

    /// Returns the waiters that are not expected to be sent in time, judged by the rate at which
    /// this home sends.
    fn late_waiters(&self, now: Time) -> Vec<Waiter> {
        let mut late = Vec::new();
        for (group, waiting) in &self.waiting {
            let mut ahead = 0;
            for waiter in waiting {
                let request = self.request(waiter.2);
                let last_send = request.and_then(|request| self.last_send(request));
                let Some(last_send) = last_send else { continue };
                if now + self.time_to_send(*group, ahead) >= last_send {
                    late.push(*waiter);
                } else {
                    ahead += 1;
                }
            }
        }
        late
    }

    fn time_to_send(&self, group: usize, attempts: usize) -> Duration {
        match group < self.route.groups.len() {
            true => self.fleet.time_to_send(group, attempts),
            false => Duration::ZERO,
        }
    }

    fn request(&self, id: RequestId) -> Option<&Request<C>> {
        let search = self.searches.get(&id).map(|search| &search.request);
        search.or_else(|| Some(&self.executions.get(&id)?.request))
    }

    /// Ends a waiting request, or gives up a waiting part of a search.
    fn refuse_waiter(&mut self, request: RequestId, part: Option<PartId>, now: Time) {
        let Some(part) = part else {
            self.refuse_unsent(request, now);
            return;
        };
        self.with_search(request, now, |_, search| {
            if let Some(part) = search.parts.get_mut(&part) {
                part.last_failure = Some(Reason::Stopping);
                part.give_up();
            }
        });
    }

    /// Ends a request that provably did not run.
    pub(super) fn refuse_unsent(&mut self, id: RequestId, now: Time) {
        if let Some(search) = self.searches.remove(&id) {
            match search.has_not_run() {
                true => self.finish_search(search, Reason::Stopping, now),
                false => drop(self.searches.insert(id, search)),
            }
        } else if let Some(execution) = self.executions.remove(&id) {
            match execution.is_sent() {
                false => self.finish_execution(execution, Reason::Stopping, now),
                true => drop(self.executions.insert(id, execution)),
            }
        }
    }

    /// Ends all requests: searches with the results so far, others as not run or unknown.
    pub(super) fn end_all(&mut self, now: Time) {
        while let Some((_, search)) = self.searches.pop_first() {
            self.finish_search(search, Reason::Stopping, now);
        }
        while let Some((_, execution)) = self.executions.pop_first() {
            self.finish_execution(execution, Reason::Stopping, now);
        }
    }
}
