//! A backend runs requests and answers part of them with 429, without saying that it didn't run
//! them.

use super::Verdict;
use crate::backend::{Backend, Handler, Runs};
use crate::client::{self, Request};
use crate::daemon::{Addresses, Daemon};
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// One of them fails: 0.125 of the backends.
const BACKENDS: usize = 8;
const REQUESTS: usize = 150;
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Repeats of a request after a promise that it didn't run.
const REPEATS: usize = 1;
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"tickets","host":"tickets.example",
"prefix":"/tickets/","type":"non_idempotent","timeoutMs":8000,"targetLatencyMs":500,"priority":2,
"service":"tickets-a","attempts":2}],"services":[{"name":"tickets-a","healthPath":"/healthz",
"maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Store::start()?;
    let runs = Runs::default();
    store.put("op/config", CONFIGURATION);
    for number in 0..BACKENDS {
        let is_failing = has_trouble && number == 0;
        let id = format!("i-{number}");
        let backend = Backend::start(&id, "tickets-a", &runs, record, handler(is_failing))?;
        backend.register(&store, "ready", 1);
    }
    let addresses = Addresses::pick()?;
    let daemon = Daemon::start("edge-1", addresses, &[addresses], store.address)?;
    let mut refused = BTreeSet::new();
    for number in 0..REQUESTS {
        for repeat in 0..=REPEATS {
            let request = Request {
                method: "POST",
                host: "tickets.example".to_owned(),
                target: format!("/tickets/{number}"),
                id: format!("ticket-{number}-{repeat}"),
                deadline: DEADLINE,
                body: format!("valve {number} is dry"),
            };
            let answer = client::send(daemon.front, &request, record);
            let status = answer.map(|answer| answer.status()).unwrap_or_default();
            if !PROMISES.contains(&status) {
                break;
            }
            refused.insert(request.id);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(judge(&refused, &runs))
}

/// Returns the handler of a backend. A failing one answers two requests of five with 429.
fn handler(is_failing: bool) -> Handler {
    let count = AtomicU32::new(0);
    Arc::new(move |backend: &Backend, request, stream| {
        backend.run(request);
        thread::sleep(Duration::from_millis(10));
        let fails = is_failing && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
        match fails {
            true => backend.answer(request, "429 Too Many Requests", b"", stream),
            false => backend.answer(request, "200 OK", b"done", stream),
        }
    })
}

/// REFUSED: a request that isn't idempotent is answered with a promise that it hasn't run, and has.
fn judge(refused: &BTreeSet<String>, runs: &Runs) -> Verdict {
    let runs = runs.lock().expect("the lock is not poisoned");
    let broken = runs.iter().filter(|run| refused.contains(&run.id)).count();
    let mut times: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs.iter() {
        *times.entry(&run.work).or_default() += 1;
    }
    let twice = times.values().filter(|times| **times > 1).count();
    Verdict {
        is_broken: broken > 0,
        text: format!(
            "{} requests were answered with a promise that they had not run; {broken} of them had \
             run; {twice} tickets ran twice after the client's repeat",
            refused.len()
        ),
    }
}
