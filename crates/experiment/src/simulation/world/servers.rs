//! What comes to servers, and what they send back.

use super::{Next, World};
use crate::simulation::host::{self, Blank};
use crate::simulation::server::{Begun, Job, Line, Number, Taken};
use crate::simulation::work;
use monsoonring_decision::attempt::{ConnectFailure, Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::home::action::Send;
use rand::Rng;

impl World<'_> {
    pub(super) fn connect(&mut self, line: Line, server: usize) {
        match self.servers[server].connect(line, self.now) {
            Taken::Begun(number, end) => self.timeline.add(end, Next::Done(server, number)),
            Taken::Waiting => {}
            Taken::Refused => {
                let why = match self.servers[server].down {
                    true => ConnectFailure::Refused,
                    false => ConnectFailure::Closed,
                };
                self.tally.unopened += u64::from(why == ConnectFailure::Closed);
                self.tell(line, server, Event::ConnectFailed(line.connection, why));
            }
        }
    }

    pub(super) fn attempt(&mut self, line: Line, number: usize, send: Send<Blank>) {
        let server = &mut self.servers[number];
        if !server.has(line) {
            return;
        }
        let kind = self.callers.get(&send.request).map(|caller| caller.kind);
        let (mean, spread) = match kind {
            Some(kind) => self.site.kinds[kind].work,
            // Its caller has its answer already; the server does not know.
            None => self.site.kinds[0].work,
        };
        let took = work::duration(mean, spread, &mut self.rng);
        let refuses = server.refusing > 0.0 && self.rng.random_bool(server.refusing);
        let job = Job::Attempt(send.attempt, send.ranges);
        let taken = match refuses {
            true => Taken::Refused,
            false => server.attempt(line, job, took, self.now),
        };
        match taken {
            Taken::Begun(job, end) => self.timeline.add(end, Next::Done(number, job)),
            Taken::Waiting => {}
            Taken::Refused => {
                let failure = Failure::Refused {
                    refusal: Refusal::Shedding,
                    retry_after: None,
                    report: host::report(self.servers[number].load()),
                };
                self.tell(line, number, Event::Failed(send.attempt, failure));
            }
        }
    }

    pub(super) fn done(&mut self, server: usize, number: Number) {
        let (ended, begun) = self.servers[server].done(number, self.now);
        self.begun(server, begun);
        let Some((line, job)) = ended else { return };
        let (load, failing) = (self.servers[server].load(), self.servers[server].failing);
        let event = match job {
            Job::Connect => Event::Opened(line.connection),
            Job::Attempt(attempt, _) if failing > 0.0 && self.rng.random_bool(failing) => {
                let report = host::report(load);
                Event::Failed(attempt, Failure::ServerError { report })
            }
            Job::Attempt(attempt, ranges) => Event::Reply(attempt, host::reply(ranges, load)),
        };
        self.tell(line, server, event);
    }

    pub(super) fn begun(&mut self, server: usize, begun: Vec<Begun>) {
        for (number, end) in begun {
            self.timeline.add(end, Next::Done(server, number));
        }
    }

    /// Sends something back over a connection.
    pub(super) fn tell(&mut self, line: Line, server: usize, event: Event<Blank>) {
        let at = self.now + self.delay(line.host, self.stand[server]);
        self.timeline
            .add(at, Next::Heard(line.host, line.pool, event));
    }
}
