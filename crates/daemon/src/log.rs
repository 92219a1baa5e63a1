//! The log: one line for each thing that an operator may have to understand afterwards.
//!
//! Lines are written to standard error by a thread of their own, so that a terminal or pipe that
//! nobody reads can't hold up a request. The queue to that thread is bounded; lines that do not fit
//! are dropped and bounded in `monsoonring_log_lines_dropped_total`.

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

/// Lines that wait for the writing thread.
const QUEUE_LINES: usize = 8_192;

/// Time over which lines are bounded against a limit.
const SECOND: Duration = Duration::from_secs(1);

/// Bytes of a line that are written at once.
const LINE_BYTES: usize = 4_096;

/// Keeps the writing thread; when it is dropped, the lines that wait are written first.
#[must_use = "dropping the guard ends the log"]
pub struct Guard {
    _writer: AsyncGuard,
}

/// Starts the log to standard error. Lines that don't fit into the queue are bounded in `dropped`.
pub fn start(format: LogFormat, level: LogLevel, dropped: Counter) -> (Logger, Guard) {
    start_to(std::io::stderr(), format, level, dropped)
}

/// Starts the log to `output`.
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

/// Starts the log to `output`, with at most `lines` in each second below warnings.
pub fn start_bounded<W>(
    output: W,
    format: LogFormat,
    level: LogLevel,
    dropped: Counter,
    lines: Option<u32>,
) -> (Logger, Guard)
where
    W: Write + Send + 'static,
{
    let (queue, writer) = match format {
        LogFormat::Json => {
            // The format writes token by token, and standard error does not collect: without this
            // each line would take dozens of system calls.
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
        limit: lines.map(LineLimit::new),
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

/// Bounds the lines in each second and counts those that were dropped, by the limit or because the
/// queue did not take them.
struct BoundedDrain {
    queue: AsyncCore,
    dropped: Counter,
    limit: Option<LineLimit>,
}

/// LineLimit on the lines in each second.
///
/// Each line costs processor time that requests would have. Where a request leaves a dozen of them,
/// a storm of requests would otherwise be slowed down by the log just when that hurts most. Warnings
/// and worse are few, and what explains the storm; they are always written.
struct LineLimit {
    lines: u32,
    second: Mutex<(Instant, u32)>,
}

impl LineLimit {
    fn new(lines: u32) -> Self {
        Self {
            lines,
            second: Mutex::new((Instant::now(), 0)),
        }
    }

    /// Counts a line; tells whether it may be written.
    fn admits(&self, level: Level) -> bool {
        if level.is_at_least(Level::Warning) {
            return true;
        }
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.0.elapsed() >= SECOND {
            *second = (Instant::now(), 0);
        }
        second.1 += 1;
        second.1 <= self.lines
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

/// A routing or placement decision, for one line of the log.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a, R: ?Sized> {
    /// The request decided on, if it is about one.
    pub request: Option<RequestId>,
    /// The route concerned.
    pub route: &'a str,
    /// The shard range concerned, if there is one.
    pub range: Option<Range>,
    /// The backend server concerned, if there is one.
    pub backend_server: Option<BackendServerId>,
    /// What was decided: `send`, `hedge`, `retry`, `refuse`, …
    pub what: &'a str,
    /// Why, with the numbers that decided; written out only if the line is.
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
