//! The life of the process: start, serve, stop.
//!
//! A planned stop cuts nothing off. First the daemon says that it is not ready, and still serves
//! everything, until the balancer has had time to look elsewhere; then it accepts no more, and ends
//! when nothing is in flight. A second signal, or the bound on the whole, cuts off what is left,
//! and the log says what that was.

use crate::caller::{self, RequestLog};
use crate::metrics::Metrics;
use crate::metrics::label::Side;
use crate::operator;
use crate::server::Server;
use crate::server::stop::{Control, Stage, Watch};
use crate::service::Service;
use crate::settings::{Limits, Settings};
use futures::stream::{Stream, StreamExt};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::pin::pin;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::task::TaskTracker;

/// Exit code of a process that could not start.
pub const EXIT_CODE_FAILED: u8 = 1;

/// Exit code of a process whose stop was cut short.
pub const EXIT_CODE_CUT: u8 = 3;

/// Connections of operators at the same time.
const OPERATOR_CONNECTIONS: usize = 64;

/// Why the daemon did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be listened on.
    #[snafu(display("cannot listen for {side}s on {address}: {source}"))]
    Listen {
        /// Who should have been served.
        side: Side,
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A signal could not be listened for.
    #[snafu(display("cannot listen for signals: {source}"))]
    Signal {
        /// What the operating system says.
        source: std::io::Error,
    },
}

/// Result of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Where the daemon writes what it does.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Everything in flight was finished.
    Complete,
    /// It was cut short.
    Cut {
        /// Number of callers' requests cut off.
        requests: usize,
    },
}

impl From<StopOutcome> for ExitCode {
    fn from(ended: StopOutcome) -> Self {
        match ended {
            StopOutcome::Complete => Self::SUCCESS,
            StopOutcome::Cut { .. } => Self::from(EXIT_CODE_CUT),
        }
    }
}

/// A daemon that serves.
pub struct Running {
    service: Arc<dyn Service>,
    telemetry: Telemetry,
    request_log: RequestLog,
    stop: Control,
    operator_stop: Control,
    callers: TaskTracker,
    operators: TaskTracker,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    drain_wait: Duration,
    stop_timeout: Duration,
}

/// Serves until a signal to stop, and stops.
///
/// # Errors
///
/// An address or the signals can't be listened on.
pub async fn run(
    settings: &Settings,
    service: Arc<dyn Service>,
    telemetry: Telemetry,
) -> Result<StopOutcome> {
    let signals = signals()?;
    let running = Running::start(settings, service, telemetry).await?;
    Ok(running.until_stopped(signals).await)
}

/// Returns the signals that ask the process to stop, SIGTERM and SIGINT.
///
/// # Errors
///
/// The operating system refuses to deliver them.
pub fn signals() -> Result<impl Stream<Item = ()> + Send> {
    let terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let either = futures::stream::unfold(
        (terminate, interrupt),
        async |(mut terminate, mut interrupt)| {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            Some(((), (terminate, interrupt)))
        },
    );
    Ok(either)
}

impl Running {
    /// Listens for callers and operators.
    ///
    /// # Errors
    ///
    /// One of the addresses can't be listened on.
    pub async fn start(
        settings: &Settings,
        service: Arc<dyn Service>,
        telemetry: Telemetry,
    ) -> Result<Self> {
        let (caller_listener, caller_address) = listen(Side::Caller, settings.listen).await?;
        let (operator_listener, operator_address) =
            listen(Side::Operator, settings.operator_listen).await?;
        let (stop, watch) = Control::new();
        let (operator_stop, operator_watch) = Control::new();
        let request_log = RequestLog::new(
            telemetry.metrics.clone(),
            telemetry.log.clone(),
            watch.clone(),
        );
        let callers = callers(
            settings,
            service.clone(),
            &telemetry,
            request_log.clone(),
            watch,
        );
        let operators = operators(settings, service.clone(), &telemetry, operator_watch);
        info!(
            telemetry.log, "serving";
            "callers" => %caller_address,
            "operators" => %operator_address,
            "data_centre" => &*settings.data_centre,
        );
        if settings.key.is_none() {
            warn!(
                telemetry.log,
                "no key between daemons: whoever reaches the peer port is believed"
            );
        }
        Ok(Self {
            service,
            telemetry,
            request_log,
            stop,
            operator_stop,
            callers: callers.start(caller_listener),
            operators: operators.start(operator_listener),
            caller_address,
            operator_address,
            drain_wait: settings.drain_wait(),
            stop_timeout: settings.stop_bound(),
        })
    }

    /// Returns the address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Waits for the first signal, stops, and tells how that ended. A second signal cuts the stop
    /// short. The end of the stream counts as no further signal.
    pub async fn until_stopped(self, signals: impl Stream<Item = ()> + Send) -> StopOutcome {
        let mut signals = pin!(signals.chain(futures::stream::pending()));
        signals.next().await;
        let log = &self.telemetry.log;
        info!(log, "stop began"; "in_flight" => self.request_log.in_flight());
        let drained = tokio::select! {
            () = self.finish() => true,
            _ = signals.next() => self.give_up("second signal"),
            () = tokio::time::sleep(self.stop_timeout) => self.give_up("stop timeout reached"),
        };
        self.stop.advance(Stage::Cut);
        self.callers.wait().await;
        self.operator_stop.advance(Stage::Cut);
        self.operators.wait().await;
        let requests = self.request_log.cut();
        info!(log, "stopped"; "cut" => requests);
        if drained {
            StopOutcome::Complete
        } else {
            StopOutcome::Cut { requests }
        }
    }

    /// The stages of a stop that cuts nothing off.
    async fn finish(&self) {
        self.stop.advance(Stage::Leaving);
        self.service.leave();
        tokio::time::sleep(self.drain_wait).await;
        self.stop.advance(Stage::Draining);
        let log = &self.telemetry.log;
        info!(log, "accepting ended"; "in_flight" => self.request_log.in_flight());
        self.callers.wait().await;
        self.service.drain().await;
    }

    fn give_up(&self, reason: &'static str) -> bool {
        let log = &self.telemetry.log;
        warn!(log, "stop cut short"; "why" => reason, "in_flight" => self.request_log.in_flight());
        false
    }
}

fn callers(
    settings: &Settings,
    service: Arc<dyn Service>,
    telemetry: &Telemetry,
    request_log: RequestLog,
    stop: Watch,
) -> Server<caller::Front> {
    let metrics = &telemetry.metrics;
    let handler = caller::Front::new(
        service,
        request_log,
        stop.clone(),
        settings.limits.body_timeout(),
        metrics.front.excess_connections.clone(),
        settings.seed,
    );
    Server {
        handler,
        limits: settings.limits.clone(),
        stop,
        gauge: metrics.open_connections(Side::Caller),
        log: telemetry.log.clone(),
    }
}

fn operators(
    settings: &Settings,
    service: Arc<dyn Service>,
    telemetry: &Telemetry,
    stop: Watch,
) -> Server<operator::Front> {
    let metrics = telemetry.metrics.clone();
    let gauge = metrics.open_connections(Side::Operator);
    Server {
        handler: operator::Front::new(service, metrics, settings.limits.body_timeout()),
        limits: Limits {
            max_connections: OPERATOR_CONNECTIONS,
            ..settings.limits.clone()
        },
        stop,
        gauge,
        log: telemetry.log.clone(),
    }
}

pub(crate) async fn listen_datagrams(side: Side, address: SocketAddr) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await;
    socket.context(ListenSnafu { side, address })
}

pub(crate) async fn listen(side: Side, address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let context = || ListenSnafu { side, address };
    let listener = TcpListener::bind(address)
        .await
        .with_context(|_| context())?;
    let local = listener.local_addr().with_context(|_| context())?;
    Ok((listener, local))
}
