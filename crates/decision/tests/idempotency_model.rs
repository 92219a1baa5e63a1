//! Model checks at-most-once execution: explores every order of a few events, and longer random sequences.

mod model;

use model::{Budget, Mutant, World};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use proptest::prelude::*;
use std::hash::{Hash, Hasher};
use test_case::test_case;

const OWN: Option<&str> = Some("ticket-17");

const MINIMAL: Budget = Budget {
    sends: 2,
    copies: 0,
    kills: 0,
    starts: 0,
    drains: 0,
    steps: 0,
    attempts: 1,
};

/// Sends and copies of them, refusals and lost replies, past the expiry of the key.
const RETRY: Budget = Budget {
    sends: 3,
    copies: 1,
    steps: 1,
    attempts: 2,
    ..MINIMAL
};

/// A graceful stop with a copied message and a clock step.
const STOP: Budget = Budget {
    copies: 1,
    drains: 1,
    steps: 1,
    ..MINIMAL
};

/// A graceful stop with enough clock steps for the key to expire.
const LONG_STOP: Budget = Budget { steps: 2, ..STOP };

/// Only a graceful stop.
const HANDOVER: Budget = Budget {
    drains: 1,
    ..MINIMAL
};

/// Two graceful stops, of a daemon and its successor or at the same time.
const CHAIN: Budget = Budget {
    drains: 2,
    ..MINIMAL
};

const COPIED_CHAIN: Budget = Budget { copies: 1, ..CHAIN };

/// A daemon that crashes and restarts.
const CRASH: Budget = Budget {
    copies: 1,
    kills: 1,
    starts: 1,
    steps: 1,
    ..MINIMAL
};

/// A daemon that crashes while it or another one stops.
const STOP_AND_CRASH: Budget = Budget {
    kills: 1,
    starts: 1,
    drains: 1,
    ..MINIMAL
};

/// Environment variable that enables a wider exploration, which takes minutes.
const WIDE: &str = "MONSOONRING_EXPLORE_WIDE";

/// A world with the minimum number of actions that leads to it.
#[derive(Clone, Debug)]
struct Node {
    world: World,
    depth: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

impl Node {
    fn next(&self) -> Vec<Self> {
        let depth = self.depth + 1;
        let worlds = self.world.next().into_iter();
        worlds.map(|world| Self { world, depth }).collect()
    }
}

#[test_case("retry", 2, None, RETRY, RETRY)]
#[test_case("stop", 2, None, STOP, LONG_STOP)]
#[test_case("chain", 3, None, CHAIN, COPIED_CHAIN)]
#[test_case("crash", 2, None, CRASH, CRASH)]
#[test_case("stop and crash", 2, None, STOP_AND_CRASH, STOP_AND_CRASH)]
#[test_case("own, retry", 2, OWN, RETRY, RETRY)]
#[test_case("own, stop", 2, OWN, STOP, LONG_STOP)]
fn explore_without_mutant_finds_no_violation(
    name: &str,
    daemons: usize,
    own: Option<&str>,
    budget: Budget,
    wide: Budget,
) {
    let budget = std::env::var_os(WIDE).map_or(budget, |_| wide);
    let world = World::new(daemons, own, budget, None);
    let (mut states, mut max_depth, mut after_run) = (0, 0, 0);
    for node in bfs_reach(Node { world, depth: 0 }, Node::next) {
        assert_eq!(node.world.violation(), None, "{:#?}", node.world);
        states += 1;
        max_depth = node.depth;
        after_run += usize::from(node.world.runs == 1);
    }
    println!(
        "{name}: {states} states, {after_run} of them after a run, depth {max_depth}, all explored"
    );
    assert!(after_run > 0, "no explored world ran the request");
}

#[test_case(Mutant::UnknownRunsAgain, 2, None, CRASH, "ran twice")]
#[test_case(Mutant::LostRetried, 2, None, RETRY, "ran twice")]
#[test_case(
    Mutant::LostReportedNotRun,
    2,
    None,
    RETRY,
    "reported as not run, but ran"
)]
#[test_case(
    Mutant::ReusableAfterNotRun,
    2,
    None,
    RETRY,
    "reported as not run, but ran"
)]
#[test_case(
    Mutant::RefusalWithoutRecord,
    2,
    None,
    STOP,
    "reported as not run, but ran"
)]
#[test_case(Mutant::HandoverAppliedTwice, 2, None, STOP, "ran twice")]
#[test_case(Mutant::RunsAfterHandover, 2, None, HANDOVER, "ran twice")]
#[test_case(Mutant::TwoSuccessors, 3, None, HANDOVER, "ran twice")]
#[test_case(Mutant::FirstSendRepeated, 2, OWN, RETRY, "ran twice")]
fn explore_with_mutant_finds_the_violation(
    mutant: Mutant,
    daemons: usize,
    own: Option<&str>,
    budget: Budget,
    violation: &str,
) {
    let attempts = 2;
    let budget = Budget { attempts, ..budget };
    let world = World::new(daemons, own, budget, Some(mutant));
    let is_violated = |world: &World| world.violation() == Some(violation);
    let path =
        bfs(&world, World::next, is_violated).expect("the exploration must find the violation");
    println!("{mutant:?}: {violation} after {} actions", path.len() - 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_actions_find_no_violation(
        own in any::<bool>(),
        choices in prop::collection::vec(any::<prop::sample::Index>(), 20..120),
    ) {
        let budget = Budget {
            sends: 8,
            copies: 6,
            kills: 2,
            starts: 5,
            drains: 4,
            steps: 6,
            attempts: 4,
        };
        let mut world = World::new(3, OWN.filter(|_| own), budget, None);
        for choice in choices {
            let actions = world.actions();
            if actions.is_empty() {
                break;
            }
            let action = actions[choice.index(actions.len())];
            world = world.after(action);
            prop_assert_eq!(world.violation(), None);
        }
    }
}
