//! A daemon as a process of its own.

use super::{Addresses, KEY, READY_BOUND, READY_POLL};
use crate::caller::Caller;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

const KEY_VARIABLE: &str = "MONSOONRING_KEY";
const LOG_LEVEL: &str = "--log-level";
/// Least severe level that is logged where a policy names none.
const QUIET: &str = "warning";

/// Result of starting a process.
pub(super) type Result<T, E = Box<dyn std::error::Error + Send + Sync>> = std::result::Result<T, E>;

#[derive(Debug, Snafu)]
#[snafu(display("run {}: {source}", path.display()))]
struct Error {
    path: PathBuf,
    source: std::io::Error,
}

/// The process ended before it served.
#[derive(Debug, Snafu)]
#[snafu(display("the process ended at once: {status}"))]
pub(super) struct Ended {
    status: std::process::ExitStatus,
}

/// The process neither served nor ended.
#[derive(Debug, Snafu)]
#[snafu(display("the process does not serve"))]
struct Hanging;

/// A running process; killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    pub(super) fn spawn(path: &Path, arguments: Vec<String>) -> Result<Self> {
        let names_level = arguments.iter().any(|argument| argument == LOG_LEVEL);
        let level = (!names_level).then_some([LOG_LEVEL, QUIET]);
        // Warnings are few and tell why a run failed; a line for each decision would drown them.
        let log = match names_level {
            true => Stdio::null(),
            false => Stdio::inherit(),
        };
        let child = Command::new(path)
            .args(arguments)
            .args(level.into_iter().flatten())
            .env(KEY_VARIABLE, KEY)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .context(Snafu { path })?;
        Ok(Self { child })
    }

    /// Waits until the process serves operators, as the member that its addresses say.
    ///
    /// A port that was found free may be taken by another program before the process listens on it;
    /// the process then ends, with [`Ended`]. That some program answers there proves nothing: it may
    /// be the one that has taken the port.
    pub(super) async fn serves(&mut self, addresses: &Addresses) -> Result<()> {
        let caller = Caller::new("experiment".into());
        let own = addresses.peer.to_string();
        let serves = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    return EndedSnafu { status }.fail()?;
                }
                let state = caller.state(addresses.operator).await;
                if state.is_some_and(|state| state["address"] == own) {
                    return Ok(());
                }
                sleep(READY_POLL).await;
            }
        };
        let served = timeout(READY_BOUND, serves).await;
        served.unwrap_or_else(|_| Ok(HangingSnafu.fail()?))
    }

    pub(super) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Ends the process and waits until it is gone.
    pub(super) async fn stop(mut self) {
        // Nothing is in flight at the end of a run; an error means that it has ended by itself.
        let _ = self.child.kill().await;
    }
}
