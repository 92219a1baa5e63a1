//! Callers: send requests, wait for answers, and retry.

use super::{Caller, MAX_RETRIES, MAX_WAIT_DIVISOR, Reply, ScheduledEvent, WARM_UP, World};
use crate::simulation::statistics::Completion;
use crate::simulation::work;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::delivery;
use monsoonring_decision::gateway::helper::Centicores;
use monsoonring_decision::home::Event;
use monsoonring_decision::home::event::{Request, Scope};
use rand::Rng;
use std::collections::HashSet;
use std::time::Duration;

/// Processor capacity of a host, in hundredths of a core.
const HOST_CAPACITY: Centicores = 25;

impl World<'_> {
    pub(super) fn arrival(&mut self, kind: usize) {
        if self.now >= WARM_UP + self.day.length {
            return;
        }
        let per_second = self.site.kinds[kind].per_second * self.burst;
        let gap = work::gap(per_second, &mut self.rng);
        self.timeline
            .add(self.now + gap, ScheduledEvent::Arrival(kind));
        let caller = Caller {
            id: self.next_request,
            kind,
            requested_at: self.now,
            retries: MAX_RETRIES,
            was_refused: false,
        };
        self.next_request += 1;
        self.submit(caller, self.now);
    }

    pub(super) fn submit(&mut self, caller: Caller, at: Time) {
        let arrives_at = at + self.site.caller_delay;
        self.timeline
            .add(arrives_at, ScheduledEvent::RequestReceived(caller));
    }

    pub(super) fn receive_request(&mut self, caller: Caller) {
        let kind = &self.site.kinds[caller.kind];
        let host = self.rng.random_range(0..self.host_data_centres.len());
        self.callers.insert(caller.id, caller);
        self.reached.insert(caller.id, HashSet::new());
        let request = Request {
            id: caller.id,
            caller: "caller".into(),
            class: self.routes[caller.kind].class(),
            deadline: caller.requested_at + kind.deadline,
            fingerprint: caller.id as u64,
            body: (),
            execute_key: None,
            params: Some(self.routes[caller.kind].params(delivery::margin(HOST_CAPACITY))),
            scope: Scope::default(),
        };
        self.deliver(host, kind.pool, Event::Request(request));
    }

    pub(super) fn receive_answer(&mut self, caller: Caller, reply: Reply) {
        let deadline = caller.requested_at + self.site.kinds[caller.kind].deadline;
        let remaining = deadline.saturating_sub(self.now);
        let retry_after = match reply {
            Reply::Answer(coverage) if !remaining.is_zero() => {
                return self.complete(caller, Some(coverage));
            }
            Reply::Refused(wait) if wait <= remaining / MAX_WAIT_DIVISOR => Some(wait),
            Reply::Failed if !remaining.is_zero() => Some(Duration::ZERO),
            _ => None,
        };
        if let Reply::Refused(_) = reply {
            self.statistics.refused.0 += 1;
            self.statistics.refused.1 += u64::from(caller.was_refused);
        }
        match retry_after.filter(|_| caller.retries > 0) {
            Some(wait) => {
                let caller = Caller {
                    id: self.next_request,
                    retries: caller.retries - 1,
                    was_refused: matches!(reply, Reply::Refused(_)),
                    ..caller
                };
                self.next_request += 1;
                self.submit(caller, self.now + wait);
            }
            None => self.complete(caller, None),
        }
    }

    pub(super) fn complete(&mut self, caller: Caller, coverage: Option<f64>) {
        let completion = Completion {
            kind: caller.kind,
            requested_at: caller.requested_at - WARM_UP,
            answer: coverage.map(|coverage| (self.now - WARM_UP, coverage)),
        };
        self.statistics.record_completion(self.site, completion);
    }
}
