//! A request that crashes the backend servers that run it, and that reaches another host each time it is sent.

mod session;

use monsoonring_configuration::document::{Kind, Route, SoftDeadline};
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{ConnectFailure, Failure};
use monsoonring_decision::backend::suspect::EVIDENCE_RETENTION;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::home::{Action, Event, Params};
use monsoonring_decision::{Fingerprint, Time};
use session::{Session, ms, request, without_hedges};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const HOSTS: usize = 9;

const CULPRIT: Fingerprint = 666;

/// Time for which a server runs the request before it crashes.
const RUN_TIME: Time = Time::from_millis(20);

/// Time until a crashed server is back.
const RESTART_TIME: Time = Time::from_millis(3_000);

/// Time after the third crash from which only [`MAX_REPEATS`] sends of the request may reach servers.
const DETECTION_TIME: Time = Time::from_millis(4_000);
const MAX_REPEATS: usize = 3;

/// Several hosts that are homes of the same route, and its backend servers.
struct Hosts {
    hosts: Vec<Session>,
    servers: BTreeSet<BackendServerId>,
    /// Announcements of each host that the others have received.
    received: Vec<usize>,
    /// Crashed servers and when they are back.
    down: BTreeMap<BackendServerId, Time>,
    crashes: Vec<Time>,
    /// Sends of the request that reached servers.
    reached: Vec<Time>,
    next_id: u128,
}

impl Hosts {
    fn new(route: &Route) -> Self {
        let groups = route.groups.iter();
        Self {
            servers: groups
                .flat_map(|group| group.backend_servers.iter().copied())
                .collect(),
            hosts: (0..HOSTS)
                .map(|_| Session::with_hosts(route.clone(), HOSTS))
                .collect(),
            received: vec![0; HOSTS],
            down: BTreeMap::new(),
            crashes: Vec::new(),
            reached: Vec::new(),
            next_id: 0,
        }
    }

    fn now(&self) -> Time {
        self.hosts[0].now
    }

    /// Advances the time in small steps: crashed servers come back, and announcements reach the other hosts.
    fn advance_to(&mut self, time: Time) {
        while self.now() < time {
            let step = ms(5).min(time - self.now());
            for host in &mut self.hosts {
                host.advance(step);
            }
            self.restart_servers();
            self.exchange();
        }
    }

    fn restart_servers(&mut self) {
        let now = self.now();
        let back: BTreeSet<_> = (self.down.iter())
            .filter(|(_, until)| **until <= now)
            .map(|(server, _)| *server)
            .collect();
        if back.is_empty() {
            return;
        }
        self.down.retain(|server, _| !back.contains(server));
        for host in &mut self.hosts {
            host.refusing.retain(|server| !back.contains(server));
            host.handle(Event::Replaced(back.clone()));
        }
    }

    /// Delivers each host's new announcements to the others.
    fn exchange(&mut self) {
        for from in 0..HOSTS {
            let events: Vec<Event> = self.hosts[from].other_actions[self.received[from]..]
                .iter()
                .filter_map(|action| self.announcement(action))
                .collect();
            self.received[from] = self.hosts[from].other_actions.len();
            for (to, host) in self.hosts.iter_mut().enumerate() {
                for event in events.iter().filter(|_| to != from) {
                    host.handle(event.clone());
                }
            }
        }
    }

    fn announcement(&self, action: &Action) -> Option<Event> {
        match *action {
            Action::AnnounceSuspect(fingerprint, period) => Some(Event::Suspect {
                fingerprint,
                until: self.now() + period,
            }),
            Action::AnnounceCrashEvidence(announcement) => {
                let until = self.now() + EVIDENCE_RETENTION;
                Some(Event::CrashEvidence(announcement, until))
            }
            _ => None,
        }
    }

    /// Sends the request to a host, and crashes each server that the host sends it to.
    fn send_culprit(&mut self, number: usize, params: Params) {
        self.next_id += 1;
        let id = self.next_id;
        let before = self.hosts[number].sends.len();
        let request = Request {
            fingerprint: CULPRIT,
            params: Some(params),
            ..request(id, self.now())
        };
        self.hosts[number].handle(Event::Request(request));
        let mut next = before;
        while next < self.hosts[number].sends.len() {
            let batch = self.hosts[number].sends.len();
            self.advance_to(self.now() + RUN_TIME);
            for index in next..batch {
                self.crash_under(number, index);
            }
            self.exchange();
            next = batch;
        }
        if next > before {
            self.reached.push(self.now());
        }
        if !self.hosts[number].is_finished(id) {
            self.hosts[number].handle(Event::Abandoned(id));
        }
    }

    /// Crashes the server of an attempt: its connections are lost, and further connects are refused.
    fn crash_under(&mut self, number: usize, index: usize) {
        let now = self.now();
        let send = self.hosts[number].sends[index].clone();
        if self.hosts[number].cancels.contains(&send.attempt) {
            return;
        }
        self.down.insert(send.backend_server, now + RESTART_TIME);
        self.crashes.push(now);
        for host in &mut self.hosts {
            host.refusing.insert(send.backend_server);
        }
        self.hosts[number].fail(send.attempt, Failure::Lost);
    }

    /// Submits a search with this fingerprint to a host.
    fn submit_harmless(&mut self, number: usize, fingerprint: Fingerprint) -> u128 {
        self.next_id += 1;
        let request = Request {
            fingerprint,
            params: Some(params(2, 0.89)),
            ..request(self.next_id, self.now())
        };
        self.hosts[number].handle(Event::Request(request));
        self.next_id
    }

    /// Crashes all servers at the same moment. Every attempt in flight is lost.
    fn lose_all_servers(&mut self) {
        let now = self.now();
        let servers = self.servers.clone();
        for host in &mut self.hosts {
            host.refusing.extend(&servers);
        }
        self.down
            .extend(servers.iter().map(|server| (*server, now + RESTART_TIME)));
        for host in &mut self.hosts {
            let mut next = 0;
            while let Some(send) = host.sends.get(next) {
                let attempt = send.attempt;
                host.fail(attempt, Failure::Lost);
                next += 1;
            }
        }
        self.exchange();
    }

    /// Answers all attempts of a host, including those sent meanwhile.
    fn answer_all(&mut self, number: usize) {
        self.hosts[number].answer_from(0);
    }

    /// Returns how many sends reached servers after the time in which the crashes are to be detected.
    fn repeats(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let late = self.reached.iter();
        late.filter(|at| **at > *third + DETECTION_TIME).count()
    }
}

fn params(max_runs: u32, min_coverage: f64) -> Params {
    Params {
        kind: Kind::Search,
        max_runs,
        soft_deadline: Some(SoftDeadline {
            after_ms: 100,
            coverage: min_coverage,
        }),
        min_coverage,
        work: 0,
        urgency: None,
    }
}

// Guards against a request that crashes servers at every host in turn, because each host needs evidence of its own.
#[test_case(10, 3, 2, 50, 4; "search over ten shards, in bursts")]
#[test_case(1, 9, 1, 1_000, 1; "one server, once a second")]
#[test_case(1, 9, 2, 700, 2; "one server and a retry, in pairs")]
fn crashing_request_sent_to_another_host_each_time_is_refused_everywhere(
    shards: usize,
    replicas: usize,
    max_runs: u32,
    pause_ms: u64,
    burst: usize,
) {
    let mut hosts = Hosts::new(&without_hedges(shards, replicas));
    hosts.advance_to(ms(1_000));
    for number in 0..40 {
        hosts.send_culprit(number % HOSTS, params(max_runs, 0.89));
        let pause = match (number + 1) % burst {
            0 if burst > 1 => ms(4_000),
            _ => ms(pause_ms),
        };
        hosts.advance_to(hosts.now() + pause);
    }
    assert!(
        hosts.repeats() <= MAX_REPEATS,
        "{} sends reached servers after the detection time, {} crashes in all",
        hosts.repeats(),
        hosts.crashes.len()
    );
}

// Guards against a search in quarantine that crashes a server of the next shard before a connect to the first one fails.
#[test]
fn search_in_quarantine_reaches_one_server() {
    let mut hosts = Hosts::new(&without_hedges(10, 3));
    hosts.advance_to(ms(1_000));
    hosts.send_culprit(0, params(2, 0.89));
    hosts.advance_to(ms(2_000));
    let host = &mut hosts.hosts[1];
    host.pending = hosts.servers.clone();
    let request = Request {
        fingerprint: CULPRIT,
        params: Some(params(2, 0.89)),
        ..request(100, host.now)
    };
    host.handle(Event::Request(request));
    let [send] = &host.sends[..] else {
        unreachable!("one part is sent: {:?}", host.sends);
    };
    let (attempt, server) = (send.attempt, send.backend_server);
    let opens = host.opens.len();
    host.fail(attempt, Failure::Lost);
    host.advance(ms(2));
    assert_eq!(host.sends.len(), 1, "the loss is not confirmed yet");
    let mut connects = host.opens[opens..].iter();
    let connect = connects.rfind(|(_, to)| *to == server);
    let (connection, _) = connect.expect("a connect to the server");
    host.handle(Event::ConnectFailed(*connection, ConnectFailure::Refused));
    host.advance(ms(200));
    assert_eq!(host.sends.len(), 1);
    assert!(host.has_logged("suspect"));
}

// Guards against the refusal of harmless requests that were in progress when all servers crashed, twice.
#[test]
fn harmless_requests_during_two_outages_are_not_refused() {
    let mut hosts = Hosts::new(&without_hedges(10, 3));
    hosts.advance_to(ms(1_000));
    for _ in 0..2 {
        for number in 0..HOSTS {
            hosts.submit_harmless(number, number as Fingerprint);
        }
        hosts.lose_all_servers();
        hosts.advance_to(hosts.now() + RESTART_TIME + ms(1_000));
        for number in 0..HOSTS {
            let repeated = (number + 1) % HOSTS;
            let id = hosts.submit_harmless(repeated, number as Fingerprint);
            hosts.answer_all(repeated);
            let host = &hosts.hosts[repeated];
            assert_eq!(
                host.answer_to(id).coverage,
                1.0,
                "repeated at the next host"
            );
        }
        hosts.advance_to(hosts.now() + ms(100));
    }
    assert!(hosts.hosts.iter().all(|host| !host.has_logged("suspect")));
}
