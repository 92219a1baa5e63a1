//! Two routes are added whose shards contain a service that has a route of its own. Then a backend
//! of that service starts, cold.

use super::Verdict;
use crate::backend::{Backend, Handler, Run, Runs};
use crate::client::{self, Request};
use crate::daemon::{Addresses, Daemon};
use crate::record::Record;
use crate::store::Store;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const HOSTS: usize = 3;
/// Clients of each host; a third of them asks on each route.
const CLIENTS: usize = 12;
const SLOTS: usize = 3;
const WORK: Duration = Duration::from_millis(120);
/// `slowStartS`.
const COLD_FOR: Duration = Duration::from_secs(4);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SECOND: Duration = Duration::from_secs(1);
/// `warmupPerS` x `warmupOverage` + `warmupSlack`: 10 x 1.5 + 5.
const BOUND: usize = 20;

const FIRST_ROUTE: &str = r#"{"name":"record","host":"records.example","prefix":"/records/",
"type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"shard-a",
"attempts":2}"#;

const ADDED_ROUTES: &str = r#"{"name":"near","host":"records.example","prefix":"/near/",
"type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"gather":["shard-a",
"shard-b"],"attempts":2,"topK":5,"minCoverage":1.0},{"name":"far","host":"records.example",
"prefix":"/far/","type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"priority":2,
"gather":["shard-a","shard-c"],"attempts":2,"topK":5,"minCoverage":1.0}"#;

fn configuration(version: u32, routes: &[&str]) -> String {
    let services = ["shard-a", "shard-b", "shard-c"].map(|name| {
        format!(
            r#"{{"name":"{name}","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
"slowStartS":4,"warmupPerS":10}}"#
        )
    });
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Store::start()?;
    let runs = Runs::default();
    store.put("op/config", &configuration(7, &[FIRST_ROUTE]));
    for (service, count) in [("shard-a", 4), ("shard-b", 4), ("shard-c", 4)] {
        for number in 0..count {
            let id = format!("{service}-{number}");
            let backend = Backend::start(&id, service, &runs, record, handler())?;
            backend.register(&store, "ready", 1);
        }
    }
    let hosts: Result<Vec<Addresses>, String> = (0..HOSTS).map(|_| Addresses::pick()).collect();
    let hosts = hosts?;
    let mut daemons = Vec::new();
    for (number, own) in hosts.iter().enumerate() {
        let name = format!("edge-{number}");
        daemons.push(Daemon::start(&name, *own, &hosts, store.address)?);
    }
    thread::sleep(Duration::from_secs(5));
    let mut paths = ["records"; 3];
    if has_trouble {
        store.put("op/config", &configuration(9, &[FIRST_ROUTE, ADDED_ROUTES]));
        record.line("the store accepts version 9, which adds two routes");
        paths = ["records", "near", "far"];
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = daemons.iter().enumerate().flat_map(|(host, daemon)| {
        let client = |number: usize| (host, daemon.front, paths[number % 3], number);
        (0..CLIENTS).map(client).collect::<Vec<_>>()
    });
    let clients: Vec<_> = clients
        .map(|(host, front, path, number)| {
            let (is_over, record) = (is_over.clone(), record.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{path}-{host}-{number}-{count}");
                    let request = Request {
                        method: "GET",
                        host: "records.example".to_owned(),
                        target: format!("/{path}/{id}"),
                        id,
                        deadline: Duration::from_millis(2_000),
                        body: String::new(),
                    };
                    let _answer = client::send(front, &request, &record);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let cold = Backend::start("shard-a-cold", "shard-a", &runs, record, handler())?;
    let started = record.now();
    record.line("shard-a-cold starts, cold for 4 s");
    let mut seq = 0;
    while record.now() < started + COLD_FOR {
        seq += 1;
        let left = (started + COLD_FOR).saturating_sub(record.now());
        cold.register_cold(&store, "ready", seq, left);
        thread::sleep(HEARTBEAT.min(left));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().expect("the lock is not poisoned");
    let at_cold = |run: &&Run| run.backend == cold.id && run.at < started + COLD_FOR;
    let mut arrivals: Vec<Duration> = runs.iter().filter(at_cold).map(|run| run.at).collect();
    arrivals.sort_unstable();
    let within = |from: &Duration| {
        let after = arrivals.iter().filter(|at| *at >= from);
        after.filter(|at| **at < *from + SECOND).count()
    };
    let peak = arrivals.iter().map(within).max().unwrap_or(0);
    Ok(Verdict {
        is_broken: peak > BOUND,
        text: format!(
            "the cold backend got {} requests, at most {peak} within a second, where {BOUND} are \
             allowed",
            arrivals.len()
        ),
    })
}

/// Returns the handler of a backend with slots.
fn handler() -> Handler {
    let free = Arc::new((Mutex::new(SLOTS), Condvar::new()));
    Arc::new(move |backend: &Backend, request, stream| {
        // Counted on arrival: a request may wait for a slot.
        backend.run(request);
        let (slots, released) = &*free;
        let mut count = slots.lock().expect("the lock is not poisoned");
        while *count == 0 {
            count = released.wait(count).expect("the lock is not poisoned");
        }
        *count -= 1;
        drop(count);
        thread::sleep(WORK);
        *slots.lock().expect("the lock is not poisoned") += 1;
        released.notify_one();
        backend.answer(request, "200 OK", b"0123456789abcdef", stream)
    })
}
