//! Cold backend servers: the rate at which all homes together send attempts, and the answers that
//! callers get meanwhile.

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

/// Highest rate that a cold server can serve, in requests per second from all homes together.
const MAX_RATE: f64 = 24.0;

/// Number of hosts in a data centre; all of them are homes.
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

/// Returns the quota per second at a server, summed over all homes that share a view of the members.
fn total_quota(near: usize, strong: usize, max_rate: f64, to: BackendServerId) -> usize {
    let shares = (0..near).map(|rank| {
        let division = Division::among_all_hosts(homes(near, strong, rank), 58.0);
        division.cold_quota(max_rate, to)
    });
    shares.sum()
}

proptest! {
    #[test]
    fn cold_quota_of_any_two_views_is_within_max_rate(
        max_rate in 0.0..300.0_f64,
        views in prop::collection::vec((1..250_usize, 0..10_usize), 2),
        number in 0..20_usize,
    ) {
        let to = server(number, 0);
        let sums = views.iter().map(|&(near, strong)| total_quota(near, strong.min(near / 2), max_rate, to));
        let all: usize = sums.sum();
        prop_assert!(all as f64 <= max_rate, "{all} of {max_rate}");
    }

    #[test]
    fn cold_quota_uses_nearly_half_of_max_rate(
        max_rate in 4.0..300.0_f64,
        near in 1..250_usize,
        strong in 0..10_usize,
    ) {
        let total = total_quota(near, strong.min(near / 2), max_rate, server(1, 1));
        prop_assert!(total as f64 >= max_rate / 2.0 - 2.0, "{total} of {max_rate}");
    }
}

// With fewer requests than homes, each server is assigned to other homes, and no home gets all servers
// or none.
#[test]
fn cold_quota_below_one_per_home_is_spread() {
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

/// Drives one of several homes and records when it sent which attempt.
struct Driver {
    session: Session,
    /// Number of attempts in `sent`.
    sends_seen: usize,
    sent: Vec<(Time, BackendServerId)>,
    /// Attempts in progress: when to answer, and the index of the attempt.
    due: Vec<(Time, usize)>,
    submitted: u128,
}

impl Driver {
    fn new(route: Route, rank: usize) -> Self {
        let division = Division::among_all_hosts(homes(HOSTS, 0, rank), 58.0);
        Self {
            session: Session::with_division(route, division),
            sends_seen: 0,
            sent: Vec::new(),
            due: Vec::new(),
            submitted: 0,
        }
    }

    fn submit(&mut self) {
        self.submitted += 1;
        self.session.submit(self.submitted);
        self.record_sends();
    }

    fn record_sends(&mut self) {
        while let Some(send) = self.session.sends.get(self.sends_seen) {
            self.sent.push((self.session.now, send.backend_server));
            self.due.push((self.session.now + ms(10), self.sends_seen));
            self.sends_seen += 1;
        }
    }

    fn advance(&mut self, time: Time) {
        let end = self.session.now + time;
        while self.session.now < end {
            self.session.advance(ms(1));
            self.record_sends();
            let now = self.session.now;
            let due = std::mem::take(&mut self.due).into_iter();
            let (due, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= now);
            self.due = later;
            for (_, index) in due {
                let send = self.session.sends[index].clone();
                self.session.answer(&send);
                self.record_sends();
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

fn cold_event(servers: &[BackendServerId], until: Time) -> Event {
    let limit = ColdLimit {
        until,
        max_rate: MAX_RATE,
    };
    Event::Cold(servers.iter().map(|server| (*server, limit)).collect())
}

/// Returns the highest number of attempts that all homes sent to a server within a second.
fn peak_rate(drivers: &[Driver], to: BackendServerId) -> usize {
    let sent = drivers.iter().flat_map(|driver| &driver.sent);
    let to_server = sent.filter(|(_, server)| *server == to);
    session::peak_rate(to_server.map(|(at, _)| *at).collect())
}

/// Simulates `per_second` requests per second at each home.
fn simulate(drivers: &mut [Driver], seconds: u64, per_second: u64) {
    let pause = ms(1_000 / per_second);
    for _ in 0..seconds * per_second {
        for driver in &mut *drivers {
            driver.submit();
            driver.advance(pause);
        }
    }
}

fn drivers(replicas: usize) -> Vec<Driver> {
    let mut route = route(1, replicas);
    route.hedge.budget_percent = 0.0;
    (0..HOSTS)
        .map(|rank| Driver::new(route.clone(), rank))
        .collect()
}

// Guards against a cold server that gets the full rate of each home, and crashes.
#[test]
fn cold_server_beside_a_warm_one_stays_within_max_rate() {
    let mut drivers = drivers(1);
    simulate(&mut drivers, 1, 50);
    for driver in &mut drivers {
        driver
            .session
            .handle(cold_event(&[server(0, 1)], ms(4_000)));
        let mut wider = route(1, 2);
        wider.hedge.budget_percent = 0.0;
        driver.session.handle(Event::Route(wider.into()));
    }
    simulate(&mut drivers, 3, 50);
    let peak_rate = peak_rate(&drivers, server(0, 1));
    assert!(peak_rate as f64 <= MAX_RATE, "{peak_rate} in a second");
    assert!(
        peak_rate as f64 >= MAX_RATE / 4.0,
        "too few to warm it up: {peak_rate} in a second"
    );
    for driver in &drivers {
        assert_eq!(
            driver.complete() as u128,
            driver.submitted,
            "each request is answered"
        );
    }
}

// Guards against a shard without answers for as long as all of its servers are cold.
#[test]
fn cold_shard_serves_up_to_max_rate() {
    let mut drivers = drivers(2);
    let servers = [server(0, 0), server(0, 1)];
    for driver in &mut drivers {
        driver.session.handle(cold_event(&servers, ms(5_000)));
    }
    simulate(&mut drivers, 4, 20);
    let complete: usize = drivers.iter().map(Driver::complete).sum();
    for server in servers {
        let peak_rate = peak_rate(&drivers, server);
        assert!(peak_rate as f64 <= MAX_RATE, "{peak_rate} in a second");
    }
    // Two servers at half of the maximum rate each, for three seconds. In the first second the earlier
    // load is unknown, so nothing is sent.
    assert!(
        complete as f64 >= MAX_RATE * 3.0 * 0.8,
        "{complete} answered"
    );
    simulate(&mut drivers, 3, 20);
    let after: usize = drivers.iter().map(Driver::complete).sum();
    // In the last cold second requests beyond the maximum rate fail; afterwards all are answered.
    let requests_per_second = 20 * HOSTS;
    let missed = (3 * requests_per_second).saturating_sub(after - complete);
    assert!(
        missed as f64 <= requests_per_second as f64 - MAX_RATE,
        "{missed} not answered"
    );
}

// Guards against a server that becomes cold while in use and gets its quota on top of the load that
// it already has in this second.
#[test]
fn cold_server_that_was_in_use_gets_nothing_for_a_second() {
    let mut drivers = drivers(2);
    simulate(&mut drivers, 1, 50);
    let now = drivers[0].session.now;
    for driver in &mut drivers {
        driver
            .session
            .handle(cold_event(&[server(0, 0)], driver.session.now + ms(3_000)));
        driver.sent.clear();
    }
    simulate(&mut drivers, 1, 50);
    let attempts = drivers.iter().flat_map(|driver| &driver.sent);
    let attempts = attempts.filter(|(at, to)| *to == server(0, 0) && *at < now + SECOND);
    assert_eq!(attempts.count(), 0);
    simulate(&mut drivers, 2, 50);
    let peak_rate = peak_rate(&drivers, server(0, 0));
    assert!(
        peak_rate > 0 && peak_rate as f64 <= MAX_RATE,
        "{peak_rate} in a second"
    );
}

// Guards against attempts that wait for a connection and are then sent together with those of the
// next second: the quota counts attempts when they are sent.
#[test]
fn cold_attempt_queued_for_a_connection_counts_when_sent() {
    let mut many_slots = route(1, 1);
    many_slots.capacity.slots = 30;
    let mut driver = Driver::new(many_slots, 0);
    let to = server(0, 0);
    driver.session.advance(ms(100));
    driver.session.handle(cold_event(&[to], ms(60_000)));
    driver.session.advance(ms(1_200));
    let share = Division::among_all_hosts(homes(HOSTS, 0, 0), 58.0).cold_quota(MAX_RATE, to);
    driver.session.pending.insert(to);
    let opened = driver.session.opens.len();
    for _ in 0..30 {
        driver.submit();
        // The only open connection stays busy.
        driver.session.advance(ms(29));
    }
    let delayed_opens: Vec<_> = driver.session.opens[opened..].to_vec();
    assert!(!delayed_opens.is_empty(), "more connections are requested");
    for (connection, _) in delayed_opens {
        driver.session.handle(Event::Opened(connection));
        driver.record_sends();
    }
    for _ in 0..30 {
        driver.submit();
        driver.advance(ms(29));
    }
    let peak_rate = peak_rate(&[driver], to);
    assert!(peak_rate <= share, "{peak_rate} in a second, quota {share}");
}

// Guards against a cold server that gets its maximum rate from each of several data centres.
#[test]
fn cold_remote_server_gets_nothing_until_warm() {
    let mut many_slots = route(1, 2);
    many_slots.capacity.slots = 30;
    let mut driver = Driver::new(many_slots, 0);
    let to = server(0, 0);
    driver
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    driver.session.handle(cold_event(&[to], ms(2_000)));
    // Nothing is answered, so the nearby server is loaded far beyond its share.
    for _ in 0..12 {
        driver.submit();
    }
    assert!(driver.sent.iter().all(|(_, server)| *server != to));
    let mut driver = Driver::new(route(1, 1), 0);
    driver
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    driver.session.handle(cold_event(&[to], ms(2_000)));
    driver.advance(ms(2_001));
    driver.submit();
    driver.advance(ms(20));
    assert_eq!(driver.complete(), 1, "the server is warm");
}

// Guards against a request that waits until its deadline because nothing happens at the home when
// the quota allows another attempt.
#[test]
fn cold_server_gets_waiting_request_when_quota_allows() {
    let mut driver = Driver::new(route(1, 1), 0);
    let to = server(0, 0);
    driver.session.handle(cold_event(&[to], ms(60_000)));
    driver.advance(ms(1_200));
    let share = Division::among_all_hosts(homes(HOSTS, 0, 0), 58.0).cold_quota(MAX_RATE, to);
    for _ in 0..share {
        driver.submit();
        driver.advance(ms(20));
    }
    driver.advance(ms(300));
    driver.submit();
    driver.advance(ms(900));
    assert_eq!(driver.complete(), share + 1);
}

// Guards against requests that wait until their deadline for a cold server at which this home has
// no quota.
#[test]
fn cold_past_the_deadline_fails_immediately() {
    let mut driver = Driver::new(route(1, 1), 0);
    let to = server(0, 0);
    driver
        .session
        .handle(Event::RemoteServers(BTreeSet::from([to])));
    driver.session.handle(cold_event(&[to], ms(60_000)));
    driver.submit();
    driver.session.advance(ms(20));
    assert!(driver.session.is_finished(1));
    assert!(driver.session.has_logged("give_up"), "the reason is logged");
}

#[test]
fn cold_ended_removes_the_limit() {
    let mut driver = Driver::new(route(1, 1), 0);
    driver
        .session
        .handle(cold_event(&[server(0, 0)], ms(60_000)));
    driver.advance(ms(500));
    driver.session.handle(Event::Cold(BTreeMap::new()));
    simulate(std::slice::from_mut(&mut driver), 1, 50);
    assert_eq!(driver.complete() as u128, driver.submitted);
}
