//! A route and a quick one are added later, on a service of their own. The first requests on the one
//! last longer than its `timeoutMs`; then clients ask on the quick one.

use super::Verdict;
use crate::backend::{Backend, Handler, Runs};
use crate::client::{self, Request};
use crate::daemon::{Addresses, Daemon};
use crate::record::Record;
use crate::store::Store;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REPORTS: usize = 2;
const CHECKS: usize = 80;
/// Time between two checks.
const PAUSE: Duration = Duration::from_millis(500);
/// Work of a report, longer than its route's `timeoutMs`.
const REPORT_WORK: Duration = Duration::from_millis(3_000);
const CHECK_WORK: Duration = Duration::from_millis(5);

const FIRST_ROUTE: &str = r#"{"name":"record","host":"records.example","prefix":"/records/",
"type":"idempotent","timeoutMs":8000,"targetLatencyMs":500,"priority":2,"service":"records-a",
"attempts":2}"#;

const ADDED_ROUTES: &str = r#"{"name":"report","host":"records.example","prefix":"/reports/",
"type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"reports-a",
"attempts":2},{"name":"check","host":"records.example","prefix":"/checks/","type":"idempotent",
"timeoutMs":1000,"targetLatencyMs":60,"priority":2,"service":"reports-a","attempts":2}"#;

fn configuration(version: u32, routes: &[&str]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"records-a",
"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}},{{"name":"reports-a",
"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":
{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Store::start()?;
    let runs = Runs::default();
    store.put("op/config", &configuration(7, &[FIRST_ROUTE]));
    for service in ["records-a", "reports-a"] {
        for number in 0..7 {
            let id = format!("{service}-{number}");
            let backend = Backend::start(&id, service, &runs, record, handler())?;
            backend.register(&store, "ready", 1);
        }
    }
    let addresses = Addresses::pick()?;
    let daemon = Daemon::start("edge-1", addresses, &[addresses], store.address)?;
    thread::sleep(Duration::from_secs(5));
    store.put("op/config", &configuration(9, &[FIRST_ROUTE, ADDED_ROUTES]));
    record.line("the store accepts version 9, which adds two routes");
    thread::sleep(Duration::from_secs(4));
    let ask = |path: &str, id: String, deadline: u64| {
        let request = Request {
            method: "GET",
            host: "records.example".to_owned(),
            target: format!("/{path}/{id}"),
            id,
            deadline: Duration::from_millis(deadline),
            body: String::new(),
        };
        let answer = client::send(daemon.front, &request, record);
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    let reports = if has_trouble { REPORTS } else { 0 };
    let mut added = 0;
    for number in 0..reports {
        added += usize::from(ask("reports", format!("report-{number}"), 8_000));
    }
    thread::sleep(Duration::from_secs(4));
    let mut first = 0;
    for number in 0..CHECKS {
        first += usize::from(ask("records", format!("record-{number}"), 8_000));
        added += usize::from(ask("checks", format!("check-{number}"), 1_000));
        thread::sleep(PAUSE);
    }
    let sent = CHECKS + reports;
    let of_first = first as f64 / CHECKS as f64;
    let of_added = added as f64 / sent as f64;
    Ok(Verdict {
        is_broken: of_added < of_first / 4.0,
        text: format!(
            "served {first} of {CHECKS} requests on the first route and {added} of {sent} on the \
             added ones ({CHECKS} of them checks)"
        ),
    })
}

fn handler() -> Handler {
    Arc::new(|backend: &Backend, request, stream| {
        backend.run(request);
        let is_report = request.target().starts_with("/reports/");
        let work = if is_report { REPORT_WORK } else { CHECK_WORK };
        let left = request.header("x-deadline-ms");
        let left = left
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        match left.filter(|left| *left < work) {
            // A backend stops at the deadline that it receives.
            Some(left) => {
                thread::sleep(left);
                backend.answer(request, "504 Gateway Timeout", b"", stream)
            }
            None => {
                thread::sleep(work);
                backend.answer(request, "200 OK", b"done", stream)
            }
        }
    })
}
