//! A backend sends some of its answers a second time, late. Some of these are rejections, as the backends are often
//! full.

use crate::backend::{Backend, Capacity};
use crate::client::{Client, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, Verdict, daemon, rules};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const MACHINES: u8 = 9;
const CLIENTS: usize = 18;

/// Pause of a client between the answer to a request and the next one.
const PAUSE: Duration = Duration::from_millis(20);

const DEADLINE: Duration = Duration::from_secs(4);

/// Work of a request at each backend. Backends of one service differ in speed.
const WORK: [Duration; 2] = [Duration::from_millis(8), Duration::from_millis(80)];

/// The disruption: the first of the two backends sends this share of its answers twice, for five seconds at a time.
const REPEATS: f64 = 0.03;
const DISRUPTION: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_millis(500);
const DISRUPTIONS: u32 = 16;

const CONFIGURATION: &str = r#"{
    "version": 7,
    "routes": [{"name": "tickets", "host": "desk.example", "prefix": "/tickets/", "type": "non_idempotent",
        "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1, "service": "ledger", "attempts": 2}],
    "services": [{"name": "ledger", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}"#;

pub fn play(setting: &Setting, record: &Record) -> Verdict {
    let store = Store::start();
    let start = |(index, work)| {
        let capacity = Capacity {
            slots: 2,
            queue: 3,
            work,
        };
        Backend::start(
            &format!("i-ledger-{index}"),
            "ledger",
            capacity,
            &store,
            record,
        )
    };
    let backends: Vec<Backend> = WORK.into_iter().enumerate().map(start).collect();
    store.put("op/config", CONFIGURATION);
    let Some(daemons) = daemon::start_all(MACHINES, store.address, &setting.folder) else {
        return Verdict::NotRun("a daemon did not become ready".to_owned());
    };
    let end = Instant::now() + (DISRUPTION + CALM) * DISRUPTIONS;
    let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
        .map(|index| {
            let front = daemons[index % daemons.len()].front;
            let client = Client::new(format!("c{index}"), front, record);
            thread::spawn(move || send_tickets(client, index, end))
        })
        .collect();
    for _ in 0..DISRUPTIONS {
        let repeats = if setting.has_trouble { REPEATS } else { 0.0 };
        backends[0].set_repeats(repeats);
        thread::sleep(DISRUPTION);
        backends[0].set_repeats(0.0);
        thread::sleep(CALM);
    }
    for client in clients {
        client.join().expect("no client panics");
    }
    judge(&backends, record)
}

/// Sends one ticket after the other.
fn send_tickets(mut client: Client, index: usize, end: Instant) {
    for count in 1.. {
        if Instant::now() >= end {
            return;
        }
        client.send(&Request {
            method: "POST",
            host: "desk.example",
            path: format!("/tickets/{index}/{count}"),
            body: format!("ticket {count} of client {index}").into_bytes(),
            deadline: DEADLINE,
        });
        thread::sleep(PAUSE);
    }
}

fn judge(backends: &[Backend], record: &Record) -> Verdict {
    let repeated: u64 = backends.iter().map(Backend::repeated_rejections).sum();
    let twice = rules::run_twice(record);
    for id in &twice {
        record.note(format!("TWICE: {id} ran more than once"));
    }
    // Another consequence of the same fault; not part of the verdict.
    let refused = rules::refused_and_run(record);
    for id in &refused {
        record.note(format!("REFUSED: {id} was answered with a promise and ran"));
    }
    let summary = format!(
        "{repeated} rejections were sent again; {} requests ran more than once; {} were refused and ran",
        twice.len(),
        refused.len()
    );
    record.summarize(&summary);
    match twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
