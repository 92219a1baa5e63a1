//! A daemon as a process of its own.

use super::KEY;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

const KEY_VARIABLE: &str = "MONSOONRING_KEY";

/// Result of starting a process.
pub(super) type Result<T, E = Box<dyn std::error::Error + Send + Sync>> = std::result::Result<T, E>;

#[derive(Debug, Snafu)]
#[snafu(display("run {}: {source}", path.display()))]
struct Error {
    path: PathBuf,
    source: std::io::Error,
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    pub(super) fn spawn(path: &Path, arguments: Vec<String>) -> Result<Self> {
        let child = Command::new(path)
            .args(arguments)
            .args(["--log-level", "warning"])
            .env(KEY_VARIABLE, KEY)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .context(Snafu { path })?;
        Ok(Self { child })
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
