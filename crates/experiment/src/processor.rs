//! Processor time of the daemons' threads, from the operating system's accounts.
//!
//! `/proc/PID/task/TID/schedstat` counts in nanoseconds, whereas `getrusage` and `stat` know whole
//! processes or hundredths of a second. The daemons of this process are told apart by the name of
//! their threads.

use snafu::{OptionExt, ResultExt, Snafu};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of reading processor times.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Processor times that could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file of the operating system could not be read.
    #[snafu(display("read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A file of the operating system has an unknown form.
    #[snafu(display("read {}: no processor time in {text:?}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// What it holds.
        text: String,
    },
}

/// Returns the processor time that the living threads of a process have taken; with a name, those of
/// the threads of that name. `None` stands for this process.
///
/// # Errors
///
/// [`Error`] where the operating system doesn't give it.
pub fn time(process_id: Option<u32>, thread_name: Option<&str>) -> Result<Duration> {
    let process = process_id.map_or_else(|| "self".to_owned(), |id| id.to_string());
    let path = PathBuf::from(format!("/proc/{process}/task"));
    let threads = fs::read_dir(&path).context(ReadSnafu { path: &path })?;
    let mut total = Duration::ZERO;
    for thread in threads.flatten() {
        let path = thread.path();
        let is_counted = thread_name.is_none_or(|name| is_named(&path, name));
        // A thread that ends meanwhile has no files any more; it isn't living.
        if is_counted && path.exists() {
            total += thread_time(&path.join("schedstat"))?;
        }
    }
    Ok(total)
}

fn is_named(thread: &Path, name: &str) -> bool {
    let found = fs::read_to_string(thread.join("comm"));
    found.is_ok_and(|found| found.trim_end() == name)
}

fn thread_time(path: &Path) -> Result<Duration> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let nanos = text.split_whitespace().next();
    let nanos = nanos.and_then(|nanos| nanos.parse().ok());
    let nanos = nanos.context(FormSnafu { path, text })?;
    Ok(Duration::from_nanos(nanos))
}
