//! Tests which data centres a host considers evacuated, for any order of lists and watched changes.

mod registered;

use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::evacuation::{Evacuations, Order};
use monsoonring_decision::gateway::registry::{Entry, Event, Order as EntryOrder, Registry, State};
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
        order: EntryOrder::default(),
        revision: 1,
    }
}

fn registry() -> Registry {
    listed(&[entry("a", 1, "hall"), entry("b", 2, "lac")])
}

// Guards against sending requests to servers that start in a data centre after it was evacuated.
#[test]
fn usable_of_an_evacuated_data_centre_is_empty() {
    let mut registry = registry();
    assert!(registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10)));
    assert_eq!(usable(&registry), ["b"]);
    registry.handle(Event::Written(entry("c", 3, "hall")), ms(20));
    assert_eq!(usable(&registry), ["b"]);
    assert!(registry.handle(Event::EvacuationWithdrawn(order("hall", 9)), ms(30)));
    assert_eq!(usable(&registry), ["a", "b", "c"]);
}

#[test]
fn usable_after_a_store_outage_stays_evacuated() {
    let mut registry = registry();
    registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10));
    registry.handle(Event::StoreLost, ms(20));
    registry.handle(Event::Tick, ms(60_000));
    registry.handle(Event::StoreRegained, ms(60_010));
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn listed_without_the_order_withdraws_it() {
    let mut registry = registry();
    registry.handle(Event::EvacuationOrdered(order("hall", 5)), ms(10));
    assert!(registry.handle(Event::EvacuationsListed(Vec::new(), 9), ms(20)));
    assert_eq!(usable(&registry), ["a", "b"]);
}

#[test]
fn withdrawn_at_is_the_time_of_withdrawal() {
    let mut evacuations = Evacuations::default();
    let hall: DataCentreId = "hall".into();
    assert_eq!(evacuations.withdrawn_at(&hall), None);
    evacuations.ordered(order("hall", 5), ms(10));
    assert_eq!(evacuations.withdrawn_at(&hall), None);
    evacuations.withdrawn(order("hall", 9), ms(30));
    assert_eq!(evacuations.withdrawn_at(&hall), Some(ms(30)));
}

// Guards against withdrawing an order because the watch repeats an older withdrawal after a list.
#[test]
fn withdrawn_older_than_the_listed_order_is_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.listed(vec![order("hall", 8)], 5, ms(0));
    assert!(!evacuations.withdrawn(order("hall", 7), ms(1)));
    assert!(evacuations.contains(&"hall".into()));
}

// Guards against withdrawing an order because the store was restored from a backup that lacks it.
#[test]
fn store_restored_without_the_order_keeps_it_until_written_again() {
    let mut evacuations = Evacuations::default();
    evacuations.ordered(order("hall", 50), ms(0));
    evacuations.store_restored(ms(1_000));
    assert!(!evacuations.listed(Vec::new(), 40, ms(1_010)));
    assert!(evacuations.contains(&"hall".into()));
    // The restored store assigns a lower revision than the known one.
    evacuations.ordered(order("hall", 44), ms(4_000));
    assert_eq!(evacuations.next_wake(), None);
    assert!(!evacuations.tick(ms(60_000)));
    assert!(evacuations.contains(&"hall".into()));
    assert!(evacuations.withdrawn(order("hall", 45), ms(61_000)));
}

#[test]
fn store_restored_without_the_order_drops_it_after_a_delay() {
    let mut evacuations = Evacuations::default();
    evacuations.ordered(order("hall", 50), ms(0));
    evacuations.store_restored(ms(1_000));
    evacuations.listed(Vec::new(), 40, ms(1_010));
    let wake = evacuations.next_wake().expect("the order has a deadline");
    assert!(
        wake >= ms(5_000),
        "operators need a few seconds to repeat the order: {wake:?}"
    );
    assert!(evacuations.tick(wake));
    assert!(!evacuations.contains(&"hall".into()));
}

/// A deliberate fault that the random walks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Treats a repeated change as new.
    IgnoresRevisions,
    /// Ignores that an order is missing from a list.
    IgnoresMissing,
    /// Ignores a second order for a data centre whose first one was withdrawn.
    IgnoresSecondOrder,
}

/// The orders in the store, as the history of changes: the data centre and whether it is evacuated.
#[derive(Default)]
struct Store {
    changes: Vec<(&'static str, bool)>,
}

impl Store {
    fn evacuated(&self, at: usize) -> BTreeSet<&'static str> {
        let mut evacuated = BTreeSet::new();
        for (data_centre, is_evacuated) in &self.changes[..at] {
            match is_evacuated {
                true => evacuated.insert(*data_centre),
                false => evacuated.remove(data_centre),
            };
        }
        evacuated
    }

    /// Returns the revision of the last change of a data centre up to revision `at`, or 0.
    fn revision(&self, data_centre: &str, at: usize) -> u64 {
        let last = self.changes[..at]
            .iter()
            .rposition(|(changed, _)| *changed == data_centre);
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
    fn apply(&mut self, data_centre: &'static str, is_evacuated: bool, revision: u64, now: Time) {
        let revision = match self.mutant {
            Mutant::IgnoresRevisions => u64::MAX,
            _ => revision,
        };
        let order = order(data_centre, revision);
        if !is_evacuated {
            self.known.withdrawn(order, now);
            return;
        }
        let is_new = self.ordered_once.insert(data_centre);
        if is_new || self.mutant != Mutant::IgnoresSecondOrder {
            self.known.ordered(order, now);
        }
    }

    /// Lists the orders as of revision `page`. The watch continues from `from`, which may be earlier.
    fn list(&mut self, store: &Store, from: usize, page: usize, now: Time) {
        let orders = store.evacuated(page).into_iter();
        let orders: Vec<Order> = orders
            .map(|data_centre| order(data_centre, store.revision(data_centre, page)))
            .collect();
        match self.mutant {
            Mutant::IgnoresMissing => orders.into_iter().for_each(|order| {
                self.known.ordered(order, now);
            }),
            _ => {
                self.known.listed(orders, from as u64, now);
            }
        }
        self.revision = from;
    }

    /// Applies all later changes. Returns a description of the first violated invariant, if any.
    fn watch(&mut self, store: &Store, now: Time) -> Option<String> {
        let from = self.revision;
        for index in from..store.changes.len() {
            let (data_centre, is_evacuated) = store.changes[index];
            self.apply(data_centre, is_evacuated, index as u64 + 1, now);
            for data_centre in evacuated_since(store, from) {
                if !self.known.contains(&data_centre.into()) {
                    return Some(format!("{data_centre} is evacuated since {from}"));
                }
            }
        }
        self.revision = store.changes.len();
        let known: BTreeSet<&str> = self.known.evacuated().map(|known| &**known).collect();
        let stored = store.evacuated(self.revision);
        (known != stored).then(|| format!("the host has {known:?}, the store has {stored:?}"))
    }
}

/// Returns the data centres that are evacuated at each revision since `from`.
fn evacuated_since(store: &Store, from: usize) -> BTreeSet<&'static str> {
    let each = from..=store.changes.len();
    let each = each.map(|at| store.evacuated(at));
    each.reduce(|all, next| all.intersection(&next).copied().collect())
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
                let is_evacuated = !store.evacuated(store.changes.len()).contains(data_centre);
                store.changes.push((data_centre, is_evacuated));
                None
            }
            5..8 => host.watch(&store, now),
            _ => {
                let newest = store.changes.len();
                let from = rng.random_range(host.revision..=newest);
                let page = rng.random_range(from..=newest);
                host.list(&store, from, page, now);
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
fn walk_without_mutant_finds_no_fault() {
    for seed in 0..WALKS {
        assert_eq!(walk(seed, Mutant::None), None);
    }
}

#[test_case(Mutant::IgnoresRevisions; "ignores_revisions")]
#[test_case(Mutant::IgnoresMissing; "ignores_missing")]
#[test_case(Mutant::IgnoresSecondOrder; "ignores_second_order")]
fn walk_with_mutant_finds_the_fault(mutant: Mutant) {
    let found = (0..WALKS).find_map(|seed| walk(seed, mutant));
    assert!(
        found.is_some(),
        "{mutant:?} was not detected in {WALKS} walks"
    );
}
