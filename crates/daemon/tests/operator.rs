//! The operators' port, decision lines, and the log's queue.

mod support;

use monsoonring_daemon::log::{Decision, start_to};
use monsoonring_daemon::settings::{LogFormat, LogLevel};
use prometheus_client::metrics::counter::Counter;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use support::Daemon;
use support::http::{exchange, get};
use support::service::Fake;
use test_case::test_case;

#[test_case("/health", 200, "alive"; "health")]
#[test_case("/state", 200, "{\"revision\":42}"; "state")]
#[test_case("/explain?request=0000000000000000000000000000000a", 200, "\"Request(10)\""; "explain_request")]
#[test_case("/explain?route=a%20b&backend_server=127.0.0.1%3A7000", 200, "\"BackendServer { route: \\\"a b\\\", backend_server: 127.0.0.1:7000 }\""; "explain_backend_server")]
#[test_case("/explain?request=0", 404, "nothing is known of it"; "explain_unknown_request")]
#[test_case("/explain?request=x", 400, "`request` is not a request id of 32 hexadecimal digits"; "explain_malformed_request")]
#[test_case("/explain?route=a", 400, "give `request`, or `route` and `backend_server`"; "explain_without_backend_server")]
#[test_case("/explain", 400, "give `request`, or `route` and `backend_server`"; "explain_without_query")]
#[test_case("/explain?request=%", 400, "`request` is not a request id of 32 hexadecimal digits"; "explain_truncated_escape")]
#[test_case("/explain?request=%ff%fe", 400, "`request` is not a request id of 32 hexadecimal digits"; "explain_invalid_utf8")]
#[test_case("/explain?request=-1", 400, "`request` is not a request id of 32 hexadecimal digits"; "explain_negative")]
#[test_case("/explain?request=fffffffffffffffffffffffffffffffff", 400, "`request` is not a request id of 32 hexadecimal digits"; "explain_too_long")]
#[test_case("/explain?route=&backend_server=[::1", 400, "`backend_server` is not an address such as 127.0.0.1:7000"; "explain_malformed_address")]
#[test_case("/explain?&&==&route&backend_server", 400, "`backend_server` is not an address such as 127.0.0.1:7000"; "explain_empty_parts")]
#[test_case("/elsewhere", 404, "there is nothing at this path"; "unknown_path")]
#[tokio::test]
async fn operator(path: &str, status: u16, body: &str) {
    let daemon = Daemon::start(Fake::default(), &[]).await;
    let response = exchange(daemon.operator_address, &get(path)).await;
    assert_eq!((response.status, &*response.body), (status, body));
}

/// A log output that keeps the written text and can block its writer.
#[derive(Clone, Default)]
struct Output(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    written: Vec<u8>,
    blocked: bool,
}

impl Output {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_blocked(&self, blocked: bool) {
        self.state().blocked = blocked;
        self.0.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.state().written).into_owned()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let unblocked = self
            .0
            .changed
            .wait_while(self.state(), |state| state.blocked);
        let mut state = unblocked.unwrap_or_else(PoisonError::into_inner);
        state.written.extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test_case(LogFormat::Json; "json")]
#[test_case(LogFormat::Text; "text")]
fn decision_line_has_every_field(format: LogFormat) {
    let output = Output::default();
    let (log, guard) = start_to(output.clone(), format, LogLevel::Info, Counter::default());
    let decision = Decision {
        request: Some(10),
        route: "hydrants",
        range: Some(monsoonring_configuration::Range::new(5, 9)),
        backend_server: Some(([127, 0, 0, 1], 7000).into()),
        what: "hedge",
        reason: "40 ms over the quantile",
    };
    decision.log(&log);
    slog::debug!(log, "below the level");
    drop(guard);
    let text = output.text();
    assert_eq!(text.lines().count(), 1, "{text}");
    let parts = [
        "hydrants",
        "5..9",
        "127.0.0.1:7000",
        "hedge",
        "over the quantile",
        "0000000a",
    ];
    assert!(parts.iter().all(|part| text.contains(part)), "{text}");
}

#[test]
fn log_blocked_drops_and_counts_lines() {
    // Guards against requests that block on logging while the reader of standard error is stalled.
    let output = Output::default();
    output.set_blocked(true);
    let dropped = Counter::default();
    let (log, guard) = start_to(
        output.clone(),
        LogFormat::Json,
        LogLevel::Info,
        dropped.clone(),
    );
    let lines = 10_000;
    for number in 0..lines {
        slog::info!(log, "line"; "number" => number);
    }
    let drop_count = dropped.get();
    assert!(drop_count > 0, "the queue is bounded");
    output.set_blocked(false);
    drop(guard);
    assert_eq!(
        output.text().lines().count() as u64 + drop_count,
        lines,
        "each line is either written or counted as dropped"
    );
}
