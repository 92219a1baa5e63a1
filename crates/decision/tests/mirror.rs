//! What hosts have taken in, whoever they had it from: everything up to their position, and nothing else.
//!
//! A store, hosts that read it and hosts that ask those, with every message late, lost, doubled or out of order,
//! readers that restart under their address, wake late or read anew, and a store that forgets its history or comes
//! back from an older copy, several times. Seeded walks of many steps; after each step every host is held against the
//! store as it was at the host's position. Faults put in on purpose are found by the same walks.

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
const ASKERS: usize = 3;
const STEPS: usize = 400;
const WALKS: u64 = 300;

/// Far longer than a walk takes: when a reader falls silent is not looked at here.
const SURE: Duration = Duration::from_secs(1_000_000);

/// What is in the store under each key; a key that is gone is not there.
type Contents = BTreeMap<u8, Revision>;

/// One change: the key, and whether it was written or deleted.
#[derive(Clone, Copy, Debug)]
struct Change {
    key: u8,
    revision: Revision,
    deleted: bool,
}

/// Something that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A reader tells its last answer, whatever who asks knows.
    TellsTheLast,
    /// Who is told takes everything in, and for its revision what the answer says.
    TakesAll,
    /// All lives of the store count as one.
    IgnoresEras,
    /// A reader that finds a later life of the store keeps what it had read before, and goes on from there.
    GoesOn,
}

struct Store {
    /// All that was ever changed, in each life of the store.
    lives: Vec<Vec<Change>>,
    forgotten: Revision,
}

impl Store {
    fn era(&self) -> Era {
        self.lives.len() as Era - 1
    }

    fn changes(&self) -> &[Change] {
        &self.lives[self.lives.len() - 1]
    }

    fn position(&self) -> Position {
        Position {
            era: self.era(),
            revision: self.changes().len() as Revision,
        }
    }

    fn contents(&self, at: Position) -> Contents {
        let mut contents = Contents::new();
        for change in &self.lives[at.era as usize][..at.revision as usize] {
            apply(&mut contents, *change);
        }
        contents
    }

    /// Comes back from a copy that lacks the last changes.
    fn go_back(&mut self, lost: usize) {
        let kept = self.changes().len().saturating_sub(lost);
        let copy = self.changes()[..kept].to_vec();
        self.lives.push(copy);
        self.forgotten = self.forgotten.min(kept as Revision);
    }

    /// Answers a watch, as the store does: it knows nothing of the life that the revision is from.
    fn since(&self, after: Revision) -> Option<Batch> {
        let Position { era, revision: to } = self.position();
        let body: Arc<[u8]> = Arc::from([era as u8]);
        let at = |revision| Position { era, revision };
        let is_known = after >= self.forgotten && after <= to;
        is_known.then(|| Batch {
            after: at(after),
            to: at(to),
            body,
        })
    }

    /// Returns the changes that an answer holds.
    fn decode(&self, batch: &Batch) -> Vec<Change> {
        let life = &self.lives[usize::from(batch.body[0])];
        life[batch.after.revision as usize..batch.to.revision as usize].to_vec()
    }
}

fn apply(contents: &mut Contents, change: Change) {
    match change.deleted {
        true => contents.remove(&change.key),
        false => contents.insert(change.key, change.revision),
    };
}

/// What a host knows.
#[derive(Clone, Default)]
struct Host {
    known: Option<(Position, Contents)>,
}

impl Host {
    fn read(&mut self, at: Position, contents: Contents) {
        let is_newer = self.known.as_ref().is_none_or(|(known, _)| *known <= at);
        if is_newer {
            self.known = Some((at, contents));
        }
    }

    /// Takes in an answer to a question that was asked from an earlier revision, or from this one.
    fn take_in(&mut self, batch: &Batch, changes: &[Change], mutant: Mutant) {
        let Some((known, contents)) = &mut self.known else {
            return;
        };
        let takes_all = mutant == Mutant::TakesAll;
        if batch.to <= *known && !takes_all {
            return;
        }
        for change in changes {
            if takes_all || is_new(change.revision, known.revision) {
                apply(contents, *change);
            }
        }
        *known = batch.to;
    }
}

/// A message that has not arrived.
#[derive(Clone)]
enum Message {
    /// The store's answer to a reader's watch.
    Watched(usize, u64, Batch),
    /// A reader's answer to a host of this life.
    Told(usize, u64, Batch),
}

struct World {
    store: Store,
    readers: Vec<(Log, Host, u64)>,
    askers: Vec<(Host, u64)>,
    messages: Vec<Message>,
    mutant: Mutant,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        Self {
            store: Store {
                lives: vec![Vec::new()],
                forgotten: 0,
            },
            readers: (0..READERS)
                .map(|_| (Log::new(SURE), Host::default(), 0))
                .collect(),
            askers: vec![(Host::default(), 0); ASKERS],
            messages: Vec::new(),
            mutant,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..20 => self.write(),
            20..21 => self.store.forgotten = self.store.position().revision,
            21..22 => self.go_back(),
            22..40 => self.watch(),
            40..45 => self.read(),
            45..70 => self.ask(),
            70..72 => self.restart_reader(),
            72..74 => self.restart_asker(),
            74..78 => self.ask_store(),
            _ => self.deliver(),
        }
    }

    fn write(&mut self) {
        let change = Change {
            key: self.rng.random_range(0..KEYS),
            revision: self.store.position().revision + 1,
            deleted: self.rng.random_bool(0.3),
        };
        let last = self.store.lives.len() - 1;
        self.store.lives[last].push(change);
    }

    fn go_back(&mut self) {
        let lost = self.rng.random_range(0..6);
        self.store.go_back(lost);
    }

    /// Returns a position as the host sees it.
    fn seen(&self, position: Position) -> Position {
        match self.mutant {
            Mutant::IgnoresEras => Position { era: 0, ..position },
            _ => position,
        }
    }

    fn seen_batch(&self, batch: &Batch) -> Batch {
        Batch {
            after: self.seen(batch.after),
            to: self.seen(batch.to),
            body: batch.body.clone(),
        }
    }

    fn watch(&mut self) {
        let index = self.rng.random_range(0..READERS);
        let (_, host, life) = &self.readers[index];
        let after = host.known.as_ref().map(|(known, _)| known.revision);
        match after.map(|after| self.store.since(after)) {
            Some(Some(batch)) => {
                let batch = self.seen_batch(&batch);
                self.messages.push(Message::Watched(index, *life, batch));
            }
            Some(None) => self.read_at(index),
            None => {}
        }
    }

    fn read(&mut self) {
        let index = self.rng.random_range(0..READERS);
        self.read_at(index);
    }

    /// Reads everything at once, as a reader does that starts or whose history is gone.
    fn read_at(&mut self, index: usize) {
        let at = self.store.position();
        let contents = self.store.contents(at);
        let at = self.seen(at);
        let (log, host, _) = &mut self.readers[index];
        host.read(at, contents);
        log.reset(at, Duration::ZERO);
    }

    fn ask(&mut self) {
        let asker = self.rng.random_range(0..ASKERS);
        let reader = self.rng.random_range(0..READERS);
        let (host, life) = &self.askers[asker];
        let Some((after, _)) = host.known else {
            return self.ask_store();
        };
        let log = &self.readers[reader].0;
        let answer = match self.mutant {
            Mutant::TellsTheLast => last(log, self.store.position()),
            _ => log.answer(after, Duration::ZERO),
        };
        if let Answer::Batch(batch) = answer {
            self.messages.push(Message::Told(asker, *life, batch));
        }
    }

    fn ask_store(&mut self) {
        let asker = self.rng.random_range(0..ASKERS);
        let at = self.store.position();
        let contents = self.store.contents(at);
        let at = self.seen(at);
        self.askers[asker].0.read(at, contents);
    }

    fn restart_reader(&mut self) {
        let index = self.rng.random_range(0..READERS);
        let life = self.readers[index].2 + 1;
        self.readers[index] = (Log::new(SURE), Host::default(), life);
    }

    fn restart_asker(&mut self) {
        let index = self.rng.random_range(0..ASKERS);
        let life = self.askers[index].1 + 1;
        self.askers[index] = (Host::default(), life);
    }

    /// Delivers some message, loses it, or delivers it and keeps it to be delivered again.
    fn deliver(&mut self) {
        let Some(message) = self.messages.choose(&mut self.rng).cloned() else {
            return;
        };
        match &message {
            Message::Watched(index, life, batch) => {
                let (log, host, now) = &mut self.readers[*index];
                let known = host.known.as_ref().map(|(known, _)| *known);
                // One question is open at a time: an answer to an earlier one finds its connection closed.
                let is_awaited = now == life;
                if is_awaited && known == Some(batch.after) {
                    host.take_in(batch, &self.store.decode(batch), Mutant::None);
                    log.append(batch.clone(), Duration::ZERO);
                } else if is_awaited && known.is_some_and(|known| known.era < batch.to.era) {
                    match self.mutant {
                        Mutant::GoesOn => {
                            host.take_in(batch, &self.store.decode(batch), Mutant::None);
                            log.append(batch.clone(), Duration::ZERO);
                        }
                        _ => self.read_at(*index),
                    }
                }
            }
            Message::Told(index, life, batch) => {
                let changes = self.store.decode(batch);
                let (host, now) = &mut self.askers[*index];
                if now == life {
                    host.take_in(batch, &changes, self.mutant);
                }
            }
        }
        if self.rng.random_bool(0.8) {
            let is_it = |other: &Message| same(other, &message);
            self.messages.retain(|other| !is_it(other));
        }
    }

    /// Returns what is wrong, if anything is.
    fn fault(&self, before: &[(Host, u64)]) -> Option<String> {
        for (index, (host, life)) in self.askers.iter().enumerate() {
            let Some((known, contents)) = &host.known else {
                continue;
            };
            if *contents != self.store.contents(*known) {
                return Some(format!("host {index} at {known} has {contents:?}"));
            }
            let (earlier, earlier_life) = &before[index];
            let earlier = earlier.known.as_ref().map(|(known, _)| *known);
            let earlier = earlier.unwrap_or_default();
            if life == earlier_life && *known < earlier {
                return Some(format!("host {index} went from {earlier} to {known}"));
            }
        }
        let readers = self.readers.iter().map(|(_, host, _)| host);
        let known = readers.filter_map(|host| host.known.as_ref());
        let mut wrong = known.filter(|(known, contents)| *contents != self.store.contents(*known));
        wrong
            .next()
            .map(|(known, contents)| format!("a reader at {known} has {contents:?}"))
    }
}

/// Returns the last answer that a reader keeps.
fn last(log: &Log, newest: Position) -> Answer {
    let revisions = (0..newest.revision).rev();
    let positions = revisions.map(|revision| Position { revision, ..newest });
    let answers = positions.map(|after| log.answer(after, Duration::ZERO));
    let mut batches = answers.filter(|answer| matches!(answer, Answer::Batch(_)));
    batches.next().unwrap_or(Answer::UpToDate)
}

fn same(one: &Message, other: &Message) -> bool {
    match (one, other) {
        (Message::Watched(a, b, c), Message::Watched(d, e, f))
        | (Message::Told(a, b, c), Message::Told(d, e, f)) => (a, b, c) == (d, e, f),
        _ => false,
    }
}

/// Walks with a seed. Returns what went wrong.
fn walk(seed: u64, mutant: Mutant) -> Option<String> {
    let mut world = World::new(seed, mutant);
    for step in 0..STEPS {
        let before = world.askers.clone();
        world.step();
        if let Some(fault) = world.fault(&before) {
            return Some(format!("seed {seed}, step {step}: {fault}"));
        }
    }
    None
}

#[test]
fn walk_without_mutant_finds_nothing_wrong() {
    for seed in 0..WALKS {
        assert_eq!(walk(seed, Mutant::None), None);
    }
}

#[test_case(Mutant::TellsTheLast; "reader_tells_the_last")]
#[test_case(Mutant::TakesAll; "asker_takes_all")]
#[test_case(Mutant::IgnoresEras; "lives_of_the_store_count_as_one")]
#[test_case(Mutant::GoesOn; "reader_goes_on_in_a_later_life")]
fn walk_with_mutant_finds_it(mutant: Mutant) {
    let found = (0..WALKS).find_map(|seed| walk(seed, mutant));
    assert!(found.is_some(), "{mutant:?} was not found in {WALKS} walks");
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
fn answer_is_what_leads_on_from_the_asker() {
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
        "it stands within it"
    );
    assert_eq!(log.answer(at(8), now), Answer::Batch(batch(8, 9)));
    assert_eq!(log.answer(at(9), now), Answer::UpToDate);
    assert_eq!(
        log.answer(at(10), now),
        Answer::Declined(DeclineReason::Behind)
    );
}

// Symptom: hosts go on with an old configuration although they reach the store.
// Events:  the way from their reader to the store goes silent, and the reader answers them that nothing is new.
// Cause:   a reader that does not know whether it is up to date spoke as if it did.
#[test]
fn answer_of_a_reader_that_is_not_sure_is_none() {
    let sure = Duration::from_secs(3);
    let mut log = Log::new(sure);
    log.reset(at(5), Duration::ZERO);
    assert_eq!(log.answer(at(5), sure), Answer::UpToDate);
    let later = sure + Duration::from_millis(1);
    assert_eq!(
        log.answer(at(5), later),
        Answer::Declined(DeclineReason::Stale)
    );
    log.append(batch(5, 5), later);
    assert_eq!(log.answer(at(5), later), Answer::UpToDate);
}

#[test]
fn outage_is_told_with_its_end() {
    let mut log = Log::new(Duration::from_secs(3));
    log.reset(at(5), Duration::ZERO);
    assert_eq!(
        (log.outage(SURE).count, log.outage(SURE).ended_ago),
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
fn watched_more_than_is_kept_forgets_the_oldest() {
    let now = Duration::ZERO;
    let mut log = Log::new(SURE);
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
fn retire_a_host_that_asks_others_is_no_reader() {
    let mut log = Log::new(SURE);
    log.reset(at(5), Duration::ZERO);
    log.clear();
    assert_eq!(
        log.answer(at(5), Duration::ZERO),
        Answer::Declined(DeclineReason::NotReader)
    );
}

// Symptom: a host serves on with what the store had before it came back from a copy, and takes changes for it that
//          were written since, or the other way round.
// Events:  the store goes back; its revisions are given out again; one host has read it anew and the other has not.
// Cause:   revisions of two lives of the store were compared.
#[test]
fn answer_to_a_host_of_another_life_of_the_store_is_none() {
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
