//! One backend server: slots, a queue, pauses, connections.

use super::site::Pool;
use monsoonring_configuration::Range;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::{AttemptId, ConnectionId};
use monsoonring_decision::reply::Load;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Which home a connection comes from: host and pool, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Line {
    /// The host.
    pub host: usize,
    /// The pool that its home drives.
    pub pool: usize,
    /// The connection at that home.
    pub connection: ConnectionId,
}

/// What a slot is taken for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// Making a connection.
    Connect,
    /// An attempt, with the keys that it asks for.
    Attempt(AttemptId, Vec<Range>),
}

/// Number of a job that was begun.
pub type Number = u64;

/// Whose a job is, and what it is.
pub type Held = (Line, Job);

/// A job that was begun, and when it ends.
pub type Begun = (Number, Time);

/// What became of something that came to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is refused, or the server is not there.
    Refused,
    /// It waits.
    Waiting,
    /// It is worked on until then.
    Begun(Number, Time),
}

/// A server.
#[derive(Debug)]
pub struct Server {
    pool: Pool,
    phase: Duration,
    connections: BTreeSet<Line>,
    running: BTreeMap<Number, Held>,
    waiting: VecDeque<(Line, Job, Duration)>,
    next: Number,
    /// Factor on the time that work takes.
    pub slow: f64,
    /// Share of the attempts that it refuses without need.
    pub refusing: f64,
    /// Share of the attempts that it fails after it has worked on them.
    pub failing: f64,
    /// Whether nobody is there.
    pub down: bool,
}

impl Server {
    /// Makes an idle server with pauses at a time of its own.
    pub fn new(pool: &Pool, rng: &mut ChaCha8Rng) -> Self {
        let every = pool.pauses.map_or(Duration::from_secs(1), |p| p.every);
        Self {
            pool: pool.clone(),
            phase: every.mul_f64(rng.random_range(0.0..1.0)),
            connections: BTreeSet::new(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
            slow: 1.0,
            refusing: 0.0,
            failing: 0.0,
            down: false,
        }
    }

    /// Takes a connection in; refused where there are too many or nobody is there.
    pub fn connect(&mut self, line: Line, now: Time) -> Taken {
        if self.down || self.connections.len() >= self.pool.connections {
            return Taken::Refused;
        }
        self.connections.insert(line);
        let cost = self.pool.connect;
        self.take(line, Job::Connect, cost, now)
    }

    /// Takes an attempt in that takes `work` at its usual speed.
    pub fn attempt(&mut self, line: Line, job: Job, work: Duration, now: Time) -> Taken {
        if self.waiting.len() >= self.pool.queue {
            return Taken::Refused;
        }
        self.take(line, job, work, now)
    }

    /// Tells whether a connection is still there.
    pub fn has(&self, line: Line) -> bool {
        self.connections.contains(&line)
    }

    /// Ends a job. Returns what it was, unless it was dropped meanwhile, and what begins in its
    /// place.
    pub fn done(&mut self, number: Number, now: Time) -> (Option<Held>, Vec<Begun>) {
        let ended = self.running.remove(&number);
        (ended, self.begin_waiting(now))
    }

    /// Ends a connection and what was asked over it. Returns what begins in its place.
    pub fn disconnect(&mut self, line: Line, now: Time) -> Vec<Begun> {
        self.connections.remove(&line);
        self.running.retain(|_, (of, _)| *of != line);
        self.waiting.retain(|(of, _, _)| *of != line);
        self.begin_waiting(now)
    }

    /// Goes down, with all that it had. Returns the connections that end.
    pub fn crash(&mut self) -> BTreeSet<Line> {
        self.down = true;
        self.running.clear();
        self.waiting.clear();
        std::mem::take(&mut self.connections)
    }

    /// Returns what it says of its load.
    pub fn load(&self) -> Load {
        Load {
            busy: self.running.len() as u32,
            slots: self.pool.slots as u32,
            queued: self.waiting.len() as u32,
        }
    }

    fn take(&mut self, line: Line, job: Job, work: Duration, now: Time) -> Taken {
        if self.running.len() < self.pool.slots {
            let (number, end) = self.begin(line, job, work, now);
            return Taken::Begun(number, end);
        }
        self.waiting.push_back((line, job, work));
        Taken::Waiting
    }

    fn begin_waiting(&mut self, now: Time) -> Vec<Begun> {
        let mut begun = Vec::new();
        while self.running.len() < self.pool.slots {
            let Some((line, job, work)) = self.waiting.pop_front() else {
                break;
            };
            begun.push(self.begin(line, job, work, now));
        }
        begun
    }

    fn begin(&mut self, line: Line, job: Job, work: Duration, now: Time) -> Begun {
        let number = self.next;
        self.next += 1;
        self.running.insert(number, (line, job));
        let work = work.mul_f64(self.slow);
        let end = match self.pool.pauses {
            Some(pauses) => pauses.end(self.phase, now, work),
            None => now + work,
        };
        (number, end)
    }
}
