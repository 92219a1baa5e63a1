//! A daemon around a fake service, and a caller that sees bytes.

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

/// Ends a test that hangs; no test waits for this to pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for something that must come.
pub(crate) async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .expect("the test must not hang")
}

/// A quarter of the key between daemons.
pub(crate) const KEY: &str = "0123456789abcdef";

/// Settings with every port free to choose, and `more` on top.
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
    Settings::read(arguments).expect("the settings are right")
}

/// Starts a daemon with all that is behind its front.
pub(crate) async fn launch_daemon(extra: &[&str]) -> Launched {
    let telemetry = Telemetry {
        log: slog::Logger::root(slog::Discard, slog::o!()),
        metrics: Arc::new(Metrics::default()),
    };
    let launched = launch(&settings(extra), telemetry).await;
    launched.expect("port 0 is free")
}

/// A daemon that runs in the test.
pub(crate) struct Daemon {
    pub(crate) service: Arc<Fake>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    signals: mpsc::UnboundedSender<()>,
    stopped: JoinHandle<StopOutcome>,
}

impl Daemon {
    /// Starts a daemon around a service.
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
            .expect("port 0 is free");
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

    /// Sends a signal to stop.
    pub(crate) fn signal(&self) {
        self.signals.send(()).expect("the daemon runs");
    }

    /// Waits for the end.
    pub(crate) async fn stopped(self) -> StopOutcome {
        within(self.stopped)
            .await
            .expect("the daemon does not panic")
    }

    /// The same, without giving the daemon away.
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
