//! Callers: they ask, wait, and come back once.

use super::{Caller, LEAD, Next, PATIENCE, RETRIES, Reply, World};
use crate::simulation::tally::Ended;
use crate::simulation::work;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::delivery;
use monsoonring_decision::gateway::helper::Centicores;
use monsoonring_decision::home::Event;
use monsoonring_decision::home::event::{Request, Scope};
use rand::Rng;
use std::collections::HashSet;
use std::time::Duration;

/// What the modelled hosts have of a core, in hundredths, as the deployments of 7 to 9 hosts.
const STRENGTH: Centicores = 25;

impl World<'_> {
    pub(super) fn arrival(&mut self, kind: usize) {
        if self.now >= LEAD + self.day.length {
            return;
        }
        let per_second = self.site.kinds[kind].per_second * self.burst;
        let gap = work::gap(per_second, &mut self.rng);
        self.timeline.add(self.now + gap, Next::Arrival(kind));
        let caller = Caller {
            id: self.next_request,
            kind,
            asked: self.now,
            retries: RETRIES,
            returns: false,
        };
        self.next_request += 1;
        self.ask(caller, self.now);
    }

    pub(super) fn ask(&mut self, caller: Caller, at: Time) {
        let reaches = at + self.site.caller_delay;
        self.timeline.add(reaches, Next::Asked(caller));
    }

    pub(super) fn asked(&mut self, caller: Caller) {
        let kind = &self.site.kinds[caller.kind];
        let host = self.rng.random_range(0..self.places.len());
        self.callers.insert(caller.id, caller);
        self.reached.insert(caller.id, HashSet::new());
        let request = Request {
            id: caller.id,
            caller: "caller".into(),
            class: self.routes[caller.kind].class(),
            deadline: caller.asked + kind.deadline,
            fingerprint: caller.id as u64,
            body: (),
            execute_key: None,
            params: Some(self.routes[caller.kind].params(delivery::margin(STRENGTH))),
            scope: Scope::default(),
        };
        self.heard(host, kind.pool, Event::Request(request));
    }

    pub(super) fn answered(&mut self, caller: Caller, reply: Reply) {
        let deadline = caller.asked + self.site.kinds[caller.kind].deadline;
        let left = deadline.saturating_sub(self.now);
        let back = match reply {
            Reply::Answer(coverage) if !left.is_zero() => {
                return self.ended(caller, Some(coverage));
            }
            Reply::Refused(wait) if wait <= left / PATIENCE => Some(wait),
            Reply::Failed if !left.is_zero() => Some(Duration::ZERO),
            _ => None,
        };
        if let Reply::Refused(_) = reply {
            self.tally.refused.0 += 1;
            self.tally.refused.1 += u64::from(caller.returns);
        }
        match back.filter(|_| caller.retries > 0) {
            Some(wait) => {
                let caller = Caller {
                    id: self.next_request,
                    retries: caller.retries - 1,
                    returns: matches!(reply, Reply::Refused(_)),
                    ..caller
                };
                self.next_request += 1;
                self.ask(caller, self.now + wait);
            }
            None => self.ended(caller, None),
        }
    }

    pub(super) fn ended(&mut self, caller: Caller, coverage: Option<f64>) {
        let ended = Ended {
            kind: caller.kind,
            asked: caller.asked - LEAD,
            answer: coverage.map(|coverage| (self.now - LEAD, coverage)),
        };
        self.tally.ended(self.site, ended);
    }
}
