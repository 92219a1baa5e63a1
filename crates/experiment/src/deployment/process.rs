//! A daemon in a separate process.

use super::{Addresses, KEY, READY_POLL, READY_TIMEOUT};
use crate::caller::Caller;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

const KEY_VARIABLE: &str = "MONSOONRING_KEY";
const LOG_LEVEL_FLAG: &str = "--log-level";
/// Log level unless the policy sets one.
const DEFAULT_LOG_LEVEL: &str = "warning";

/// Result of starting a process.
pub(super) type Result<T, E = Box<dyn std::error::Error + Send + Sync>> = std::result::Result<T, E>;

#[derive(Debug, Snafu)]
#[snafu(display("run {}: {source}", path.display()))]
struct Error {
    path: PathBuf,
    source: std::io::Error,
}

/// The process exited before it was serving.
#[derive(Debug, Snafu)]
#[snafu(display("the process exited during its start: {status}"))]
pub(super) struct Exited {
    status: std::process::ExitStatus,
}

/// The process did not serve within the timeout.
#[derive(Debug, Snafu)]
#[snafu(display("the process does not serve in time"))]
struct NotServing;

/// A running process; killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    pub(super) fn spawn(path: &Path, arguments: Vec<String>) -> Result<Self> {
        let sets_level = arguments.iter().any(|argument| argument == LOG_LEVEL_FLAG);
        let level = (!sets_level).then_some([LOG_LEVEL_FLAG, DEFAULT_LOG_LEVEL]);
        // Show warnings, which explain failed runs. At other levels the log is too long to show.
        let log = match sets_level {
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

    /// Waits until the process serves its operator port.
    ///
    /// Another program may take a reserved port before the process listens on it; the process then exits
    /// and this returns [`Exited`]. An answer only counts if it states the daemon's peer address, as it
    /// may come from that other program.
    pub(super) async fn wait_until_serving(&mut self, addresses: &Addresses) -> Result<()> {
        let caller = Caller::new("experiment".into());
        let own = addresses.peer.to_string();
        let serving = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    return ExitedSnafu { status }.fail()?;
                }
                let state = caller.state(addresses.operator).await;
                if state.is_some_and(|state| state["address"] == own) {
                    return Ok(());
                }
                sleep(READY_POLL).await;
            }
        };
        let result = timeout(READY_TIMEOUT, serving).await;
        result.unwrap_or_else(|_| Ok(NotServingSnafu.fail()?))
    }

    pub(super) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub(super) async fn stop(mut self) {
        // No request is in flight at the end of a run. An error means that the process has already exited.
        let _ = self.child.kill().await;
    }
}
