//! A daemon inside this process, in a runtime and threads of its own.
//!
//! It is the daemon's own code from its settings on, sockets included; only the process is shared. Its
//! threads bear a name of their own, so that their processor time can be told from that of the
//! stand-ins and of the load generator.

use super::{Addresses, KEY};
use futures::FutureExt;
use monsoonring_daemon::launch::{Launched, launch};
use monsoonring_daemon::log;
use monsoonring_daemon::metrics::Metrics;
use monsoonring_daemon::run::Telemetry;
use monsoonring_daemon::settings::Settings;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// Name of the threads of daemons; the operating system keeps 15 bytes of it.
pub const THREAD_NAME: &str = "daemon";
/// Program name, which the settings expect first.
const PROGRAM: &str = "monsoonringd";
/// Threads that run the tasks of one daemon.
const WORKERS: usize = 2;
/// Nothing balances over the daemons of an experiment, so a stop needs no wait.
const DRAIN_WAIT_MS: &str = "0";

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// A daemon that runs in this process.
#[derive(Debug)]
pub(super) struct Thread {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Thread {
    /// Starts a daemon and returns the addresses that it listens on.
    pub(super) async fn spawn(arguments: Vec<String>) -> Result<(Addresses, Self), Cause> {
        let program = [PROGRAM, "--drain-wait-ms", DRAIN_WAIT_MS, "--key", KEY];
        let program = program.into_iter().map(str::to_owned);
        let settings = Settings::read(program.chain(arguments))?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        let (started, start) = oneshot::channel();
        let (stop, stopping) = oneshot::channel();
        let life = thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread = life.spawn(move || live(&runtime, &settings, started, stopping))?;
        let addresses = start.await??;
        Ok((addresses, Self { stop, thread }))
    }

    /// Stops the daemon as a signal does and waits until it has ended.
    pub(super) async fn stop(self) {
        // A daemon that has ended by itself hears no signal; joining it is all that is left.
        let _ = self.stop.send(());
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

type Started = oneshot::Sender<Result<Addresses, Cause>>;

fn live(runtime: &Runtime, settings: &Settings, started: Started, stopping: oneshot::Receiver<()>) {
    let metrics = Arc::new(Metrics::default());
    let dropped = metrics.log_dropped.clone();
    // Lines are composed as in production and then thrown away: their cost is the daemon's.
    let (log, _guard) = log::start_to(
        std::io::sink(),
        settings.log_format,
        settings.log_level,
        dropped,
    );
    runtime.block_on(async {
        match launch(settings, Telemetry { log, metrics }).await {
            Ok(launched) => serve(launched, started, stopping).await,
            Err(error) => {
                let _ = started.send(Err(error.into()));
            }
        }
    });
}

async fn serve(launched: Launched, started: Started, stopping: oneshot::Receiver<()>) {
    let addresses = Addresses {
        caller: launched.running.caller_address(),
        operator: launched.running.operator_address(),
        peer: launched.peer_address,
    };
    // Without anybody waiting for the addresses, the stop follows at once.
    let _ = started.send(Ok(addresses));
    let signals = stopping.map(|_| ()).into_stream();
    launched.running.until_stopped(signals).await;
}
