//! Tests that each host has exactly the store's contents at the host's position, whatever the source of the changes.
//!
//! Seeded random walks over a store, hosts that read it and hosts that poll those readers. Messages are delayed, lost,
//! duplicated and reordered; hosts restart; the store compacts its history or is restored from an older backup. After
//! each step every host is compared with the store at its position. The walks must also detect deliberate faults.

use monsoonring_decision::gateway::mirror::{
    Answer, Batch, DeclineReason, Era, Log, Position, is_new,
};
use monsoonring_decision::gateway::registry::Revision;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const KEYS: u8 = 3;
const READERS: usize = 2;
const POLLERS: usize = 3;
const STEPS: usize = 400;
const WALKS: u64 = 300;

/// Longer than any walk, so that readers never count as stale.
const FRESHNESS: Duration = Duration::from_secs(1_000_000);

/// The keys that exist in the store, with the revision of their last write.
type Contents = BTreeMap<u8, Revision>;

/// One write or deletion of a key.
#[derive(Clone, Copy, Debug)]
struct Change {
    key: u8,
    revision: Revision,
    deleted: bool,
}

/// A deliberate fault that the random walks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A reader returns its last batch, whatever the position of the poller.
    ReturnsLastBatch,
    /// A poller applies every change of a reply and adopts the position of the reply.
    AppliesAll,
    /// Positions of different eras of the store are compared.
    IgnoresEras,
    /// A reader that sees a later era keeps its contents and continues its watch.
    ContinuesWatch,
}

struct Store {
    /// The history of changes, by era.
    eras: Vec<Vec<Change>>,
    /// Revision up to which the history is compacted.
    compacted: Revision,
}

impl Store {
    fn era(&self) -> Era {
        self.eras.len() as Era - 1
    }

    fn changes(&self) -> &[Change] {
        &self.eras[self.eras.len() - 1]
    }

    fn position(&self) -> Position {
        Position {
            era: self.era(),
            revision: self.changes().len() as Revision,
        }
    }

    fn contents(&self, at: Position) -> Contents {
        let mut contents = Contents::new();
        for change in &self.eras[at.era as usize][..at.revision as usize] {
            apply(&mut contents, *change);
        }
        contents
    }

    /// Restores the store from a backup that lacks the last changes. This starts a new era.
    fn restore(&mut self, lost: usize) {
        let kept = self.changes().len().saturating_sub(lost);
        let copy = self.changes()[..kept].to_vec();
        self.eras.push(copy);
        self.compacted = self.compacted.min(kept as Revision);
    }

    /// Answers a watch from a revision. As in the real store, the era of that revision is unknown.
    fn since(&self, after: Revision) -> Option<Batch> {
        let Position { era, revision: to } = self.position();
        let body: Arc<[u8]> = Arc::from([era as u8]);
        let at = |revision| Position { era, revision };
        let is_known = after >= self.compacted && after <= to;
        is_known.then(|| Batch {
            after: at(after),
            to: at(to),
            body,
        })
    }

    /// Returns the changes in a batch.
    fn decode(&self, batch: &Batch) -> Vec<Change> {
        let changes = &self.eras[usize::from(batch.body[0])];
        changes[batch.after.revision as usize..batch.to.revision as usize].to_vec()
    }
}

fn apply(contents: &mut Contents, change: Change) {
    match change.deleted {
        true => contents.remove(&change.key),
        false => contents.insert(change.key, change.revision),
    };
}

/// The position and the contents that a host has.
#[derive(Clone, Default)]
struct Host {
    known: Option<(Position, Contents)>,
}

impl Host {
    fn load(&mut self, at: Position, contents: Contents) {
        let is_newer = self.known.as_ref().is_none_or(|(known, _)| *known <= at);
        if is_newer {
            self.known = Some((at, contents));
        }
    }

    /// Applies a reply to a poll from this or an earlier position.
    fn apply_batch(&mut self, batch: &Batch, changes: &[Change], mutant: Mutant) {
        let Some((known, contents)) = &mut self.known else {
            return;
        };
        let applies_all = mutant == Mutant::AppliesAll;
        if batch.to <= *known && !applies_all {
            return;
        }
        for change in changes {
            if applies_all || is_new(change.revision, known.revision) {
                apply(contents, *change);
            }
        }
        *known = batch.to;
    }
}

/// A message in transit.
#[derive(Clone)]
enum Message {
    /// The store's reply to a watch: the reader, its incarnation and the batch.
    WatchReply(usize, u64, Batch),
    /// A reader's reply to a poll: the poller, its incarnation and the batch.
    PollReply(usize, u64, Batch),
}

struct World {
    store: Store,
    readers: Vec<(Log, Host, u64)>,
    pollers: Vec<(Host, u64)>,
    messages: Vec<Message>,
    mutant: Mutant,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        Self {
            store: Store {
                eras: vec![Vec::new()],
                compacted: 0,
            },
            readers: (0..READERS)
                .map(|_| (Log::new(FRESHNESS), Host::default(), 0))
                .collect(),
            pollers: vec![(Host::default(), 0); POLLERS],
            messages: Vec::new(),
            mutant,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..20 => self.write(),
            20..21 => self.store.compacted = self.store.position().revision,
            21..22 => self.restore_store(),
            22..40 => self.watch(),
            40..45 => self.load_any_reader(),
            45..70 => self.poll(),
            70..72 => self.restart_reader(),
            72..74 => self.restart_poller(),
            74..78 => self.load_any_poller(),
            _ => self.deliver(),
        }
    }

    fn write(&mut self) {
        let change = Change {
            key: self.rng.random_range(0..KEYS),
            revision: self.store.position().revision + 1,
            deleted: self.rng.random_bool(0.3),
        };
        let last = self.store.eras.len() - 1;
        self.store.eras[last].push(change);
    }

    fn restore_store(&mut self) {
        let lost = self.rng.random_range(0..6);
        self.store.restore(lost);
    }

    /// Returns a position as hosts see it, which depends on the mutant.
    fn visible(&self, position: Position) -> Position {
        match self.mutant {
            Mutant::IgnoresEras => Position { era: 0, ..position },
            _ => position,
        }
    }

    fn visible_batch(&self, batch: &Batch) -> Batch {
        Batch {
            after: self.visible(batch.after),
            to: self.visible(batch.to),
            body: batch.body.clone(),
        }
    }

    fn watch(&mut self) {
        let index = self.rng.random_range(0..READERS);
        let (_, host, incarnation) = &self.readers[index];
        let after = host.known.as_ref().map(|(known, _)| known.revision);
        match after.map(|after| self.store.since(after)) {
            Some(Some(batch)) => {
                let batch = self.visible_batch(&batch);
                self.messages
                    .push(Message::WatchReply(index, *incarnation, batch));
            }
            Some(None) => self.load_reader(index),
            None => {}
        }
    }

    fn load_any_reader(&mut self) {
        let index = self.rng.random_range(0..READERS);
        self.load_reader(index);
    }

    /// Loads the full state, as a reader does at its start or when the store's history is compacted.
    fn load_reader(&mut self, index: usize) {
        let at = self.store.position();
        let contents = self.store.contents(at);
        let at = self.visible(at);
        let (log, host, _) = &mut self.readers[index];
        host.load(at, contents);
        log.reset(at, Duration::ZERO);
    }

    fn poll(&mut self) {
        let poller = self.rng.random_range(0..POLLERS);
        let reader = self.rng.random_range(0..READERS);
        let (host, incarnation) = &self.pollers[poller];
        let Some((after, _)) = host.known else {
            return self.load_any_poller();
        };
        let log = &self.readers[reader].0;
        let answer = match self.mutant {
            Mutant::ReturnsLastBatch => last_batch(log, self.store.position()),
            _ => log.answer(after, Duration::ZERO),
        };
        if let Answer::Batch(batch) = answer {
            self.messages
                .push(Message::PollReply(poller, *incarnation, batch));
        }
    }

    fn load_any_poller(&mut self) {
        let poller = self.rng.random_range(0..POLLERS);
        let at = self.store.position();
        let contents = self.store.contents(at);
        let at = self.visible(at);
        self.pollers[poller].0.load(at, contents);
    }

    fn restart_reader(&mut self) {
        let index = self.rng.random_range(0..READERS);
        let incarnation = self.readers[index].2 + 1;
        self.readers[index] = (Log::new(FRESHNESS), Host::default(), incarnation);
    }

    fn restart_poller(&mut self) {
        let index = self.rng.random_range(0..POLLERS);
        let incarnation = self.pollers[index].1 + 1;
        self.pollers[index] = (Host::default(), incarnation);
    }

    /// Delivers a random message. Some are kept and delivered again; outdated ones are dropped.
    fn deliver(&mut self) {
        let Some(message) = self.messages.choose(&mut self.rng).cloned() else {
            return;
        };
        match &message {
            Message::WatchReply(index, incarnation, batch) => {
                let (log, host, current) = &mut self.readers[*index];
                let known = host.known.as_ref().map(|(known, _)| *known);
                // One watch is open at a time; the reply to an earlier one finds its connection closed.
                let is_awaited = current == incarnation;
                if is_awaited && known == Some(batch.after) {
                    host.apply_batch(batch, &self.store.decode(batch), Mutant::None);
                    log.append(batch.clone(), Duration::ZERO);
                } else if is_awaited && known.is_some_and(|known| known.era < batch.to.era) {
                    match self.mutant {
                        Mutant::ContinuesWatch => {
                            host.apply_batch(batch, &self.store.decode(batch), Mutant::None);
                            log.append(batch.clone(), Duration::ZERO);
                        }
                        _ => self.load_reader(*index),
                    }
                }
            }
            Message::PollReply(index, incarnation, batch) => {
                let changes = self.store.decode(batch);
                let (host, current) = &mut self.pollers[*index];
                if current == incarnation {
                    host.apply_batch(batch, &changes, self.mutant);
                }
            }
        }
        if self.rng.random_bool(0.8) {
            let is_delivered = |other: &Message| is_same(other, &message);
            self.messages.retain(|other| !is_delivered(other));
        }
    }

    /// Returns a description of the first violated invariant, if any.
    fn fault(&self, before: &[(Host, u64)]) -> Option<String> {
        for (index, (host, incarnation)) in self.pollers.iter().enumerate() {
            let Some((known, contents)) = &host.known else {
                continue;
            };
            if *contents != self.store.contents(*known) {
                return Some(format!("host {index} at {known} has {contents:?}"));
            }
            let (earlier, earlier_incarnation) = &before[index];
            let earlier = earlier.known.as_ref().map(|(known, _)| *known);
            let earlier = earlier.unwrap_or_default();
            if incarnation == earlier_incarnation && *known < earlier {
                return Some(format!("host {index} moved back from {earlier} to {known}"));
            }
        }
        let readers = self.readers.iter().map(|(_, host, _)| host);
        let known = readers.filter_map(|host| host.known.as_ref());
        let mut wrong = known.filter(|(known, contents)| *contents != self.store.contents(*known));
        wrong
            .next()
            .map(|(known, contents)| format!("reader at {known} has {contents:?}"))
    }
}

/// Returns the last batch in a reader's log.
fn last_batch(log: &Log, newest: Position) -> Answer {
    let revisions = (0..newest.revision).rev();
    let positions = revisions.map(|revision| Position { revision, ..newest });
    let answers = positions.map(|after| log.answer(after, Duration::ZERO));
    let mut batches = answers.filter(|answer| matches!(answer, Answer::Batch(_)));
    batches.next().unwrap_or(Answer::UpToDate)
}

fn is_same(left: &Message, right: &Message) -> bool {
    match (left, right) {
        (Message::WatchReply(a, b, c), Message::WatchReply(d, e, f))
        | (Message::PollReply(a, b, c), Message::PollReply(d, e, f)) => (a, b, c) == (d, e, f),
        _ => false,
    }
}

/// Runs a random walk. Returns a description of the first violated invariant, if any.
fn walk(seed: u64, mutant: Mutant) -> Option<String> {
    let mut world = World::new(seed, mutant);
    for step in 0..STEPS {
        let before = world.pollers.clone();
        world.step();
        if let Some(fault) = world.fault(&before) {
            return Some(format!("seed {seed}, step {step}: {fault}"));
        }
    }
    None
}

#[test]
fn walk_without_mutant_finds_no_fault() {
    for seed in 0..WALKS {
        assert_eq!(walk(seed, Mutant::None), None);
    }
}

#[test_case(Mutant::ReturnsLastBatch; "reader_returns_last_batch")]
#[test_case(Mutant::AppliesAll; "poller_applies_all")]
#[test_case(Mutant::IgnoresEras; "ignores_eras")]
#[test_case(Mutant::ContinuesWatch; "reader_continues_in_a_later_era")]
fn walk_with_mutant_finds_the_fault(mutant: Mutant) {
    let found = (0..WALKS).find_map(|seed| walk(seed, mutant));
    assert!(
        found.is_some(),
        "{mutant:?} was not detected in {WALKS} walks"
    );
}

fn at(revision: Revision) -> Position {
    Position { era: 0, revision }
}

fn batch(after: Revision, to: Revision) -> Batch {
    Batch {
        after: at(after),
        to: at(to),
        body: Arc::from([0; 100]),
    }
}

#[test]
fn answer_continues_from_the_position_of_the_poller() {
    let now = Duration::ZERO;
    let mut log = Log::new(Duration::from_secs(3));
    assert_eq!(
        log.answer(at(5), now),
        Answer::Declined(DeclineReason::NotReader)
    );
    log.reset(at(5), now);
    log.append(batch(5, 8), now);
    log.append(batch(8, 9), now);
    assert_eq!(
        log.answer(at(4), now),
        Answer::Declined(DeclineReason::HistoryGone)
    );
    assert_eq!(log.answer(at(5), now), Answer::Batch(batch(5, 8)));
    assert_eq!(
        log.answer(at(7), now),
        Answer::Batch(batch(5, 8)),
        "the position is within the batch"
    );
    assert_eq!(log.answer(at(8), now), Answer::Batch(batch(8, 9)));
    assert_eq!(log.answer(at(9), now), Answer::UpToDate);
    assert_eq!(
        log.answer(at(10), now),
        Answer::Declined(DeclineReason::Behind)
    );
}

// Guards against a reader that lost its connection to the store telling other hosts that nothing changed.
#[test]
fn answer_of_a_stale_reader_is_declined() {
    let freshness = Duration::from_secs(3);
    let mut log = Log::new(freshness);
    log.reset(at(5), Duration::ZERO);
    assert_eq!(log.answer(at(5), freshness), Answer::UpToDate);
    let later = freshness + Duration::from_millis(1);
    assert_eq!(
        log.answer(at(5), later),
        Answer::Declined(DeclineReason::Stale)
    );
    log.append(batch(5, 5), later);
    assert_eq!(log.answer(at(5), later), Answer::UpToDate);
}

#[test]
fn outage_has_count_and_end() {
    let mut log = Log::new(Duration::from_secs(3));
    log.reset(at(5), Duration::ZERO);
    assert_eq!(
        (log.outage(FRESHNESS).count, log.outage(FRESHNESS).ended_ago),
        (0, None)
    );
    log.store_failed();
    log.store_failed();
    assert_eq!(
        log.answer(at(5), Duration::ZERO),
        Answer::Declined(DeclineReason::StoreLost)
    );
    log.append(batch(5, 6), Duration::from_secs(1));
    let outage = log.outage(Duration::from_secs(3));
    assert_eq!(
        (outage.count, outage.ended_ago),
        (1, Some(Duration::from_secs(2)))
    );
}

#[test]
fn append_beyond_the_limit_drops_the_oldest() {
    let now = Duration::ZERO;
    let mut log = Log::new(FRESHNESS);
    log.reset(at(0), now);
    let large: Arc<[u8]> = vec![0; 1_000_000].into();
    for after in 0..5 {
        let body = large.clone();
        log.append(
            Batch {
                after: at(after),
                to: at(after + 1),
                body,
            },
            now,
        );
    }
    assert_eq!(
        log.answer(at(0), now),
        Answer::Declined(DeclineReason::HistoryGone)
    );
    assert!(matches!(log.answer(at(4), now), Answer::Batch(_)));
}

#[test]
fn clear_makes_the_host_no_reader() {
    let mut log = Log::new(FRESHNESS);
    log.reset(at(5), Duration::ZERO);
    log.clear();
    assert_eq!(
        log.answer(at(5), Duration::ZERO),
        Answer::Declined(DeclineReason::NotReader)
    );
}

// Guards against comparing revisions of two eras: a restored store assigns the same revisions again.
#[test]
fn answer_to_a_host_of_another_era_is_declined() {
    let now = Duration::ZERO;
    let mut log = Log::new(Duration::from_secs(3));
    let later = |revision| Position { era: 1, revision };
    log.reset(at(5), now);
    assert_eq!(
        log.answer(later(3), now),
        Answer::Declined(DeclineReason::Behind)
    );
    log.reset(later(3), now);
    let body: Arc<[u8]> = Arc::from([0; 4]);
    let batch = Batch {
        after: later(3),
        to: later(9),
        body,
    };
    log.append(batch.clone(), now);
    for revision in [2, 3, 5, 9, 12] {
        let answer = log.answer(at(revision), now);
        assert_eq!(
            answer,
            Answer::Declined(DeclineReason::HistoryGone),
            "{revision}"
        );
    }
    assert_eq!(log.answer(later(4), now), Answer::Batch(batch));
}
