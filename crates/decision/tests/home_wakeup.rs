//! Wake-ups of a home whose ticks arrive late.

mod session;

use monsoonring_decision::Time;
use monsoonring_decision::home::{Action, Event, Home, Wakeup};
use proptest::prelude::*;
use session::{VERSION, ms, report, request, route, server};
use std::sync::Arc;

/// Longest delay of a tick, in milliseconds.
const MAX_TICK_DELAY: u64 = 20;

/// Number of events other than ticks.
const EVENT_COUNT: usize = 30;

/// Longest time between two of these events, in milliseconds.
const MAX_EVENT_GAP: u64 = 60;

/// A home that receives ticks when its `Wakeup` is due, and other events.
struct Driver {
    home: Home,
    wakeup: Wakeup,
    finished: Option<Time>,
}

impl Driver {
    fn handle(&mut self, event: Event, now: Time) {
        self.wakeup.on_event(now);
        let actions = self.home.handle(event, now);
        self.carry_out(actions, now);
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Time) {
        for action in actions {
            match action {
                Action::Wake(at) => self.wakeup.schedule(at),
                Action::Open(id, _) => self.handle(Event::Opened(id), now),
                Action::Finish(..) => self.finished = Some(now),
                _ => {}
            }
        }
    }
}

proptest! {
    // Guards against a lost wake-up when another event arrives before a due tick: hedges, retries
    // and the end of a request would be late on a busy process.
    #[test]
    fn wakeup_events_overtake_ticks_deadline_is_kept(
        gaps in proptest::collection::vec(0..MAX_EVENT_GAP, EVENT_COUNT),
        tick_delay in 0..MAX_TICK_DELAY,
    ) {
        let (home, actions) = Home::new(Arc::new(route(2, 2)), 1, 7, Time::ZERO);
        let mut driver = Driver { home, wakeup: Wakeup::default(), finished: None };
        driver.carry_out(actions, Time::ZERO);
        driver.handle(Event::Request(request(1, Time::ZERO)), Time::ZERO);
        let mut event_times = gaps.iter().scan(0, |at, gap| { *at += gap; Some(ms(*at)) }).peekable();
        while driver.finished.is_none() {
            let tick = driver.wakeup.next().map(|at| at + ms(tick_delay));
            match event_times.next_if(|at| tick.is_none_or(|tick| *at < tick)) {
                Some(at) => driver.handle(Event::Polled(server(0, 0), Some(report(&[VERSION]))), at),
                None => {
                    let tick = tick.expect("a request in progress has a wake-up");
                    driver.handle(Event::Tick, tick);
                }
            }
        }
        let deadline = ms(1000);
        let finished = driver.finished.expect("the request has finished");
        prop_assert!(finished >= deadline && finished <= deadline + ms(tick_delay + MAX_EVENT_GAP));
    }
}
