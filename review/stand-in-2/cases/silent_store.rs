//! The open connection to the store goes silent while the host pauses after a change, and then a
//! backend reports that it is draining.

use super::Verdict;
use crate::backend::{Backend, Handler, Runs};
use crate::client::{self, Request};
use crate::daemon::{Addresses, Daemon};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `stableWindowMs`: a machine whose connections were reset is in touch again after this time.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const DRAIN: Duration = Duration::from_millis(3_000);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"record","host":"records.example",
"prefix":"/records/","type":"idempotent","timeoutMs":8000,"targetLatencyMs":500,"priority":2,
"service":"records-a","attempts":2}],"services":[{"name":"records-a","healthPath":"/healthz",
"maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Store::start()?;
    let proxy = Proxy::start(store.address)?;
    let runs = Runs::default();
    store.put("op/config", CONFIGURATION);
    let mut backends = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let backend = Backend::start(&id, "records-a", &runs, record, handler())?;
        backend.register(&store, "ready", 1);
        backends.push(backend);
    }
    let addresses = Addresses::pick()?;
    let daemon = Daemon::start("edge-1", addresses, &[addresses], proxy.address)?;
    thread::sleep(Duration::from_secs(5));
    // A change of another backend: the host applies it and pauses before its next watch.
    backends[2].register(&store, "draining", 2);
    record.line("the store accepts that i-2 is draining");
    thread::sleep(Duration::from_millis(50));
    let silenced = record.now();
    if has_trouble {
        proxy.silence();
        record.line("the open connections to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(100));
    let acknowledged = record.now();
    backends[0].register(&store, "draining", 2);
    record.line("the store accepts that i-0 is draining");
    let judged_from = (acknowledged + DRAIN).max(silenced + STABLE_WINDOW);
    let end = judged_from + Duration::from_secs(2);
    let mut number = 0;
    let mut sent_before = Vec::new();
    while record.now() < end {
        number += 1;
        let request = Request {
            method: "GET",
            host: "records.example".to_owned(),
            target: format!("/records/{number}"),
            id: format!("record-{number}"),
            deadline: Duration::from_millis(8_000),
            body: String::new(),
        };
        if record.now() < judged_from {
            sent_before.push(request.id.clone());
        }
        let _answer = client::send(daemon.front, &request, record);
        thread::sleep(Duration::from_millis(10));
    }
    let runs = runs.lock().expect("the lock is not poisoned");
    let late = runs.iter().filter(|run| {
        run.backend == "i-0" && run.at >= judged_from && !sent_before.contains(&run.id)
    });
    let late: Vec<Duration> = late.map(|run| run.at - acknowledged).collect();
    let last = late.last().copied().unwrap_or_default();
    Ok(Verdict {
        is_broken: !late.is_empty(),
        text: format!(
            "{} requests reached the draining backend from a host in touch later than {DRAIN:?} \
             after the acknowledgement, the last after {last:?}",
            late.len()
        ),
    })
}

fn handler() -> Handler {
    Arc::new(|backend: &Backend, request, stream| {
        backend.run(request);
        thread::sleep(Duration::from_millis(5));
        backend.answer(request, "200 OK", b"record", stream)
    })
}
