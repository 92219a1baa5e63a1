//! Model of a backend server: slots, queue, pauses and connections.

use super::site::Pool;
use monsoonring_configuration::Range;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::{AttemptId, ConnectionId};
use monsoonring_decision::reply::Load;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Identifies a connection: the home that opened it, and its id there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey {
    /// Index of the home's host.
    pub host: usize,
    /// Index of the home's pool.
    pub pool: usize,
    /// Id of the connection at the home.
    pub connection: ConnectionId,
}

/// Work that occupies a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// Accepting a connection.
    Connect,
    /// An attempt with its key ranges.
    Attempt(AttemptId, Vec<Range>),
}

/// Id of a running job, unique per server.
pub type JobId = u64;

/// A job with the connection that it belongs to.
pub type OwnedJob = (ConnectionKey, Job);

/// A started job and its end time.
pub type StartedJob = (JobId, Time);

/// Result of offering a job to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is refused, or the server is down.
    Refused,
    /// The job waits in the queue.
    Queued,
    /// The job has started and ends at this time.
    Started(JobId, Time),
}

/// A simulated backend server.
#[derive(Debug)]
pub struct Server {
    pool: Pool,
    pause_phase: Duration,
    connections: BTreeSet<ConnectionKey>,
    running: BTreeMap<JobId, OwnedJob>,
    queue: VecDeque<(ConnectionKey, Job, Duration)>,
    next: JobId,
    /// Factor on service times.
    pub slowdown: f64,
    /// Share of the attempts that it refuses without being overloaded.
    pub refusal_rate: f64,
    /// Share of the attempts that fail after being executed.
    pub failure_rate: f64,
    /// Whether the server is down.
    pub down: bool,
}

impl Server {
    /// Returns an idle server with a random pause phase.
    pub fn new(pool: &Pool, rng: &mut ChaCha8Rng) -> Self {
        let every = pool.pauses.map_or(Duration::from_secs(1), |p| p.every);
        Self {
            pool: pool.clone(),
            pause_phase: every.mul_f64(rng.random_range(0.0..1.0)),
            connections: BTreeSet::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
            slowdown: 1.0,
            refusal_rate: 0.0,
            failure_rate: 0.0,
            down: false,
        }
    }

    /// Accepts a connection, unless the server is down or has reached its connection limit.
    pub fn connect(&mut self, key: ConnectionKey, now: Time) -> Admission {
        if self.down || self.connections.len() >= self.pool.connections {
            return Admission::Refused;
        }
        self.connections.insert(key);
        let cost = self.pool.connect;
        self.admit(key, Job::Connect, cost, now)
    }

    /// Offers an attempt with service time `work`, before slowdown and pauses.
    pub fn attempt(
        &mut self,
        key: ConnectionKey,
        job: Job,
        work: Duration,
        now: Time,
    ) -> Admission {
        if self.queue.len() >= self.pool.queue {
            return Admission::Refused;
        }
        self.admit(key, job, work, now)
    }

    /// Returns whether a connection is open.
    pub fn has_connection(&self, key: ConnectionKey) -> bool {
        self.connections.contains(&key)
    }

    /// Finishes a job. Returns the job, or `None` if it was dropped, and the jobs that start now.
    pub fn finish(&mut self, id: JobId, now: Time) -> (Option<OwnedJob>, Vec<StartedJob>) {
        let ended = self.running.remove(&id);
        (ended, self.start_queued(now))
    }

    /// Closes a connection and drops its jobs. Returns the jobs that start now.
    pub fn disconnect(&mut self, key: ConnectionKey, now: Time) -> Vec<StartedJob> {
        self.connections.remove(&key);
        self.running.retain(|_, (of, _)| *of != key);
        self.queue.retain(|(of, _, _)| *of != key);
        self.start_queued(now)
    }

    /// Stops the server and drops all jobs. Returns the connections that close.
    pub fn crash(&mut self) -> BTreeSet<ConnectionKey> {
        self.down = true;
        self.running.clear();
        self.queue.clear();
        std::mem::take(&mut self.connections)
    }

    /// Returns the load that the server reports.
    pub fn load(&self) -> Load {
        Load {
            busy: self.running.len() as u32,
            slots: self.pool.slots as u32,
            queued: self.queue.len() as u32,
        }
    }

    fn admit(&mut self, key: ConnectionKey, job: Job, work: Duration, now: Time) -> Admission {
        if self.running.len() < self.pool.slots {
            let (id, end) = self.start(key, job, work, now);
            return Admission::Started(id, end);
        }
        self.queue.push_back((key, job, work));
        Admission::Queued
    }

    fn start_queued(&mut self, now: Time) -> Vec<StartedJob> {
        let mut started = Vec::new();
        while self.running.len() < self.pool.slots {
            let Some((key, job, work)) = self.queue.pop_front() else {
                break;
            };
            started.push(self.start(key, job, work, now));
        }
        started
    }

    fn start(&mut self, key: ConnectionKey, job: Job, work: Duration, now: Time) -> StartedJob {
        let id = self.next;
        self.next += 1;
        self.running.insert(id, (key, job));
        let work = work.mul_f64(self.slowdown);
        let end = match self.pool.pauses {
            Some(pauses) => pauses.end(self.pause_phase, now, work),
            None => now + work,
        };
        (id, end)
    }
}
