//! The connection pool.

mod support;

use monsoonring_decision::attempt::ConnectionId;
use monsoonring_decision::backend::pool::{Command, Health, Pool};
use monsoonring_decision::placement::share;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::{CONNECTIONS, ms, route, server};

const HOMES: usize = 8;
/// Connections per home: half of 64 over 8 homes, less one for control.
const SHARE: usize = 3;

fn pool(servers: u16) -> Pool {
    Pool::new(&route(1, servers), HOMES, 0, ms(0))
}

/// Carries out the pool's commands until there are none. Returns the ids of the opened connections.
fn settle(pool: &mut Pool, now: u64) -> Vec<ConnectionId> {
    let mut opened = Vec::new();
    loop {
        let commands = pool.reconcile(ms(now));
        if commands.is_empty() {
            return opened;
        }
        for command in commands {
            if let Command::Open(id, _) = command {
                pool.opened(id, ms(now));
                opened.push(id);
            }
        }
    }
}

/// Acquires `count` connections to server 0 and opens them as needed.
fn acquire_many(pool: &mut Pool, count: usize, now: u64) -> Vec<ConnectionId> {
    let mut acquired = Vec::new();
    for _ in 0..count * 4 {
        settle(pool, now);
        acquired.extend(pool.acquire(server(0), &[], ms(now)));
        if acquired.len() == count {
            break;
        }
    }
    assert_eq!(acquired.len(), count);
    acquired
}

/// Returns the connections that are silent, with a silence timeout of 50 ms.
fn silent_connections(pool: &Pool, ids: &[ConnectionId], now: u64) -> Vec<ConnectionId> {
    let is_silent = |id: &&ConnectionId| pool.health(**id, ms(50), ms(now)) == Health::Silent;
    ids.iter().filter(is_silent).copied().collect()
}

// Guards against a connect delay for the first request after an idle period.
#[test]
fn reconcile_without_use_opens_spare() {
    let mut pool = pool(3);
    assert_eq!(settle(&mut pool, 0).len(), 3);
    assert!(pool.acquire(server(2), &[], ms(1)).is_some());
    assert_eq!(settle(&mut pool, 1).len(), 1);
}

// Guards against a connect storm at a restarted server, when each request without a connection
// opens one.
#[test]
fn reconcile_after_many_misses_opens_few() {
    let mut pool = Pool::new(&route(1, 1), 1, 0, ms(0));
    (0..10).for_each(|_| assert!(pool.acquire(server(0), &[], ms(0)).is_none()));
    assert_eq!(pool.reconcile(ms(0)).len(), 2);
    assert_eq!(pool.reconcile(ms(1)), []);
}

#[test]
fn reconcile_after_use_shrinks_slowly() {
    let mut pool = pool(1);
    for id in acquire_many(&mut pool, 3, 0) {
        pool.release(id, ms(10));
    }
    assert_eq!(pool.connections(server(0)), SHARE);
    settle(&mut pool, 4_000);
    assert_eq!(pool.connections(server(0)), SHARE);
    for step in 1..20 {
        settle(&mut pool, 4_000 + step * 5_000);
    }
    assert_eq!(pool.connections(server(0)), 1);
}

#[test]
fn next_wake_after_reconcile_is_later() {
    let mut pool = pool(2);
    let ids = acquire_many(&mut pool, 3, 0);
    ids.iter().for_each(|id| pool.release(*id, ms(1)));
    let mut now = ms(1);
    while let Some(wake) = pool.next_wake() {
        pool.reconcile(now);
        assert!(pool.next_wake().is_none_or(|next| next > now), "at {now:?}");
        now = now.max(wake);
    }
}

// Guards against refused connections after the number of homes has grown, because homes keep their
// old share.
#[test]
fn set_homes_higher_closes_excess() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, SHARE, 0);
    pool.set_homes(HOMES * 2, ms(1));
    settle(&mut pool, 1);
    ids.iter().for_each(|id| pool.release(*id, ms(2)));
    settle(&mut pool, 2);
    assert_eq!(pool.connections(server(0)), 1);
}

#[test]
fn set_leaving_closes_idle_and_opens_none() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 2, 0);
    pool.release(ids[0], ms(1));
    pool.set_leaving(server(0), true, ms(2));
    assert!(settle(&mut pool, 2).is_empty());
    assert_eq!(pool.connections(server(0)), 1);
    pool.release(ids[1], ms(3));
    settle(&mut pool, 3);
    assert_eq!(pool.connections(server(0)), 0);
}

// Guards against a healthy server that is marked down because one of its connections is silent.
#[test]
fn silent_connection_while_others_answer_is_discarded() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 2, 0);
    pool.release(ids[1], ms(30));
    assert!(
        silent_connections(&pool, &ids, 100).is_empty(),
        "no answer on another connection since the attempt is overdue"
    );
    let second = pool
        .acquire(server(0), &[], ms(90))
        .expect("a connection is idle");
    pool.release(second, ms(100));
    assert!(
        silent_connections(&pool, &ids, 49).is_empty(),
        "not overdue yet"
    );
    assert_eq!(silent_connections(&pool, &ids, 100), [ids[0]]);
    pool.discard_silent(ids[0], ms(100));
    assert!(pool.is_reachable(server(0)));
    assert!(pool.reconcile(ms(100)).contains(&Command::Close(ids[0])));
}

// Guards against duplicate work for a slow server: a reply to an earlier attempt does not prove
// that the connection of a later one is silent.
#[test]
fn slow_server_connection_is_not_silent() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 2, 0);
    pool.release(ids[1], ms(5));
    let later = pool
        .acquire(server(0), &[], ms(10))
        .expect("a connection is idle");
    pool.release(ids[0], ms(150));
    assert_eq!(pool.health(later, ms(50), ms(160)), Health::Overdue);
}

// Guards against attempts that wait until their deadline when all connections to a server go silent
// together.
#[test]
fn silent_all_is_detected_by_new_connection() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 2, 0);
    let spare = settle(&mut pool, 210);
    assert_eq!(spare.len(), 1);
    assert_eq!(silent_connections(&pool, &ids, 210), ids);
}

/// Returns a pool with three connections to a server, their ids, and the id of a silent one. The
/// second connection went silent while the first was idle; the third has answered since.
fn pool_with_silent_connection() -> (Pool, Vec<ConnectionId>, ConnectionId) {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 3, 0);
    pool.release(ids[0], ms(5));
    pool.release(ids[1], ms(10));
    let silent = pool
        .acquire(server(0), &[], ms(20))
        .expect("two connections are idle");
    pool.release(ids[2], ms(100));
    (pool, ids, silent)
}

// Guards against the use of connections that were idle when another one went silent: they are
// probably silent as well.
#[test]
fn discard_silent_closes_unverified_idle_connections() {
    let (mut pool, ids, silent) = pool_with_silent_connection();
    pool.discard_silent(silent, ms(100));
    let closed: BTreeSet<_> = pool
        .reconcile(ms(100))
        .iter()
        .filter_map(|command| match command {
            Command::Close(id) => Some(*id),
            Command::Open(..) => None,
        })
        .collect();
    assert_eq!(closed, BTreeSet::from([ids[0], ids[1]]));
}

// Guards against the use of connections that were idle when that of a non-idempotent request went
// silent; its own connection stays open for a late reply.
#[test]
fn discard_unverified_closes_only_idle_connections() {
    let (mut pool, ids, silent) = pool_with_silent_connection();
    pool.discard_unverified(silent, ms(100));
    let commands = pool.reconcile(ms(100));
    let closes = commands
        .iter()
        .filter(|command| matches!(command, Command::Close(_)));
    assert_eq!(closes.collect::<Vec<_>>(), [&Command::Close(ids[0])]);
}

// Guards against a non-idempotent request on a connection that went silent while it was idle.
#[test]
fn acquire_fresh_after_long_idle_opens_new_connection() {
    let mut pool = Pool::new(&route(1, 1), 30, 0, ms(0));
    settle(&mut pool, 0);
    assert!(pool.acquire_fresh(server(0), &[], ms(60_000)).is_none());
    let new = settle(&mut pool, 60_000);
    assert_eq!(new.len(), 1, "the stale connection was replaced");
    assert_eq!(pool.acquire_fresh(server(0), &[], ms(60_001)), Some(new[0]));
}

#[test]
fn closed_idle_keeps_server_reachable() {
    let mut pool = pool(1);
    let ids = settle(&mut pool, 0);
    let disconnect = pool.closed(ids[0], ms(1)).expect("it was open");
    assert!(!disconnect.became_unreachable && pool.is_reachable(server(0)));
}

// Guards against a reconnect storm at a dead server.
#[test]
fn closed_while_opening_probes_with_backoff() {
    let mut pool = pool(1);
    let ids = acquire_many(&mut pool, 1, 0);
    for id in settle(&mut pool, 0).iter().chain(&ids) {
        pool.closed(*id, ms(1));
    }
    let mut probes = 0;
    for now in 1..60_000 {
        for command in pool.reconcile(ms(now)) {
            let Command::Open(id, _) = command else {
                continue;
            };
            probes += 1;
            pool.closed(id, ms(now));
            assert!(!pool.is_reachable(server(0)));
        }
    }
    assert!((8..=20).contains(&probes), "{probes} probes a minute");
    assert_eq!(settle(&mut pool, 120_000).len(), 1);
    assert!(pool.is_reachable(server(0)));
}

proptest! {
    /// Each step is a kind of event, a number that selects its connection, and the time before it.
    #[test]
    fn reconcile_any_events_stay_within_share(
        homes in 1..40_usize,
        steps in prop::collection::vec((0..12_u8, any::<usize>(), 0..3_000_u64), 0..300),
    ) {
        let mut pool = Pool::new(&route(1, 2), homes, 0, ms(0));
        let share = share(CONNECTIONS, homes) as usize;
        // Open connections according to the commands, with the number of their server.
        let mut open = BTreeMap::<ConnectionId, u16>::new();
        let mut now = ms(0);
        for (kind, index, wait) in steps {
            now += ms(wait);
            let id = open.keys().nth(index % open.len().max(1)).copied().unwrap_or_default();
            let target = server((index % 2) as u16);
            match kind {
                0..3 => { pool.opened(id, now); }
                3..5 => { pool.acquire(target, &[], now); }
                5 => { pool.acquire_fresh(target, &[], now); }
                6..8 => pool.release(id, now),
                8 => pool.discard(id, now),
                9 => pool.discard_silent(id, now),
                10 => pool.set_leaving(target, index % 4 < 2, now),
                _ => {
                    pool.closed(id, now);
                    open.remove(&id);
                }
            }
            for command in pool.reconcile(now) {
                match command {
                    Command::Open(id, to) => open.insert(id, u16::from(to == server(1))),
                    Command::Close(id) => open.remove(&id),
                };
            }
            for number in 0..2 {
                let count = open.values().filter(|to| **to == number).count();
                prop_assert!(count <= share, "{} connections", count);
                prop_assert_eq!(count, pool.connections(server(number)));
            }
        }
    }
}
