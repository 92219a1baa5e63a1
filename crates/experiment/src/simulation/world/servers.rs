//! Connections, attempts and replies of backend servers.

use super::{ScheduledEvent, World};
use crate::simulation::host::{self, NoContent};
use crate::simulation::server::{Admission, ConnectionKey, Job, JobId, StartedJob};
use crate::simulation::work;
use monsoonring_decision::attempt::{ConnectFailure, Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::home::action::Send;
use rand::Rng;

impl World<'_> {
    pub(super) fn connect(&mut self, key: ConnectionKey, server: usize) {
        match self.servers[server].connect(key, self.now) {
            Admission::Started(number, end) => self
                .timeline
                .add(end, ScheduledEvent::JobDone(server, number)),
            Admission::Queued => {}
            Admission::Refused => {
                let failure = match self.servers[server].down {
                    true => ConnectFailure::Refused,
                    false => ConnectFailure::Closed,
                };
                self.statistics.rejected_connections +=
                    u64::from(failure == ConnectFailure::Closed);
                self.respond(key, server, Event::ConnectFailed(key.connection, failure));
            }
        }
    }

    pub(super) fn attempt(&mut self, key: ConnectionKey, number: usize, send: Send<NoContent>) {
        let server = &mut self.servers[number];
        if !server.has_connection(key) {
            return;
        }
        let kind = self.callers.get(&send.request).map(|caller| caller.kind);
        let (mean, spread) = match kind {
            Some(kind) => self.site.kinds[kind].work,
            // The request has already ended, but the cancellation has not reached the server.
            None => self.site.kinds[0].work,
        };
        let took = work::duration(mean, spread, &mut self.rng);
        let refuses = server.refusal_rate > 0.0 && self.rng.random_bool(server.refusal_rate);
        let job = Job::Attempt(send.attempt, send.ranges);
        let admission = match refuses {
            true => Admission::Refused,
            false => server.attempt(key, job, took, self.now),
        };
        match admission {
            Admission::Started(job, end) => {
                self.timeline.add(end, ScheduledEvent::JobDone(number, job))
            }
            Admission::Queued => {}
            Admission::Refused => {
                let failure = Failure::Refused {
                    refusal: Refusal::Shedding,
                    retry_after: None,
                    report: host::report(self.servers[number].load()),
                };
                self.respond(key, number, Event::Failed(send.attempt, failure));
            }
        }
    }

    pub(super) fn complete_job(&mut self, server: usize, number: JobId) {
        let (finished, started) = self.servers[server].finish(number, self.now);
        self.schedule_jobs(server, started);
        let Some((key, job)) = finished else { return };
        let (load, failure_rate) = (
            self.servers[server].load(),
            self.servers[server].failure_rate,
        );
        let event = match job {
            Job::Connect => Event::Opened(key.connection),
            Job::Attempt(attempt, _)
                if failure_rate > 0.0 && self.rng.random_bool(failure_rate) =>
            {
                let report = host::report(load);
                Event::Failed(attempt, Failure::ServerError { report })
            }
            Job::Attempt(attempt, ranges) => Event::Reply(attempt, host::reply(ranges, load)),
        };
        self.respond(key, server, event);
    }

    pub(super) fn schedule_jobs(&mut self, server: usize, started: Vec<StartedJob>) {
        for (number, end) in started {
            self.timeline
                .add(end, ScheduledEvent::JobDone(server, number));
        }
    }

    /// Sends an event from a server to the home of a connection.
    pub(super) fn respond(&mut self, key: ConnectionKey, server: usize, event: Event<NoContent>) {
        let at = self.now + self.delay(key.host, self.server_data_centres[server]);
        self.timeline
            .add(at, ScheduledEvent::HomeEvent(key.host, key.pool, event));
    }
}
