//! Statistics and connections for servers that many hosts share, so each host uses them rarely.

mod support;

use monsoonring_decision::Time;
use monsoonring_decision::backend::Fleet;
use monsoonring_decision::backend::pool::{Command, Pool};
use monsoonring_decision::placement::{Division, Homes};
use monsoonring_decision::reply::Report;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::{ms, route, server};
use test_case::test_case;

/// Kinds of work, each with its service time in milliseconds.
const SHORT_WORK: u64 = 9;
const LONG_WORK: u64 = 28;

/// Time between two requests of a host, in milliseconds.
const REQUEST_INTERVAL: u64 = 500;

fn homes(all: usize) -> Homes {
    Homes {
        near: all / 4,
        ..Homes::from(all)
    }
}

/// Makes a server answer an attempt of a kind of work after a latency in milliseconds.
fn answer(fleet: &mut Fleet, number: u16, attempt: u64, (work, latency): (u64, u64), now: Time) {
    fleet.sent_for(work, server(number), attempt, now);
    fleet.replied(attempt, &Report::default(), now + ms(latency));
}

// Guards against a hedge that is sent too late for a short request because the delay includes the
// latencies of long ones.
#[test]
fn hedge_delay_is_separate_per_kind_of_work() {
    let mut fleet = Fleet::new(&route(1, 3), 1, ms(0));
    for step in 0..200 {
        let work = if step % 4 == 0 { SHORT_WORK } else { LONG_WORK };
        let latency = work + step % 5;
        answer(
            &mut fleet,
            (step % 3) as u16,
            step,
            (work, latency),
            ms(step * 50),
        );
    }
    let now = ms(20_000);
    let all = fleet.hedge_delay(server(0), 0.92, now);
    let short = fleet.hedge_delay_of(SHORT_WORK, server(0), 0.92, now);
    let long = fleet.hedge_delay_of(LONG_WORK, server(0), 0.92, now);
    assert!(all >= ms(LONG_WORK), "{all:?}");
    assert!(short <= ms(2 * SHORT_WORK), "{short:?}, before {all:?}");
    assert!(long >= ms(LONG_WORK), "{long:?}");
    let unknown = fleet.hedge_delay_of(77, server(0), 0.92, now);
    assert_eq!(unknown, all, "an unknown kind uses the overall delay");
}

/// Simulates two requests per second to three servers, of which the nearby one becomes ten times
/// slower for `seconds`. Returns the choices of that server and all choices in this time.
fn choices_while_slow(seconds: u64) -> (u32, u32) {
    let mut fleet = Fleet::new(&route(1, 3), 1, ms(0));
    fleet.set_remote(&[server(1), server(2)].into());
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let servers: Vec<_> = (0..3).map(server).collect();
    let (mut slow_choices, mut choices) = (0, 0);
    for step in 0..(60 + seconds * 2) {
        let now = ms(step * REQUEST_INTERVAL);
        let choice = fleet.choose(&servers, &[], None, now, &mut rng);
        let chosen = choice.expect("all servers are available").server;
        let is_slow = step >= 60;
        let latency = match chosen == server(0) && is_slow {
            true => 10 * LONG_WORK,
            false => LONG_WORK,
        };
        answer(&mut fleet, chosen.port() - 1_000, step, (1, latency), now);
        slow_choices += u32::from(is_slow && chosen == server(0));
        choices += u32::from(is_slow);
    }
    (slow_choices, choices)
}

// Guards against a slow server that a home with few requests takes too long to avoid and probes too
// often.
#[test]
fn choose_slow_server_rarely_used_is_avoided() {
    let (slow_choices, choices) = choices_while_slow(20);
    assert!(
        slow_choices <= choices / 8,
        "{slow_choices} of {choices} attempts"
    );
}

#[test]
fn choose_after_one_pause_keeps_server() {
    let mut fleet = Fleet::new(&route(1, 3), 1, ms(0));
    fleet.set_remote(&[server(1), server(2)].into());
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let servers: Vec<_> = (0..3).map(server).collect();
    for step in 0..60 {
        answer(
            &mut fleet,
            0,
            step,
            (1, LONG_WORK),
            ms(step * REQUEST_INTERVAL),
        );
    }
    answer(&mut fleet, 0, 60, (1, 200), ms(60 * REQUEST_INTERVAL));
    let now = ms(61 * REQUEST_INTERVAL);
    let choice = fleet.choose(&servers, &[], None, now, &mut rng);
    assert_eq!(choice.expect("all servers are available").server, server(0));
}

/// Carries out the pool's commands. Returns the number of connections to each server.
fn settle(pool: &mut Pool, now: Time) -> [usize; 2] {
    loop {
        let commands = pool.reconcile(now);
        if commands.is_empty() {
            return [0, 1].map(|number| pool.connections(server(number)));
        }
        for command in commands {
            if let Command::Open(id, _) = command {
                pool.opened(id, now);
            }
        }
    }
}

// Guards against servers that reject connections because each of many homes keeps one to every
// remote server.
#[test_case(9, 5_000; "few_hosts")]
#[test_case(89, 2_000; "many_hosts")]
fn reconcile_remote_connection_is_held_while_connections_last(all: usize, hold_time: u64) {
    let division = Division::among_all_hosts(homes(all), 218.0);
    let mut pool = Pool::new(&route(1, 2), division, 1, ms(0));
    pool.set_remote([server(1)].into());
    assert_eq!(
        settle(&mut pool, ms(0)),
        [1, 0],
        "only to the nearby server"
    );
    assert_eq!(pool.acquire(server(1), &[], ms(10)), None);
    assert_eq!(settle(&mut pool, ms(10)), [1, 1], "on demand");
    let id = pool
        .acquire(server(1), &[], ms(20))
        .expect("the connection is open");
    pool.release(id, ms(30));
    settle(&mut pool, ms(30));
    let early = settle(&mut pool, ms(hold_time / 10));
    let late = settle(&mut pool, ms(hold_time + 1_000));
    assert_eq!((early, late), ([1, 1], [1, 0]));
}
