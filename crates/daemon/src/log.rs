//! The log: one line for each event that an operator may need to understand later.
//!
//! A separate thread writes the lines to standard error, so that a blocked terminal or pipe can't
//! delay requests. Its queue is bounded; lines that don't fit are dropped and counted in
//! `monsoonring_log_lines_dropped_total`.

use crate::settings::{LogFormat, LogLevel};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::RequestId;
use prometheus_client::metrics::counter::Counter;
use slog::{Drain, Key, Level, LevelFilter, Logger, OwnedKVList, Record, Serializer};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};
use std::fmt::Display;
use std::io::{LineWriter, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Capacity of the writing thread's queue, in lines.
const QUEUE_LINES: usize = 8_192;

/// Interval of the limit on lines.
const SECOND: Duration = Duration::from_secs(1);

/// Size of the write buffer, in bytes.
const LINE_BYTES: usize = 4_096;

/// Owns the writing thread; dropping it writes the queued lines and ends the thread.
#[must_use = "dropping the guard ends the log"]
pub struct Guard {
    _writer: AsyncGuard,
}

/// Starts the log to standard error. Lines that don't fit into the queue are counted in `dropped`.
pub fn start(format: LogFormat, level: LogLevel, dropped: Counter) -> (Logger, Guard) {
    start_to(std::io::stderr(), format, level, dropped)
}

/// Starts the log to `output`. Lines that don't fit into the queue are counted in `dropped`.
pub fn start_to<W>(
    output: W,
    format: LogFormat,
    level: LogLevel,
    dropped: Counter,
) -> (Logger, Guard)
where
    W: Write + Send + 'static,
{
    start_bounded(output, format, level, dropped, None)
}

/// Starts the log to `output`, with at most `max_lines` lines per second below the level of
/// warnings. Dropped lines are counted in `dropped`.
pub fn start_bounded<W>(
    output: W,
    format: LogFormat,
    level: LogLevel,
    dropped: Counter,
    max_lines: Option<u32>,
) -> (Logger, Guard)
where
    W: Write + Send + 'static,
{
    let (queue, writer) = match format {
        LogFormat::Json => {
            // The JSON formatter writes token by token, and standard error is unbuffered: without
            // this buffer each line would take dozens of system calls.
            let lines = LineWriter::with_capacity(LINE_BYTES, output);
            queue(slog_json::Json::default(lines).fuse())
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            queue(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let bounded = BoundedDrain {
        queue,
        dropped,
        limit: max_lines.map(LineLimit::new),
    };
    let filtered = LevelFilter::new(bounded, severity(level)).fuse();
    (
        Logger::root(filtered, slog::o!()),
        Guard { _writer: writer },
    )
}

fn queue<D>(drain: D) -> (AsyncCore, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    AsyncCore::custom(drain)
        .thread_name("log".to_owned())
        .chan_size(QUEUE_LINES)
        .blocking(false)
        .build_with_guard()
}

fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Applies the limit on lines and counts those dropped by the limit or a full queue.
struct BoundedDrain {
    queue: AsyncCore,
    dropped: Counter,
    limit: Option<LineLimit>,
}

/// Limit on lines per second below the level of warnings.
///
/// A request can write a dozen lines, so under a burst of requests logging would take processor
/// time just when requests need it. Warnings and errors are few and explain the burst; they are
/// always written.
struct LineLimit {
    max_lines: u32,
    window: Mutex<(Instant, u32)>,
}

impl LineLimit {
    fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            window: Mutex::new((Instant::now(), 0)),
        }
    }

    /// Counts a line and returns whether it may be written.
    fn admits(&self, level: Level) -> bool {
        if level.is_at_least(Level::Warning) {
            return true;
        }
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.0.elapsed() >= SECOND {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        window.1 <= self.max_lines
    }
}

impl Drain for BoundedDrain {
    type Ok = ();
    type Err = AsyncError;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), AsyncError> {
        let limit = self.limit.as_ref();
        let admitted = limit.is_none_or(|limit| limit.admits(record.level()));
        if !admitted || self.queue.log(record, values).is_err() {
            self.dropped.inc();
        }
        Ok(())
    }
}

/// A routing or placement decision, written as one log line.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a, R: ?Sized> {
    /// The request, if the decision concerns one.
    pub request: Option<RequestId>,
    /// Name of the route.
    pub route: &'a str,
    /// The shard's key range, if the decision concerns one.
    pub range: Option<Range>,
    /// The backend server, if the decision concerns one.
    pub backend_server: Option<BackendServerId>,
    /// Kind of decision: `send`, `hedge`, `retry`, `refuse`, …
    pub what: &'a str,
    /// The reason, with the figures behind it; formatted only if the line is written.
    pub reason: &'a R,
}

impl<R: Display + ?Sized> Decision<'_, R> {
    /// Writes the decision to the log.
    pub fn log(&self, log: &Logger) {
        slog::info!(log, "decision"; self);
    }
}

impl<R: Display + ?Sized> slog::KV for Decision<'_, R> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        if let Some(request) = self.request {
            serializer.emit_arguments(Key::from("request"), &format_args!("{request:032x}"))?;
        }
        serializer.emit_str(Key::from("route"), self.route)?;
        if let Some(range) = self.range {
            serializer.emit_arguments(Key::from("range"), &format_args!("{range}"))?;
        }
        if let Some(server) = self.backend_server {
            serializer.emit_arguments(Key::from("backend_server"), &format_args!("{server}"))?;
        }
        serializer.emit_str(Key::from("decision"), self.what)?;
        serializer.emit_arguments(Key::from("reason"), &format_args!("{}", self.reason))
    }
}
