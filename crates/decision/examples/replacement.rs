//! Replaces all of eight daemons in turn while non-idempotent requests are in flight, and counts
//! how often a caller is told "unknown".
//!
//! Seeded, on a clock of its own; the ledgers are the real ones. A caller loses the answer to a
//! part of its sends and sends once more, up to a minute later, wherever the balancer puts it.

use monsoonring_decision::Time;
use monsoonring_decision::idempotency::lookup::Resolution;
use monsoonring_decision::idempotency::permit::SentOutcome;
use monsoonring_decision::idempotency::{
    Decision, Fence, Key, Ledger, Limits, Lookup, Outcome, Permit, Poll, Refusal, Request, Sent,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const DAEMONS: usize = 8;
const REQUESTS: usize = 20_000;
const SEEDS: u64 = 5;
const LOST_ANSWERS: f64 = 0.2;
const ARRIVALS_MS: u64 = 300_000;
const FIRST_STOP_MS: u64 = 20_000;
const STOP_EVERY_MS: u64 = 30_000;
const NOTICE_MS: u64 = 3_000;
const DOWN_MS: u64 = 5_000;
const POLL_MS: u64 = 50;
const MINT_TO_SEND_MS: u64 = 50;
const RUN_MS: std::ops::Range<u64> = 50..500;
const RESEND_MS: std::ops::Range<u64> = 1_000..60_000;

/// How the daemons are replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Handover,
    NoHandover,
    Killed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Mint(usize),
    Send(usize, u32),
    Ran(usize, u64, usize),
    Stop(usize),
    Drain(usize),
    Exit(usize),
    Start(usize),
}

struct Daemon {
    ledger: Ledger,
    started: u64,
    ready: bool,
    running: Vec<(usize, Permit<Sent>)>,
}

#[derive(Default)]
struct Tally {
    sends: [u64; 2],
    unknown: [u64; 2],
    not_run: [u64; 2],
    twice: usize,
}

struct Fleet {
    way: Way,
    own: bool,
    rng: ChaCha8Rng,
    now: u64,
    starts: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    daemons: Vec<Option<Daemon>>,
    keys: Vec<Option<Key>>,
    runs: Vec<u32>,
    tally: Tally,
}

impl Fleet {
    fn new(way: Way, own: bool, seed: u64) -> Self {
        let mut fleet = Self {
            way,
            own,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            starts: 0,
            events: BinaryHeap::new(),
            daemons: (0..DAEMONS).map(|_| None).collect(),
            keys: vec![None; REQUESTS],
            runs: vec![0; REQUESTS],
            tally: Tally::default(),
        };
        for place in 0..DAEMONS {
            fleet.start(place);
            let index = u64::try_from(place).unwrap_or(0);
            fleet.at(FIRST_STOP_MS + STOP_EVERY_MS * index, Event::Stop(place));
        }
        for request in 0..REQUESTS {
            let time = fleet.rng.random_range(0..ARRIVALS_MS);
            fleet.at(time, Event::Mint(request));
        }
        fleet
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn run(mut self) -> Tally {
        while let Some(Reverse((time, event))) = self.events.pop() {
            self.now = time;
            self.step(event);
        }
        self.tally.twice = self.runs.iter().filter(|runs| **runs > 1).count();
        self.tally
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Mint(request) => self.mint(request),
            Event::Send(request, number) => self.send(request, number),
            Event::Ran(place, started, request) => self.ran(place, started, request),
            Event::Stop(place) => self.stop(place),
            Event::Drain(place) => self.drain(place),
            Event::Exit(place) => self.exit(place),
            Event::Start(place) => self.start(place),
        }
    }

    fn start(&mut self, place: usize) {
        self.starts += 1;
        let fence = fence(place, self.starts);
        let secret: [u8; 32] = self.rng.random();
        self.daemons[place] = Some(Daemon {
            ledger: Ledger::new(fence, secret.into(), Limits::default()),
            started: self.now,
            ready: true,
            running: Vec::new(),
        });
    }

    fn balance(&mut self) -> usize {
        let ready = |place: &usize| self.daemons[*place].as_ref().is_some_and(|d| d.ready);
        let ready: Vec<usize> = (0..DAEMONS).filter(ready).collect();
        ready[self.rng.random_range(0..ready.len())]
    }

    fn mint(&mut self, request: usize) {
        let place = self.balance();
        let now = self.now;
        self.keys[request] = match &mut self.daemons[place] {
            _ if self.own => format!("ticket-{request}").parse().ok(),
            Some(daemon) => {
                let clock = daemon.clock(now);
                let issued = daemon
                    .ledger
                    .mint(&"dispatch".into(), &"tickets".into(), clock);
                issued.ok()
            }
            None => None,
        };
        self.after(MINT_TO_SEND_MS, Event::Send(request, 1));
    }

    fn send(&mut self, request: usize, number: u32) {
        self.tally.sends[row(number)] += 1;
        if number == 1 && self.rng.random_bool(LOST_ANSWERS) {
            let delay = self.rng.random_range(RESEND_MS);
            self.after(delay, Event::Send(request, 2));
        }
        let place = self.balance();
        self.serve(place, request, number, false);
    }

    fn serve(&mut self, place: usize, request: usize, number: u32, passed_on: bool) {
        let now = self.now;
        let (Some(key), Some(daemon)) = (&self.keys[request], &mut self.daemons[place]) else {
            return self.tell(number, &Refusal::Gone.outcome());
        };
        let clock = daemon.clock(now);
        let asked = asked(request, number, passed_on, clock);
        match daemon.ledger.begin(key, &asked, clock) {
            Decision::Run(permit) => {
                if let Ok(sent) = permit.mark_sent(clock) {
                    daemon.running.push((request, sent));
                    let started = daemon.started;
                    let delay = self.rng.random_range(RUN_MS);
                    self.after(delay, Event::Ran(place, started, request));
                    self.runs[request] += 1;
                }
            }
            Decision::Join => {}
            Decision::Replay(outcome) => self.tell(number, &outcome),
            Decision::Refuse(refusal) => self.tell(number, &refusal.outcome()),
            Decision::ForwardTo(to) => self.pass(place, to, request, number),
            Decision::LookUp => {
                let question = Lookup::Own {
                    caller: "dispatch".into(),
                    key: format!("ticket-{request}").into(),
                    fingerprint: 1,
                };
                self.follow(place, &question, request, number);
            }
        }
    }

    fn pass(&mut self, from: usize, to: Fence, request: usize, number: u32) {
        let place = place(to);
        let known = self.daemons[place].as_ref();
        if known.is_some_and(|daemon| daemon.ledger.fence() == to) {
            return self.serve(place, request, number, true);
        }
        self.follow(from, &Lookup::Fence(to), request, number);
    }

    fn follow(&mut self, from: usize, question: &Lookup, request: usize, number: u32) {
        let others = (0..DAEMONS).filter(|place| *place != from);
        let mut poll = Poll::new(others.clone().map(|place| fence(place, 0).member));
        let mut conclusion = None;
        for place in others {
            let daemon = self.daemons[place].as_ref();
            let answer = daemon.map(|daemon| daemon.ledger.answer(question));
            conclusion = conclusion.or(poll.record_reply(fence(place, 0).member, answer));
        }
        match conclusion {
            Some(Resolution::ForwardTo(member)) => {
                self.serve(place(Fence { member, start: 0 }), request, number, true);
            }
            Some(Resolution::Replay(outcome)) => self.tell(number, &outcome),
            _ => self.tell(number, &Refusal::Gone.outcome()),
        }
    }

    fn ran(&mut self, place: usize, started: u64, request: usize) {
        let now = self.now;
        let daemon = self.daemons[place].as_mut();
        let Some(daemon) = daemon.filter(|daemon| daemon.started == started) else {
            return self.tell(1, &Refusal::Gone.outcome());
        };
        let of_request = |(of, _): &(usize, _)| *of == request;
        if let Some(index) = daemon.running.iter().position(of_request) {
            let (_, permit) = daemon.running.swap_remove(index);
            let clock = daemon.clock(now);
            let ran = SentOutcome::Executed("1".into());
            let ended = daemon.ledger.finish(permit, ran, clock);
            self.tell(1, &ended.outcome);
            ended
                .joined
                .iter()
                .for_each(|_| self.tell(2, &ended.outcome));
        }
    }

    fn stop(&mut self, place: usize) {
        if self.way == Way::Killed {
            return self.gone(place);
        }
        if let Some(daemon) = &mut self.daemons[place] {
            daemon.ready = false;
        }
        self.after(NOTICE_MS, Event::Drain(place));
    }

    fn drain(&mut self, place: usize) {
        if let Some(daemon) = &mut self.daemons[place] {
            daemon.ledger.drain();
        }
        self.after(0, Event::Exit(place));
    }

    fn exit(&mut self, place: usize) {
        let running = self.daemons[place].as_ref().map_or(0, |d| d.running.len());
        if running > 0 {
            return self.after(POLL_MS, Event::Exit(place));
        }
        if self.way == Way::Handover {
            self.hand_over(place);
        }
        self.gone(place);
    }

    fn hand_over(&mut self, place: usize) {
        let to = self.balance();
        let now = self.now;
        let Some(heir) = self.daemons[to].as_ref().map(|heir| heir.ledger.fence()) else {
            return;
        };
        let Some(daemon) = &mut self.daemons[place] else {
            return;
        };
        let clock = daemon.clock(now);
        let handover = daemon.ledger.hand_over(heir, clock);
        if let (Ok(handover), Some(heir)) = (handover, &mut self.daemons[to]) {
            let clock = heir.clock(now);
            if let Err(error) = heir.ledger.inherit(handover, clock) {
                eprintln!("{error}");
            }
        }
    }

    fn gone(&mut self, place: usize) {
        self.daemons[place] = None;
        self.after(DOWN_MS, Event::Start(place));
    }

    fn tell(&mut self, number: u32, outcome: &Outcome) {
        match outcome {
            Outcome::Unknown { .. } => self.tally.unknown[row(number)] += 1,
            Outcome::NotRun { .. } => self.tally.not_run[row(number)] += 1,
            _ => {}
        }
    }
}

impl Daemon {
    fn clock(&self, now: u64) -> Time {
        Duration::from_millis(now - self.started)
    }
}

fn asked(request: usize, number: u32, passed_on: bool, clock: Time) -> Request {
    Request {
        id: (u128::try_from(request).unwrap_or(0) << 8) + u128::from(number),
        caller: "dispatch".into(),
        route: "tickets".into(),
        fingerprint: 1,
        deadline: clock + Duration::from_secs(2),
        send: Some(number),
        passed_on,
    }
}

fn fence(place: usize, start: u64) -> Fence {
    let port = 7000 + u16::try_from(place).unwrap_or(0);
    let member = ([127, 0, 0, 1], port).into();
    Fence { member, start }
}

fn place(fence: Fence) -> usize {
    usize::from(fence.member.port() - 7000)
}

fn row(number: u32) -> usize {
    usize::from(number > 1)
}

fn percent(part: u64, whole: u64) -> f64 {
    let (part, whole) = (u32::try_from(part), u32::try_from(whole));
    100.0 * f64::from(part.unwrap_or(0)) / f64::from(whole.unwrap_or(1).max(1))
}

fn main() {
    println!("{REQUESTS} requests a seed, {SEEDS} seeds, {DAEMONS} daemons replaced in turn");
    println!(
        "| replaced | key | first sends | unknown | not run | re-sends | unknown | ran twice |"
    );
    println!("|---|---|--:|--:|--:|--:|--:|--:|");
    for way in [Way::Handover, Way::NoHandover, Way::Killed] {
        for own in [false, true] {
            print_row(way, own);
        }
    }
}

fn print_row(way: Way, own: bool) {
    let mut sum = Tally::default();
    for seed in 0..SEEDS {
        let tally = Fleet::new(way, own, seed).run();
        for row in 0..2 {
            sum.sends[row] += tally.sends[row];
            sum.unknown[row] += tally.unknown[row];
            sum.not_run[row] += tally.not_run[row];
        }
        sum.twice += tally.twice;
    }
    let [first, again] = sum.sends;
    let key = if own { "own" } else { "fenced" };
    println!(
        "| {way:?} | {key} | {first} | {:.3} % | {:.3} % | {again} | {:.2} % | {} |",
        percent(sum.unknown[0], first),
        percent(sum.not_run[0], first),
        percent(sum.unknown[1], again),
        sum.twice
    );
}
