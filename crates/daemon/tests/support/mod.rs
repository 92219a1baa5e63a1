//! Starts daemons in the test process, and provides fakes and clients for their tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod form;
pub(crate) mod fuzzing;
pub(crate) mod http;
pub(crate) mod peer;
pub(crate) mod service;

use monsoonring_daemon::launch::{Launched, launch};
use monsoonring_daemon::metrics::Metrics;
use monsoonring_daemon::run::{Running, StopOutcome, Telemetry};
use monsoonring_daemon::settings::Settings;
use service::Fake;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Fails a test that hangs. No test depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for a future, and fails the test after [`TEST_TIMEOUT`].
pub(crate) async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .expect("the test timed out")
}

/// A quarter of the key that daemons share.
pub(crate) const KEY: &str = "0123456789abcdef";

/// Returns valid settings that bind every listener to port 0, with `extra` arguments.
pub(crate) fn settings(extra: &[&str]) -> Settings {
    let key = KEY.repeat(4);
    let mut arguments = vec!["monsoonringd", "--seed=1", "--key", &key];
    arguments.extend(["--listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0"]);
    arguments.extend(["--peer-listen=127.0.0.1:0", "--data-centre=tunis-1"]);
    arguments.push("--host-list=127.0.0.1:2");
    if !extra
        .iter()
        .any(|argument| argument.starts_with("--configuration-service"))
    {
        arguments.push("--configuration-service=127.0.0.1:1");
    }
    if !extra
        .iter()
        .any(|argument| argument.starts_with("--drain-wait-ms"))
    {
        arguments.push("--drain-wait-ms=1");
    }
    arguments.extend(extra);
    Settings::read(arguments).expect("the settings are valid")
}

/// Launches a complete daemon, with its real service.
pub(crate) async fn launch_daemon(extra: &[&str]) -> Launched {
    let telemetry = Telemetry {
        log: slog::Logger::root(slog::Discard, slog::o!()),
        metrics: Arc::new(Metrics::default()),
    };
    let launched = launch(&settings(extra), telemetry).await;
    launched.expect("binding port 0 succeeds")
}

/// A daemon around a fake service, running in the test process.
pub(crate) struct Daemon {
    pub(crate) service: Arc<Fake>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    signals: mpsc::UnboundedSender<()>,
    stopped: JoinHandle<StopOutcome>,
}

impl Daemon {
    /// Starts a daemon that discards its log.
    pub(crate) async fn start(service: Fake, extra: &[&str]) -> Self {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Self::start_with(service, extra, log).await
    }

    /// Starts a daemon that logs to `log`.
    pub(crate) async fn start_with(service: Fake, extra: &[&str], log: slog::Logger) -> Self {
        let service = Arc::new(service);
        let metrics = Arc::new(Metrics::default());
        let telemetry = Telemetry {
            log,
            metrics: metrics.clone(),
        };
        let running = Running::start(&settings(extra), service.clone(), telemetry)
            .await
            .expect("binding port 0 succeeds");
        let (signals, received) = mpsc::unbounded_channel();
        let received = signal_stream(received);
        Self {
            service,
            metrics,
            caller_address: running.caller_address(),
            operator_address: running.operator_address(),
            signals,
            stopped: tokio::spawn(running.until_stopped(received)),
        }
    }

    /// Sends a stop signal. The second one cuts open requests off.
    pub(crate) fn signal(&self) {
        self.signals.send(()).expect("the daemon is running");
    }

    /// Waits until the daemon has stopped.
    pub(crate) async fn stopped(self) -> StopOutcome {
        within(self.stopped)
            .await
            .expect("the daemon does not panic")
    }

    /// Waits as [`Self::stopped`] does, and keeps the daemon for further checks.
    pub(crate) async fn wait(&mut self) -> StopOutcome {
        within(&mut self.stopped)
            .await
            .expect("the daemon does not panic")
    }
}

fn signal_stream(received: mpsc::UnboundedReceiver<()>) -> impl futures::Stream<Item = ()> + Send {
    futures::stream::unfold(received, async |mut received| {
        received.recv().await.map(|()| ((), received))
    })
}
