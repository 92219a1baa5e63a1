//! A machine is stopped as planned while requests wait in it for busy backends.

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

/// More clients than the backends can serve at once.
const CLIENTS: usize = 400;

const BACKENDS: usize = 2;
const CAPACITY: Capacity = Capacity {
    slots: 2,
    queue: 2,
    work: Duration::from_millis(220),
};

/// The route's timeout, which the clients have as their deadline.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Time until clients that were told to come back have done so, and requests wait in all machines.
const RUN_UP: Duration = Duration::from_secs(13);

/// Pause of a client after an answer, and the longest time for which it honours `Retry-After`.
const PAUSE: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// `graceS` of the settings, and the time after it within which the rule holds.
const GRACE: Duration = Duration::from_secs(6);
const AFTER_GRACE: Duration = Duration::from_secs(1);

/// Only requests that were sent so long before the SIGTERM are judged: the process has read them.
const SETTLED: Duration = Duration::from_secs(1);

/// Only requests that have used less than seven tenths of their time are judged.
const MAX_AGE: Duration = Duration::from_millis(10_500);

const CONFIGURATION: &str = r#"{
    "version": 7,
    "routes": [{"name": "orders", "host": "desk.example", "prefix": "/orders/", "type": "non_idempotent",
        "timeoutMs": 15000, "targetLatencyMs": 8000, "priority": 2, "service": "archive", "attempts": 2}],
    "services": [{"name": "archive", "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}"#;

pub fn play(setting: &Setting, record: &Record) -> Verdict {
    let store = Store::start();
    let start = |index| {
        Backend::start(
            &format!("i-archive-{index}"),
            "archive",
            CAPACITY,
            &store,
            record,
        )
    };
    let _backends: Vec<Backend> = (0..BACKENDS).map(start).collect();
    store.put("op/config", CONFIGURATION);
    let Some(mut daemons) = daemon::start_all(MACHINES, store.address, &setting.folder) else {
        return Verdict::NotRun("a daemon did not become ready".to_owned());
    };
    let is_over: Vec<Arc<AtomicBool>> = daemons.iter().map(|_| Arc::default()).collect();
    let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
        .map(|index| {
            let machine = index % daemons.len();
            let client = Client::new(format!("c{index}"), daemons[machine].front, record);
            let is_over = is_over[machine].clone();
            thread::spawn(move || send_orders(client, index, &is_over))
        })
        .collect();
    thread::sleep(RUN_UP);
    // The platform sends no more clients to the machine; those of the others go on.
    is_over[0].store(true, Ordering::SeqCst);
    let from = record.now();
    if setting.has_trouble {
        record.note("SIGTERM to the first machine");
        daemons[0].terminate();
        let has_ended = daemons[0].wait(GRACE);
        record.note(format!("the process has ended within graceS: {has_ended}"));
    } else {
        thread::sleep(GRACE);
    }
    for is_over in &is_over {
        is_over.store(true, Ordering::SeqCst);
    }
    for client in clients {
        client.join().expect("no client panics");
    }
    judge(record, from)
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

fn judge(record: &Record, from: u128) -> Verdict {
    let sent_before = from - SETTLED.as_millis();
    let until = from + (GRACE + AFTER_GRACE).as_millis();
    let mut lost = rules::lost_without_run(record, sent_before, from, until);
    lost.retain(|(_, age)| *age < MAX_AGE.as_millis());
    for (id, age) in &lost {
        record.note(format!(
            "LOST: {id} ended without an answer {age} ms after it was sent, and never ran"
        ));
    }
    let summary = format!(
        "{} requests were read and never answered, and no backend ran them",
        lost.len()
    );
    record.summarize(&summary);
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
