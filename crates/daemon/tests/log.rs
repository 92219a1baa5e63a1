//! The rate limit of log lines.

use monsoonring_daemon::log;
use monsoonring_daemon::settings::{LogFormat, LogLevel};
use prometheus_client::metrics::counter::Counter;
use std::io::{Result, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0
            .lock()
            .expect("the mutex is not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

// Guards against slow answers under load: log lines cost CPU time, so lines below warnings are
// limited to a rate.
#[test]
fn start_bounded_drops_excess_lines_but_no_warning() {
    let output = Output::default();
    let dropped = Counter::default();
    let (log, guard) = log::start_bounded(
        output.clone(),
        LogFormat::Json,
        LogLevel::Info,
        dropped.clone(),
        Some(10),
    );
    for number in 0..200 {
        slog::info!(log, "request"; "number" => number);
    }
    slog::warn!(log, "store"; "what" => "lost");
    drop(log);
    drop(guard);
    let text = output.0.lock().expect("the mutex is not poisoned").clone();
    let text = String::from_utf8(text).expect("the log is UTF-8");
    let requests = text.lines().filter(|line| line.contains("request")).count();
    // The burst may extend over two one-second windows.
    assert!((10..=20).contains(&requests), "{requests}");
    assert_eq!(dropped.get() as usize, 200 - requests);
    assert!(text.contains("lost"));
}
