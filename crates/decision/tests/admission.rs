//! Admission, mostly tested against a simulated group of servers.

mod support;

use monsoonring_configuration::document::Class;
use monsoonring_decision::Time;
use monsoonring_decision::admission::{Admission, Gate};
use monsoonring_decision::backend::GroupLoad;
use monsoonring_decision::outcome::Reason;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;
use support::{ms, route};
use test_case::test_case;

const SLOTS: usize = 9;
const SERVICE_TIME: f64 = 0.010;
const DEADLINE: Duration = Duration::from_millis(200);
const DURATION: f64 = 60.0;

fn gate() -> Gate {
    let mut route = route(1, 3);
    route.deadline_ms = DEADLINE.as_millis() as u64;
    Gate::new(&route)
}

/// Requests counted in one run of the simulation.
#[derive(Default, Debug)]
struct Counts {
    offered: BTreeMap<Class, u32>,
    in_time: BTreeMap<Class, u32>,
    refused: u32,
    finished_late: u32,
}

struct Request {
    class: Class,
    arrived: f64,
}

/// A group of servers with one shared queue.
struct Simulation {
    rng: ChaCha8Rng,
    gate: Option<Gate>,
    /// Estimated load divided by the true load; below 1, the home does not see all of the load.
    load_factor: f64,
    queue: VecDeque<Request>,
    busy: BTreeMap<u64, Request>,
    done: BinaryHeap<Reverse<(Duration, u64)>>,
    count: Counts,
}

impl Simulation {
    fn new(gate: Option<Gate>, load_factor: f64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(11),
            gate,
            load_factor,
            queue: VecDeque::new(),
            busy: BTreeMap::new(),
            done: BinaryHeap::new(),
            count: Counts::default(),
        }
    }

    fn run(mut self, load: f64) -> Counts {
        let gap = SERVICE_TIME / SLOTS as f64 / load;
        let (mut next, mut now) = (0.0, 0.0);
        while now < DURATION {
            let done = self.done.peek().map(|Reverse((at, _))| at.as_secs_f64());
            if let Some(at) = done.filter(|at| *at < next) {
                now = at;
                self.finish(now);
            } else {
                now = next;
                next += self.exponential(gap);
                self.arrive(now);
            }
            self.start(now);
        }
        self.count
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn group_load(&self) -> GroupLoad {
        let busy = (self.queue.len() + self.busy.len()) as f64 * self.load_factor;
        let ahead = (busy + 1.0 - SLOTS as f64).max(0.0);
        GroupLoad {
            slots: SLOTS as f64,
            busy,
            wait: Duration::from_secs_f64(SERVICE_TIME * ahead / SLOTS as f64),
            service_time: Duration::from_secs_f64(SERVICE_TIME),
        }
    }

    fn arrive(&mut self, now: f64) {
        let class = match self.rng.random_range(0..10) {
            0..2 => Class::Urgent,
            2..7 => Class::Normal,
            _ => Class::Background,
        };
        *self.count.offered.entry(class).or_default() += 1;
        let (group_load, time) = (self.group_load(), Time::from_secs_f64(now));
        let admission = match &mut self.gate {
            Some(gate) => gate.admit(class, time + DEADLINE, &group_load, time),
            None => Admission::Admit,
        };
        match admission {
            Admission::Admit => self.queue.push_back(Request {
                class,
                arrived: now,
            }),
            Admission::Refuse { .. } => self.count.refused += 1,
        }
    }

    fn start(&mut self, now: f64) {
        while self.busy.len() < SLOTS && !self.queue.is_empty() {
            let id = self.rng.random();
            let work = self.exponential(SERVICE_TIME);
            self.done
                .push(Reverse((Duration::from_secs_f64(now + work), id)));
            self.busy
                .extend(self.queue.pop_front().map(|request| (id, request)));
        }
    }

    fn finish(&mut self, now: f64) {
        let Some(Reverse((_, id))) = self.done.pop() else {
            return;
        };
        let request = self.busy.remove(&id).expect("the request is in service");
        let latency = Duration::from_secs_f64(now - request.arrived);
        if latency <= DEADLINE {
            *self.count.in_time.entry(request.class).or_default() += 1;
        } else {
            self.count.finished_late += 1;
        }
        if let Some(gate) = &mut self.gate {
            gate.finished(
                request.class,
                latency.min(DEADLINE),
                Time::from_secs_f64(now),
            );
        }
    }
}

impl Counts {
    /// Returns the requests answered in time, as a share of the servers' capacity.
    fn goodput(&self) -> f64 {
        let in_time: u32 = self.in_time.values().sum();
        f64::from(in_time) * SERVICE_TIME / SLOTS as f64 / DURATION
    }

    /// Returns the share of a class's requests that were answered in time.
    fn served(&self, class: Class) -> f64 {
        f64::from(self.in_time[&class]) / f64::from(self.offered[&class])
    }
}

// Guards against the collapse of goodput beyond saturation, when the queueing delay reaches the
// deadline and servers work on requests that are already late.
#[test_case(1.5, 1.0; "one and a half times")]
#[test_case(3.0, 1.0; "three times")]
#[test_case(3.0, 0.3; "three times, most of the load hidden")]
fn admit_past_saturation_keeps_goodput(load: f64, load_factor: f64) {
    let count = Simulation::new(Some(gate()), load_factor).run(load);
    assert!(
        count.goodput() > 0.95,
        "goodput {:.3}, {count:?}",
        count.goodput()
    );
    let ungated = Simulation::new(None, load_factor).run(load);
    assert!(
        ungated.goodput() < 0.1,
        "goodput without admission control {:.3}",
        ungated.goodput()
    );
}

#[test]
fn admit_below_saturation_refuses_almost_none() {
    let count = Simulation::new(Some(gate()), 1.0).run(0.7);
    let offered: u32 = count.offered.values().sum();
    assert!(count.refused * 1_000 < offered, "{count:?}");
}

// Guards against urgent requests that are refused while less urgent ones are admitted.
#[test]
fn admit_past_saturation_serves_urgent_first() {
    let count = Simulation::new(Some(gate()), 1.0).run(3.0);
    let classes = [Class::Urgent, Class::Normal, Class::Background];
    let [urgent, normal, background] = classes.map(|class| count.served(class));
    assert!(urgent > 0.9, "urgent {urgent:.3}, normal {normal:.3}");
    assert!(
        normal > background * 2.0,
        "normal {normal:.3}, background {background:.3}"
    );
}

// Guards against refusals on a mostly idle fleet because the latency of one slow server is mistaken
// for overload.
#[test]
fn finished_late_without_waiting_keeps_limit() {
    let mut gate = gate();
    let before = gate.limit();
    for step in 0..100 {
        let now = ms(step * 300);
        gate.admit(Class::Normal, now + DEADLINE, &GroupLoad::default(), now);
        gate.finished(Class::Normal, DEADLINE, now + DEADLINE);
    }
    assert!(gate.limit() >= before);
    assert_eq!(gate.in_flight(), 0);
}

fn group_load(wait: u64) -> GroupLoad {
    GroupLoad {
        slots: 9.0,
        busy: 9.0,
        wait: ms(wait),
        service_time: ms(10),
    }
}

#[test_case(0, 5, Reason::Deadline, None; "time left is shorter than the service time")]
#[test_case(150, 100, Reason::Overload, Some(ms(150)); "wait is longer than the time left")]
fn admit_without_enough_time_is_refused(
    wait: u64,
    time_left: u64,
    expected_reason: Reason,
    expected_retry_after: Option<Duration>,
) {
    let admission = gate().admit(Class::Urgent, ms(time_left), &group_load(wait), ms(0));
    let Admission::Refuse {
        reason,
        retry_after,
    } = admission
    else {
        unreachable!("the request can't be served in time");
    };
    assert_eq!(
        (reason, retry_after),
        (expected_reason, expected_retry_after)
    );
}

// Guards against waves of retries after an overload because all refused requests got the same retry
// time.
#[test]
fn admit_refused_many_returns_staggered_retry_times() {
    let mut gate = gate();
    for step in 0..100 {
        gate.admit(
            Class::Urgent,
            ms(step * 10) + DEADLINE,
            &group_load(0),
            ms(step * 10),
        );
        gate.finished(Class::Urgent, ms(10), ms(step * 10 + 10));
    }
    let now = ms(1_000);
    for _ in 0..100 {
        gate.admit(Class::Urgent, now + DEADLINE, &group_load(0), now);
    }
    let retry_times: Vec<Duration> = (0..100)
        .map(
            |_| match gate.admit(Class::Urgent, now + DEADLINE, &group_load(0), now) {
                Admission::Refuse { retry_after, .. } => {
                    retry_after.expect("a refusal for overload has a retry time")
                }
                Admission::Admit => unreachable!("the limit is reached"),
            },
        )
        .collect();
    assert!(retry_times.windows(2).all(|pair| pair[1] > pair[0]));
    // One request finishes every 10 ms.
    assert!(
        (ms(900)..ms(1_100)).contains(&(retry_times[99] - retry_times[0])),
        "{retry_times:?}"
    );
}
