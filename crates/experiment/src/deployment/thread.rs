//! A daemon inside this process, with a separate runtime and threads.
//!
//! Runs the real daemon, including settings and sockets. The name of its threads separates their
//! processor time from that of the fakes and the load generator.

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

/// Name of the daemons' threads. Linux truncates thread names to 15 bytes.
pub const THREAD_NAME: &str = "daemon";
/// Program name, expected as the first argument.
const PROGRAM: &str = "monsoonringd";
/// Worker threads of one daemon's runtime.
const WORKER_THREADS: usize = 2;
/// No load balancer has to notice the stop of an experiment's daemon.
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
            .worker_threads(WORKER_THREADS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        let (started, start) = oneshot::channel();
        let (stop, stopping) = oneshot::channel();
        let builder = thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread = builder.spawn(move || run(&runtime, &settings, started, stopping))?;
        let addresses = start.await??;
        Ok((addresses, Self { stop, thread }))
    }

    /// Stops the daemon as a signal would, and waits until it has stopped.
    pub(super) async fn stop(self) {
        // Sending fails if the daemon has already stopped.
        let _ = self.stop.send(());
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

type Started = oneshot::Sender<Result<Addresses, Cause>>;

fn run(runtime: &Runtime, settings: &Settings, started: Started, stopping: oneshot::Receiver<()>) {
    let metrics = Arc::new(Metrics::default());
    let dropped = metrics.log_dropped.clone();
    // Format log lines as in production and discard them, so that their cost is measured.
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
    // If the receiver was dropped, so was the stop channel, and the daemon stops immediately.
    let _ = started.send(Ok(addresses));
    let signals = stopping.map(|_| ()).into_stream();
    launched.running.until_stopped(signals).await;
}
