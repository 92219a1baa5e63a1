//! A route moves to another service while requests wait for the backends of the old one, which then leave.

use crate::backend::{Backend, Capacity};
use crate::client::{Client, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, Verdict, daemon, rules};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const MACHINES: u8 = 3;

/// More clients than the backends of the old service can serve at once.
const CLIENTS: usize = 320;

const OLD_BACKENDS: usize = 7;
const NEW_BACKENDS: usize = 40;
const CAPACITY: Capacity = Capacity {
    slots: 2,
    queue: 2,
    work: Duration::from_millis(800),
};

/// The route's timeout, which the clients have as their deadline.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Time until clients that were told to come back have done so, and requests wait in all machines.
const RUN_UP: Duration = Duration::from_secs(13);

/// `configMs` and `drainMs` of the settings.
const CONFIG: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(3);

/// How many of the old backends leave.
const LEAVING: usize = 1;

/// Time from the end of `drainMs` until they end.
const AFTER_DRAIN: Duration = Duration::from_secs(6);

/// Pause of a client after an answer, and the longest time for which it honours `Retry-After`.
const PAUSE: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

fn configuration(version: u32, service: &str) -> String {
    format!(
        r#"{{"version": {version},
        "routes": [{{"name": "orders", "host": "desk.example", "prefix": "/orders/", "type": "non_idempotent",
            "timeoutMs": 15000, "targetLatencyMs": 4000, "priority": 2, "service": "{service}", "attempts": 2}}],
        "services": [
            {{"name": "old", "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}},
            {{"name": "new", "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}}],
        "limits": {{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}}}}"#
    )
}

pub fn play(setting: &Setting, record: &Record) -> Verdict {
    let store = Store::start();
    let start = |service: &str, index: usize| {
        Backend::start(
            &format!("i-{service}-{index}"),
            service,
            CAPACITY,
            &store,
            record,
        )
    };
    let old: Vec<Backend> = (0..OLD_BACKENDS).map(|index| start("old", index)).collect();
    let _new: Vec<Backend> = (0..NEW_BACKENDS).map(|index| start("new", index)).collect();
    store.put("op/config", &configuration(7, "old"));
    let Some(daemons) = daemon::start_all(MACHINES, store.address, &setting.folder) else {
        return Verdict::NotRun("a daemon did not become ready".to_owned());
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
        .map(|index| {
            let front = daemons[index % daemons.len()].front;
            let client = Client::new(format!("c{index}"), front, record);
            let is_over = is_over.clone();
            thread::spawn(move || send_orders(client, index, &is_over))
        })
        .collect();
    thread::sleep(RUN_UP);
    if setting.has_trouble {
        store.put("op/config", &configuration(12, "new"));
        record.note("the store has acknowledged the configuration that moves the route");
    }
    thread::sleep(CONFIG);
    let leaving = &old[..LEAVING];
    for backend in leaving {
        backend.drain();
    }
    let drained = record.now();
    record.note("the store has acknowledged that i-old-0 is draining");
    thread::sleep(DRAIN + AFTER_DRAIN);
    for backend in leaving {
        backend.leave();
        backend.end();
    }
    let ended = record.now();
    record.note("i-old-0 has ended");
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no client panics");
    }
    judge(record, drained, ended)
}

/// Sends one order after the other.
fn send_orders(mut client: Client, index: usize, is_over: &AtomicBool) {
    for count in 1.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let (_, answer) = client.send(&Request {
            method: "POST",
            host: "desk.example",
            path: format!("/orders/{index}/{count}"),
            body: format!("order {count} of client {index}").into_bytes(),
            deadline: TIMEOUT,
        });
        let retry_after = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after"));
        let retry_after = retry_after.and_then(|text| text.parse().ok());
        let pause = retry_after.map_or(PAUSE, Duration::from_secs_f64);
        thread::sleep(pause.min(MAX_RETRY_AFTER));
    }
}

fn judge(record: &Record, drained: u128, ended: u128) -> Verdict {
    let due = drained + DRAIN.as_millis();
    let late = rules::reached_after(record, "i-old-0", due);
    for (id, at) in &late {
        record.note(format!(
            "DRAIN: {id} reached i-old-0 {} ms after its drain was acknowledged",
            at - drained
        ));
    }
    // A consequence, not part of the verdict: requests that the backend ran when it ended have no result.
    let lost = rules::running_at(record, "i-old-0", ended, CAPACITY.work.as_millis());
    for id in &lost {
        record.note(format!("{id} was running at i-old-0 when that ended"));
    }
    let summary = format!(
        "{} requests reached a backend later than `drainMs` after it was draining; {} were running when it ended",
        late.len(),
        lost.len()
    );
    record.summarize(&summary);
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
