//! Tests how long a change takes to reach a host that polls readers, while those readers fail.
//!
//! Two readers of a data centre are frozen, suspended, killed or cut off from the store at random times, which may
//! overlap. The polling host can always reach the store, so each change must reach it within the bound. The simulation
//! advances in steps and runs the real selector, log and timing.

use monsoonring_decision::Time;
use monsoonring_decision::gateway::mirror::{Answer, Batch, Log, Position};
use monsoonring_decision::gateway::registry::Revision;
use monsoonring_decision::gateway::source::{Failure, Readers, Selector, Source};
use monsoonring_decision::gateway::timing::Timing;
use monsoonring_decision::member::MemberId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const STEP: Time = Time::from_millis(10);
/// Time during which changes are written.
const SIMULATED_TIME: Time = Time::from_secs(60);
const SEEDS: u64 = 400;

/// Time that a watch may exceed its wait before it counts as failed.
const WATCH_SLACK: Time = Time::from_millis(800);
/// Timeout of a full read of the store.
const READ_TIMEOUT: Time = Time::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The process stalls while its clock advances.
    Frozen,
    /// The process stalls and its clock stops, as on a suspended host.
    Suspended,
    /// The process is gone and loses its state.
    Killed,
    /// Calls to the store get no reply.
    Cut,
}

fn at(revision: Revision) -> Position {
    Position { era: 0, revision }
}

/// A simulated reader with its faults, each with its start and end.
struct Reader {
    log: Log,
    position: Option<Revision>,
    faults: Vec<(Fault, Time, Time)>,
    /// The open call to the store: its start, and its timeout on the reader's clock.
    call: Option<(Time, Time)>,
    pause: Time,
    /// Total time for which the clock was stopped.
    suspended: Time,
}

impl Reader {
    fn new(timing: Timing, rng: &mut ChaCha8Rng) -> Self {
        let kinds = [Fault::Frozen, Fault::Suspended, Fault::Killed, Fault::Cut];
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(1..6) {
            let from = Time::from_millis(rng.random_range(0..60_000));
            let to = from + Time::from_millis(rng.random_range(200..10_000));
            faults.push((kinds[rng.random_range(0..kinds.len())], from, to));
        }
        Self {
            log: Log::new(timing.freshness()),
            position: None,
            faults,
            call: None,
            pause: Time::ZERO,
            suspended: Time::ZERO,
        }
    }

    fn has(&self, fault: Fault, from: Time, to: Time) -> bool {
        let overlaps = |(kind, begin, end): &(Fault, Time, Time)| {
            *kind == fault && *begin <= to && *end >= from
        };
        self.faults.iter().any(overlaps)
    }

    fn step(&mut self, store: Revision, timing: Timing, now: Time) {
        if self.has(Fault::Suspended, now, now) {
            self.suspended += STEP;
            return;
        }
        if self.has(Fault::Killed, now, now) {
            let faults = std::mem::take(&mut self.faults);
            *self = Self {
                log: Log::new(timing.freshness()),
                position: None,
                faults,
                call: None,
                pause: Time::ZERO,
                suspended: self.suspended,
            };
            return;
        }
        let local = now - self.suspended;
        if self.has(Fault::Frozen, now, now) || local < self.pause {
            return;
        }
        let Some((began, until)) = self.call else {
            let limit = match self.position {
                Some(_) => timing.reader_watch(Time::ZERO) + WATCH_SLACK,
                None => READ_TIMEOUT,
            };
            self.call = Some((now, local + limit));
            return;
        };
        if self.has(Fault::Cut, began, now) {
            if local >= until {
                self.call = None;
                self.log.store_failed();
            }
            return;
        }
        self.on_reply(store, timing, began, now);
    }

    fn on_reply(&mut self, store: Revision, timing: Timing, began: Time, now: Time) {
        let Some(after) = self.position else {
            self.position = Some(store);
            self.log.reset(at(store), now - self.suspended);
            self.call = None;
            return;
        };
        if store == after && now < began + timing.reader_watch(Time::ZERO) {
            return;
        }
        let body = Arc::from([]);
        self.log.append(
            Batch {
                after: at(after),
                to: at(store),
                body,
            },
            now - self.suspended,
        );
        self.position = Some(store);
        self.call = None;
        if store > after {
            self.pause = now - self.suspended + timing.batch_pause();
        }
    }
}

/// The host that polls the readers.
struct Poller {
    selector: Selector,
    revision: Revision,
    open: Option<(Source, Time)>,
}

impl Poller {
    fn step(&mut self, readers: &[Reader], store: Revision, timing: Timing, now: Time) {
        let Some((source, since)) = self.open else {
            self.open = Some((self.selector.next(now), now));
            return;
        };
        let is_done = match source {
            Source::Wait(until) => now >= until,
            Source::StoreOnce => {
                self.on_store_reply(store);
                true
            }
            Source::Store => {
                let is_done = store > self.revision || now >= since + timing.watch(Time::ZERO);
                if is_done {
                    self.on_store_reply(store);
                }
                is_done
            }
            Source::Host(host) => self.poll(
                &readers[usize::from(host.port()) - 1],
                host,
                timing,
                (since, now),
            ),
        };
        if is_done {
            self.open = None;
        }
    }

    fn on_store_reply(&mut self, store: Revision) {
        self.revision = store;
        self.selector.store_answered();
    }

    /// Polls a reader and returns whether the poll is over.
    fn poll(
        &mut self,
        reader: &Reader,
        host: MemberId,
        timing: Timing,
        (since, now): (Time, Time),
    ) -> bool {
        if reader.has(Fault::Killed, now, now) {
            self.selector.reader_failed(host, Failure::Unreachable, now);
            return true;
        }
        if reader.has(Fault::Frozen, now, now) || reader.has(Fault::Suspended, now, now) {
            let is_late = now >= since + timing.poll_timeout();
            if is_late {
                self.selector.reader_failed(host, Failure::Unreachable, now);
            }
            return is_late;
        }
        match reader.log.answer(at(self.revision), now - reader.suspended) {
            Answer::UpToDate => {
                let is_done = now >= since + timing.poll();
                if is_done {
                    self.selector.reader_answered(host);
                }
                is_done
            }
            Answer::Batch(batch) => {
                self.revision = batch.to.revision;
                self.selector.reader_answered(host);
                true
            }
            Answer::Declined(_) => {
                self.selector.reader_failed(host, Failure::Declined, now);
                true
            }
        }
    }
}

/// Runs a simulation. Returns the longest time that a change took to reach the host.
fn simulate(seed: u64, bound: Duration) -> Time {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let timing = Timing::new(bound, bound * 2);
    let mut readers: Vec<Reader> = (0..2).map(|_| Reader::new(timing, &mut rng)).collect();
    let mut poller = Poller {
        selector: Selector::default(),
        revision: 0,
        open: None,
    };
    let address = |port: u16| MemberId::from(([127, 0, 0, 1], port));
    poller.selector.set_readers(Readers {
        is_reader: false,
        others: vec![address(1), address(2)],
    });
    let mut written: Vec<Time> = Vec::new();
    let (mut now, mut received, mut longest) = (Time::ZERO, 0, Time::ZERO);
    while now < SIMULATED_TIME + bound * 2 {
        if now < SIMULATED_TIME && rng.random_bool(0.005) {
            written.push(now);
        }
        let store = written.len() as Revision;
        for reader in &mut readers {
            reader.step(store, timing, now);
        }
        poller.step(&readers, store, timing, now);
        for at in &written[received..poller.revision as usize] {
            longest = longest.max(now - *at);
        }
        received = poller.revision as usize;
        now += STEP;
    }
    assert_eq!(
        received,
        written.len(),
        "seed {seed}: some changes never arrived"
    );
    longest
}

#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
#[test_case(12_000; "twelve_seconds")]
fn change_with_failing_readers_arrives_within_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let longest = (0..SEEDS).map(|seed| (simulate(seed, bound), seed));
    let (longest, seed) = longest.max().expect("there are seeds");
    assert!(longest < bound, "{longest:?} of {bound:?}, seed {seed}");
}

// Guards against a reader that the store rejects serving an outdated configuration: it must poll other readers.
#[test]
fn next_of_a_reader_rejected_by_the_store_alternates_with_other_readers() {
    let other = MemberId::from(([127, 0, 0, 1], 1));
    let mut selector = Selector::default();
    selector.set_readers(Readers {
        is_reader: true,
        others: vec![other],
    });
    assert_eq!(selector.next(Time::ZERO), Source::Store);
    for second in 0..3 {
        let now = Duration::from_secs(second);
        selector.store_failed(now);
        assert_eq!(selector.next(now), Source::Host(other));
        selector.reader_answered(other);
        assert_eq!(
            selector.next(now),
            Source::Store,
            "the store is tried again"
        );
    }
    selector.store_failed(Duration::from_secs(4));
    selector.reader_failed(other, Failure::Unreachable, Duration::from_secs(4));
    assert_eq!(selector.next(Duration::from_secs(4)), Source::Store);
    selector.store_answered();
    assert_eq!(selector.next(Duration::from_secs(9)), Source::Store);
}
