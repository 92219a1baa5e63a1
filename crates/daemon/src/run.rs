//! Starts, runs and stops the process.
//!
//! A planned stop cuts nothing off. The daemon first reports that it is not ready but still serves
//! requests until load balancers have had time to react; then it stops accepting connections and
//! ends when no request is in flight. After a second signal, or shortly before the stop timeout, the
//! remaining requests are answered with what is known of them; the log shows how many had no
//! outcome.

use crate::caller::{self, RequestLog};
use crate::metrics::Metrics;
use crate::metrics::label::Side;
use crate::operator;
use crate::server::Server;
use crate::server::stop::{Control, Schedule, Stage, Watch};
use crate::service::Service;
use crate::settings::{Limits, Settings};
use futures::stream::{Stream, StreamExt};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Exit code of a process that failed to start.
pub const EXIT_CODE_FAILED: u8 = 1;

/// Exit code of a process whose stop was cut short.
pub const EXIT_CODE_CUT: u8 = 3;

/// Limit on simultaneous operator connections.
const OPERATOR_CONNECTIONS: usize = 64;

/// Failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("cannot listen for {side}s on {address}: {source}"))]
    Listen {
        /// Who is served on the address.
        side: Side,
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("cannot listen for signals: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Log and metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// Root logger.
    pub log: Logger,
    /// Metrics of the whole daemon.
    pub metrics: Arc<Metrics>,
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// All requests in flight were finished.
    Complete,
    /// The stop was cut short.
    Cut {
        /// Number of callers' requests that were cut off.
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

/// A daemon that serves callers and operators.
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

/// Serves until a stop signal arrives, and stops.
///
/// # Errors
///
/// Fails if an address can't be listened on or signals can't be received.
pub async fn run(
    settings: &Settings,
    service: Arc<dyn Service>,
    telemetry: Telemetry,
) -> Result<StopOutcome> {
    let signals = signals()?;
    let running = Running::start(settings, service, telemetry).await?;
    Ok(running.until_stopped(signals).await)
}

/// Returns a stream of the stop signals, SIGTERM and SIGINT.
///
/// # Errors
///
/// Fails if the operating system refuses a signal handler.
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
    /// Starts to serve callers and operators.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses can't be listened on.
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
        let callers = caller_server(
            settings,
            service.clone(),
            &telemetry,
            request_log.clone(),
            watch,
        );
        let operators = operator_server(settings, service.clone(), &telemetry, operator_watch);
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
            stop_timeout: settings.stop_timeout(),
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

    /// Waits for the first signal, stops, and returns how the stop ended. A second signal cuts the
    /// stop short: the remaining requests are answered at once. The end of the stream does not count
    /// as a signal.
    pub async fn until_stopped(self, signals: impl Stream<Item = ()> + Send) -> StopOutcome {
        let mut signals = pin!(signals.chain(futures::stream::pending()));
        signals.next().await;
        let log = &self.telemetry.log;
        info!(log, "stop began"; "in_flight" => self.request_log.in_flight());
        let schedule = Schedule::new(self.stop_timeout);
        self.service
            .end_requests(Instant::now() + schedule.end_requests);
        let mut drain = pin!(self.drain_and_stop());
        let drained = tokio::select! {
            () = drain.as_mut() => true,
            _ = signals.next() => self.cut_short("second signal", schedule, drain).await,
            () = tokio::time::sleep(schedule.end_requests) => {
                self.cut_short("stop timeout reached", schedule, drain).await
            }
        };
        self.stop.advance(Stage::Cut);
        self.callers.wait().await;
        self.operator_stop.advance(Stage::Cut);
        self.operators.wait().await;
        let requests = self.request_log.cut_requests();
        info!(log, "stopped"; "cut" => requests);
        if drained {
            StopOutcome::Complete
        } else {
            StopOutcome::Cut { requests }
        }
    }

    /// Runs a stop through all stages that cut nothing off.
    async fn drain_and_stop(&self) {
        self.stop.advance(Stage::Leaving);
        self.service.leave();
        tokio::time::sleep(self.drain_wait).await;
        self.stop.advance(Stage::Draining);
        let log = &self.telemetry.log;
        info!(log, "accepting ended"; "in_flight" => self.request_log.in_flight());
        self.callers.wait().await;
        self.service.drain().await;
    }

    /// Ends the remaining requests, first at their homes, then without an outcome. Returns `false`,
    /// because the stop is not complete.
    async fn cut_short(
        &self,
        reason: &'static str,
        schedule: Schedule,
        mut drain: Pin<&mut impl Future<Output = ()>>,
    ) -> bool {
        let log = &self.telemetry.log;
        warn!(log, "stop cut short"; "why" => reason, "in_flight" => self.request_log.in_flight());
        self.service.end_requests(Instant::now());
        let until_answer = schedule.answer - schedule.end_requests;
        if timeout(until_answer, drain.as_mut()).await.is_err() {
            self.stop.advance(Stage::Ending);
            let until_cut = schedule.cut - schedule.answer;
            if timeout(until_cut, drain).await.is_err() {
                warn!(log, "connections cut"; "in_flight" => self.request_log.in_flight());
            }
        }
        false
    }
}

fn caller_server(
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

fn operator_server(
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
