//! Which data centres count as emptied, whatever a host reads and watches, and in which order.

mod registered;

use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::evacuation::{Evacuations, Order};
use monsoonring_decision::gateway::registry::{Entry, Event, Order as Said, Registry, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use registered::{listed, usable};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const DATA_CENTRES: [&str; 3] = ["hall", "lac", "port"];
const STEPS: usize = 200;
const WALKS: u64 = 200;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

fn order(data_centre: &str, revision: u64) -> Order {
    Order {
        data_centre: data_centre.into(),
        revision,
    }
}

fn entry(instance: &str, number: u8, data_centre: &str) -> Entry {
    Entry {
        instance: instance.into(),
        service: "map".into(),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
        data_centre: data_centre.into(),
        slots: 3,
        state: State::Ready,
        cold_for: Duration::ZERO,
        order: Said::default(),
        revision: 1,
    }
}

fn registry() -> Registry {
    listed(&[entry("a", 1, "hall"), entry("b", 2, "lac")])
}

// Symptom: requests reach the servers of a data centre that operators have emptied.
// Events:  the order is written; a server there starts only afterwards.
// Cause:   the order was not known, or only to the servers that were there when it came.
#[test]
fn usable_of_an_emptied_data_centre_is_nobody() {
    let mut registry = registry();
    assert!(registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10)));
    assert_eq!(usable(&registry), ["b"]);
    registry.handle(Event::Written(entry("c", 3, "hall")), ms(20));
    assert_eq!(usable(&registry), ["b"]);
    assert!(registry.handle(Event::EvacuationWithdrawn(order("hall", 9)), ms(30)));
    assert_eq!(usable(&registry), ["a", "b", "c"]);
}

#[test]
fn usable_of_a_store_that_is_away_stays_emptied() {
    let mut registry = registry();
    registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10));
    registry.handle(Event::StoreLost, ms(20));
    registry.handle(Event::Tick, ms(60_000));
    registry.handle(Event::StoreRegained, ms(60_010));
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn listed_without_the_order_is_given_back() {
    let mut registry = registry();
    registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10));
    assert!(registry.handle(Event::EvacuationsListed(Vec::new(), 9), ms(20)));
    assert_eq!(usable(&registry), ["a", "b"]);
}

#[test]
fn given_back_is_told_with_its_time() {
    let mut evacuations = Evacuations::default();
    let hall: DataCentreId = "hall".into();
    assert_eq!(evacuations.withdrawn_at(&hall), None);
    evacuations.ordered(order("hall", 5), ms(10));
    assert_eq!(evacuations.withdrawn_at(&hall), None);
    evacuations.withdrawn(order("hall", 9), ms(30));
    assert_eq!(evacuations.withdrawn_at(&hall), Some(ms(30)));
}

// Symptom: an emptied data centre gets requests for a moment, each time that the history is gone.
// Events:  an order is given, taken back and given again; a host reads everything, and then watches from the
//          first page on, so that it is told the whole story once more.
// Cause:   what was told again was taken for new.
#[test]
fn withdrawn_before_the_order_that_was_read_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.listed(vec![order("hall", 8)], 5, ms(0));
    assert!(!evacuations.withdrawn(order("hall", 7), ms(1)));
    assert!(evacuations.contains(&"hall".into()));
}

// Symptom: an emptied data centre gets requests again although nobody took the order back.
// Events:  the store comes back from a copy that is some seconds old and lacks the order; the operators write it
//          again a few seconds later.
// Cause:   what an older copy lacks was taken for what operators took back.
#[test]
fn went_back_before_the_order_stays_emptied_until_it_is_written_again() {
    let mut evacuations = Evacuations::default();
    evacuations.ordered(order("hall", 50), ms(0));
    evacuations.store_restored(ms(1_000));
    assert!(!evacuations.listed(Vec::new(), 40, ms(1_010)));
    assert!(evacuations.contains(&"hall".into()));
    // Under a revision that is lower than the one under which it was known.
    evacuations.ordered(order("hall", 44), ms(4_000));
    assert_eq!(evacuations.next_wake(), None);
    assert!(!evacuations.tick(ms(60_000)));
    assert!(evacuations.contains(&"hall".into()));
    assert!(evacuations.withdrawn(order("hall", 45), ms(61_000)));
}

#[test]
fn went_back_before_an_order_that_nobody_repeats_ends_it_in_the_end() {
    let mut evacuations = Evacuations::default();
    evacuations.ordered(order("hall", 50), ms(0));
    evacuations.store_restored(ms(1_000));
    evacuations.listed(Vec::new(), 40, ms(1_010));
    let wake = evacuations.next_wake().expect("it is doubted");
    assert!(wake >= ms(5_000), "operators need some seconds: {wake:?}");
    assert!(evacuations.tick(wake));
    assert!(!evacuations.contains(&"hall".into()));
}

/// Something that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// What is told again counts as new.
    IgnoresRevisions,
    /// A list adds orders and ends none.
    KeepsWhatIsMissing,
    /// A data centre that was given back is never emptied again.
    OrdersOnce,
}

/// The orders in the store, and all that was ever changed: data centre and whether it is emptied from then on.
#[derive(Default)]
struct Store {
    changes: Vec<(&'static str, bool)>,
}

impl Store {
    fn emptied(&self, at: usize) -> BTreeSet<&'static str> {
        let mut emptied = BTreeSet::new();
        for (data_centre, is_emptied) in &self.changes[..at] {
            match is_emptied {
                true => emptied.insert(*data_centre),
                false => emptied.remove(data_centre),
            };
        }
        emptied
    }

    /// Returns the last change of a data centre, up to a revision.
    fn revision(&self, data_centre: &str, at: usize) -> u64 {
        let last = self.changes[..at]
            .iter()
            .rposition(|(one, _)| *one == data_centre);
        last.map_or(0, |index| index as u64 + 1)
    }
}

struct Host {
    known: Evacuations,
    ordered_once: BTreeSet<&'static str>,
    revision: usize,
    mutant: Mutant,
}

impl Host {
    fn told(&mut self, data_centre: &'static str, is_emptied: bool, revision: u64, now: Time) {
        let revision = match self.mutant {
            Mutant::IgnoresRevisions => u64::MAX,
            _ => revision,
        };
        let order = order(data_centre, revision);
        if !is_emptied {
            self.known.withdrawn(order, now);
            return;
        }
        let is_new = self.ordered_once.insert(data_centre);
        if is_new || self.mutant != Mutant::OrdersOnce {
            self.known.ordered(order, now);
        }
    }

    /// Reads a page that is as of `page`, which is later than the revision that the watch goes on from.
    fn read(&mut self, store: &Store, from: usize, page: usize, now: Time) {
        let orders = store.emptied(page).into_iter();
        let orders: Vec<Order> = orders
            .map(|one| order(one, store.revision(one, page)))
            .collect();
        match self.mutant {
            Mutant::KeepsWhatIsMissing => orders.into_iter().for_each(|order| {
                self.known.ordered(order, now);
            }),
            _ => {
                self.known.listed(orders, from as u64, now);
            }
        }
        self.revision = from;
    }

    /// Returns what is wrong after each change that is told.
    fn watch(&mut self, store: &Store, now: Time) -> Option<String> {
        let from = self.revision;
        for index in from..store.changes.len() {
            let (data_centre, is_emptied) = store.changes[index];
            self.told(data_centre, is_emptied, index as u64 + 1, now);
            for always in emptied_since(store, from) {
                if !self.known.contains(&always.into()) {
                    return Some(format!("{always} was emptied all the while since {from}"));
                }
            }
        }
        self.revision = store.changes.len();
        let known: BTreeSet<&str> = self.known.evacuated().map(|one| &**one).collect();
        let stored = store.emptied(self.revision);
        (known != stored).then(|| format!("{known:?} in place of {stored:?}"))
    }
}

/// Returns the data centres that were emptied at a revision and at each one since.
fn emptied_since(store: &Store, from: usize) -> BTreeSet<&'static str> {
    let each = from..=store.changes.len();
    let each = each.map(|at| store.emptied(at));
    each.reduce(|all, one| all.intersection(&one).copied().collect())
        .unwrap_or_default()
}

fn walk(seed: u64, mutant: Mutant) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut host = Host {
        known: Evacuations::default(),
        ordered_once: BTreeSet::new(),
        revision: 0,
        mutant,
    };
    for step in 0..STEPS {
        let now = ms(step as u64 * 100);
        let fault = match rng.random_range(0..10) {
            0..5 => {
                let data_centre = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
                let is_emptied = !store.emptied(store.changes.len()).contains(data_centre);
                store.changes.push((data_centre, is_emptied));
                None
            }
            5..8 => host.watch(&store, now),
            _ => {
                let newest = store.changes.len();
                let from = rng.random_range(host.revision..=newest);
                let page = rng.random_range(from..=newest);
                host.read(&store, from, page, now);
                host.watch(&store, now)
            }
        };
        if let Some(fault) = fault {
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

#[test_case(Mutant::IgnoresRevisions; "ignores_revisions")]
#[test_case(Mutant::KeepsWhatIsMissing; "keeps_what_is_missing")]
#[test_case(Mutant::OrdersOnce; "orders_once")]
fn walk_with_mutant_finds_it(mutant: Mutant) {
    let found = (0..WALKS).find_map(|seed| walk(seed, mutant));
    assert!(found.is_some(), "{mutant:?} was not found in {WALKS} walks");
}
