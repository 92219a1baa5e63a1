//! Cold backend servers: what all homes together send them in any second, and what callers get meanwhile.

mod session;

use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::backend::ColdLimit;
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::{Division, Homes, Role};
use proptest::prelude::*;
use session::{Session, ms, route, server};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: Time = Time::from_secs(1);

/// Requests in a second that the cold server of these tests bears from all homes together.
const BEARS: f64 = 24.0;

/// Hosts of one data centre, all of which are homes.
const HOSTS: usize = 4;

fn homes(near: usize, strong: usize, rank: usize) -> Homes {
    let role = match strong {
        0 => Role::Even,
        _ if rank < strong => Role::Strong,
        _ => Role::Weak,
    };
    Homes {
        all: near * 3,
        near,
        strong,
        role,
        rank: match role {
            Role::Weak => rank - strong,
            _ => rank,
        },
    }
}

/// Returns what all homes of one view may send to a server in a second.
fn sum(near: usize, strong: usize, bears: f64, to: BackendServerId) -> usize {
    let shares = (0..near).map(|rank| {
        let division = Division::among_all_hosts(homes(near, strong, rank), 58.0);
        division.cold_quota(bears, to)
    });
    shares.sum()
}

proptest! {
    #[test]
    fn cold_any_two_views_stay_within_what_a_server_bears(
        bears in 0.0..300.0_f64,
        views in prop::collection::vec((1..250_usize, 0..10_usize), 2),
        number in 0..20_usize,
    ) {
        let to = server(number, 0);
        let sums = views.iter().map(|&(near, strong)| sum(near, strong.min(near / 2), bears, to));
        let all: usize = sums.sum();
        prop_assert!(all as f64 <= bears, "{all} of {bears}");
    }

    #[test]
    fn cold_much_of_half_is_given_out(
        bears in 4.0..300.0_f64,
        near in 1..250_usize,
        strong in 0..10_usize,
    ) {
        let given = sum(near, strong.min(near / 2), bears, server(1, 1));
        prop_assert!(given as f64 >= bears / 2.0 - 2.0, "{given} of {bears}");
    }
}

// Where there are more homes than requests, each server is some homes' and no home has them all or none.
#[test]
fn cold_few_requests_of_many_homes_go_to_others_for_each_server() {
    let shares = |rank: usize| -> Vec<usize> {
        let division = Division::among_all_hosts(homes(40, 0, rank), 58.0);
        (0..30)
            .map(|number| division.cold_quota(10.0, server(number, 0)))
            .collect()
    };
    let served: Vec<usize> = (0..40).map(|rank| shares(rank).iter().sum()).collect();
    assert!(served.iter().all(|count| *count < 30), "{served:?}");
    let idle = served.iter().filter(|count| **count == 0).count();
    assert!(idle < 10, "{served:?}");
}

#[test]
fn cold_home_without_need_of_its_own_sends_nothing() {
    let division = Division::among_all_hosts(homes(4, 0, 0), 58.0).on_demand();
    assert_eq!(division.cold_quota(BEARS, server(0, 0)), 0);
}

/// One home of several, and when its attempts left for a cold server.
struct Player {
    session: Session,
    /// Attempts that were looked at.
    seen: usize,
    sent: Vec<(Time, BackendServerId)>,
    /// Attempts to be answered, and when.
    due: Vec<(Time, usize)>,
    asked: u128,
}

impl Player {
    fn new(route: Route, rank: usize) -> Self {
        let division = Division::among_all_hosts(homes(HOSTS, 0, rank), 58.0);
        Self {
            session: Session::with_division(route, division),
            seen: 0,
            sent: Vec::new(),
            due: Vec::new(),
            asked: 0,
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        self.session.submit(self.asked);
        self.look();
    }

    fn look(&mut self) {
        while let Some(send) = self.session.sends.get(self.seen) {
            self.sent.push((self.session.now, send.backend_server));
            self.due.push((self.session.now + ms(10), self.seen));
            self.seen += 1;
        }
    }

    fn pass(&mut self, time: Time) {
        let end = self.session.now + time;
        while self.session.now < end {
            self.session.advance(ms(1));
            self.look();
            let now = self.session.now;
            let due = std::mem::take(&mut self.due).into_iter();
            let (due, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= now);
            self.due = later;
            for (_, index) in due {
                let send = self.session.sends[index].clone();
                self.session.answer(&send);
                self.look();
            }
        }
    }

    fn complete(&self) -> usize {
        let finishes = self.session.finishes.iter();
        let complete = finishes.filter(|(_, outcome)| match outcome {
            Outcome::Answered(answer) => answer.coverage >= 1.0,
            _ => false,
        });
        complete.count()
    }
}

fn cold(servers: &[BackendServerId], until: Time) -> Event {
    let one = ColdLimit {
        until,
        max_rate: BEARS,
    };
    Event::Cold(servers.iter().map(|server| (*server, one)).collect())
}

/// Returns the most attempts that left for a server within a second, over all homes.
fn most(players: &[Player], to: BackendServerId) -> usize {
    let sent = players.iter().flat_map(|player| &player.sent);
    let mut times: Vec<Time> = sent
        .filter(|(_, one)| *one == to)
        .map(|(at, _)| *at)
        .collect();
    times.sort_unstable();
    let within = |from: Time| {
        let is_within = |at: &&Time| **at >= from && **at < from + SECOND;
        times.iter().filter(is_within).count()
    };
    times.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Plays seconds of load at all homes.
fn play(players: &mut [Player], seconds: u64, a_second: u64) {
    let pause = ms(1_000 / a_second);
    for _ in 0..seconds * a_second {
        for player in &mut *players {
            player.ask();
            player.pass(pause);
        }
    }
}

fn players(replicas: usize) -> Vec<Player> {
    let mut route = route(1, replicas);
    route.hedge.budget_percent = 0.0;
    (0..HOSTS)
        .map(|rank| Player::new(route.clone(), rank))
        .collect()
}

// Symptom: servers of a data centre that was given back go down again one after the other.
// Events:  a server starts cold beside a warm one, and all homes are asked 50 times a second.
// Cause:   each home sent it its full share at once: 100 in a second, where it bears 24.
#[test]
fn started_cold_beside_a_warm_one_gets_what_it_bears_and_all_are_answered() {
    let mut players = players(1);
    play(&mut players, 1, 50);
    for player in &mut players {
        player.session.handle(cold(&[server(0, 1)], ms(4_000)));
        let mut wider = route(1, 2);
        wider.hedge.budget_percent = 0.0;
        player.session.handle(Event::Route(wider.into()));
    }
    play(&mut players, 3, 50);
    let most = most(&players, server(0, 1));
    assert!(most as f64 <= BEARS, "{most} in a second");
    assert!(
        most as f64 >= BEARS / 4.0,
        "it is warmed: {most} in a second"
    );
    for player in &players {
        assert_eq!(player.complete() as u128, player.asked, "each is answered");
    }
}

// Symptom: a shard has no answer for as long as its servers are cold.
// Events:  all servers of a shard are cold at once, as after a power cut; calls press beyond what they bear.
// Cause:   cold servers were left alone altogether.
#[test]
fn started_cold_all_of_a_shard_answer_what_they_bear() {
    let mut players = players(2);
    let servers = [server(0, 0), server(0, 1)];
    for player in &mut players {
        player.session.handle(cold(&servers, ms(5_000)));
    }
    play(&mut players, 4, 20);
    let complete: usize = players.iter().map(Player::complete).sum();
    for server in servers {
        let most = most(&players, server);
        assert!(most as f64 <= BEARS, "{most} in a second");
    }
    // Two servers, half of the bound each, three seconds after the first that is not known.
    assert!(
        complete as f64 >= BEARS * 3.0 * 0.8,
        "{complete} are answered"
    );
    play(&mut players, 3, 20);
    let after: usize = players.iter().map(Player::complete).sum();
    // In the last second of the cold, callers beyond what is borne go without; then none does.
    let asked_a_second = 20 * HOSTS;
    let missed = (3 * asked_a_second).saturating_sub(after - complete);
    assert!(
        missed as f64 <= asked_a_second as f64 - BEARS,
        "{missed} go without"
    );
}

// Symptom: a server crashes in the moment in which it becomes cold.
// Events:  it is in use and says that it is cold: it has had its full load in this second already.
// Cause:   only what was sent from then on was counted.
#[test]
fn in_use_that_becomes_cold_gets_nothing_for_a_second() {
    let mut players = players(2);
    play(&mut players, 1, 50);
    let now = players[0].session.now;
    for player in &mut players {
        player
            .session
            .handle(cold(&[server(0, 0)], player.session.now + ms(3_000)));
        player.sent.clear();
    }
    play(&mut players, 1, 50);
    let early = players.iter().flat_map(|player| &player.sent);
    let early = early.filter(|(at, to)| *to == server(0, 0) && *at < now + SECOND);
    assert_eq!(early.count(), 0);
    play(&mut players, 2, 50);
    let most = most(&players, server(0, 0));
    assert!(most > 0 && most as f64 <= BEARS, "{most} in a second");
}

// Symptom: a cold server crashes although no home chose it too often.
// Events:  attempts wait for a connection to it, which comes late; with it come those of the next second.
// Cause:   attempts were counted when the server was chosen, and not when they left.
#[test]
fn queued_for_a_connection_counts_when_it_leaves() {
    let mut roomy = route(1, 1);
    roomy.capacity.slots = 30;
    let mut player = Player::new(roomy, 0);
    let to = server(0, 0);
    player.session.advance(ms(100));
    player.session.handle(cold(&[to], ms(60_000)));
    player.session.advance(ms(1_200));
    let share = Division::among_all_hosts(homes(HOSTS, 0, 0), 58.0).cold_quota(BEARS, to);
    player.session.pending.insert(to);
    let opened = player.session.opens.len();
    for _ in 0..30 {
        player.ask();
        // The one connection that is open stays busy.
        player.session.advance(ms(29));
    }
    let late: Vec<_> = player.session.opens[opened..].to_vec();
    assert!(!late.is_empty(), "more connections are wanted");
    for (connection, _) in late {
        player.session.handle(Event::Opened(connection));
        player.look();
    }
    for _ in 0..30 {
        player.ask();
        player.pass(ms(29));
    }
    let most = most(&[player], to);
    assert!(most <= share, "{most} in a second, {share} are allowed");
}

// Symptom: a cold server gets more than it bears although each data centre keeps to its part.
// Events:  hosts of three data centres use it.
// Cause:   each data centre divided the whole among its own hosts.
#[test]
fn cold_in_another_data_centre_gets_nothing_until_it_is_warm() {
    let mut roomy = route(1, 2);
    roomy.capacity.slots = 30;
    let mut player = Player::new(roomy, 0);
    let to = server(0, 0);
    player
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    player.session.handle(cold(&[to], ms(2_000)));
    // Nothing is answered, so that the near one has far more than its share.
    for _ in 0..12 {
        player.ask();
    }
    assert!(player.sent.iter().all(|(_, one)| *one != to));
    let mut player = Player::new(route(1, 1), 0);
    player
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    player.session.handle(cold(&[to], ms(2_000)));
    player.pass(ms(2_001));
    player.ask();
    player.pass(ms(20));
    assert_eq!(player.complete(), 1, "it is warm");
}

// Symptom: a call that could be served waits for its deadline.
// Events:  the only server of a shard is cold; a call waits as it has had what it bears from here; nothing else
//          happens at this home.
// Cause:   nobody looked again when the second was over.
#[test]
fn waiting_for_a_cold_server_leaves_when_it_bears_one_more() {
    let mut player = Player::new(route(1, 1), 0);
    let to = server(0, 0);
    player.session.handle(cold(&[to], ms(60_000)));
    player.pass(ms(1_200));
    let share = Division::among_all_hosts(homes(HOSTS, 0, 0), 58.0).cold_quota(BEARS, to);
    for _ in 0..share {
        player.ask();
        player.pass(ms(20));
    }
    player.pass(ms(300));
    player.ask();
    player.pass(ms(900));
    assert_eq!(player.complete(), share + 1);
}

// Symptom: calls wait for their deadline although nobody here may serve them.
// Events:  the only server of a shard is cold in another data centre for longer than callers wait.
// Cause:   a server that is cold counted as one that has room soon.
#[test]
fn cold_for_longer_than_the_caller_waits_is_told_at_once() {
    let mut player = Player::new(route(1, 1), 0);
    let to = server(0, 0);
    player
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    player.session.handle(cold(&[to], ms(60_000)));
    player.ask();
    player.session.advance(ms(20));
    assert!(player.session.is_finished(1));
    assert!(
        player.session.has_logged("give_up"),
        "with what stands in the way"
    );
}

#[test]
fn cold_no_more_takes_any_number() {
    let mut player = Player::new(route(1, 1), 0);
    player.session.handle(cold(&[server(0, 0)], ms(60_000)));
    player.pass(ms(500));
    player.session.handle(Event::Cold(BTreeMap::new()));
    play(std::slice::from_mut(&mut player), 1, 50);
    assert_eq!(player.complete() as u128, player.asked);
}
