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
use crate::server::stop::{Control, Schedule, Stage, Watch};
use crate::server::{Clients, Server};
use crate::service::Service;
use crate::settings::Settings;
use futures::stream::{Stream, StreamExt};
use monsoonring_decision::client::{Budget, Connections, Shares};
use nix::sys::resource::{Resource, getrlimit};
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

/// File descriptors that are kept for files.
const RESERVED_FOR_FILES: usize = 64;

/// Sockets of a process whose limit on file descriptors is not known.
const DEFAULT_SOCKETS: usize = 1024 - RESERVED_FOR_FILES;

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
        let clients = Clients::new(Budget::of(settings.memory_limit()));
        let shares = Shares::of(max_sockets());
        let max_callers = Connections::serving(settings.limits.max_connections);
        let callers = Server {
            handler: caller_handler(settings, service.clone(), &telemetry, &request_log, &watch),
            limits: settings.limits.clone(),
            connections: max_callers.min(shares.clients),
            clients: clients.clone(),
            stop: watch,
            side: Side::Caller,
            metrics: telemetry.metrics.clone(),
            log: telemetry.log.clone(),
        };
        let body_timeout = settings.limits.body_timeout();
        let metrics = telemetry.metrics.clone();
        let operators = Server {
            handler: operator::Front::new(service.clone(), metrics, body_timeout),
            limits: settings.limits.clone(),
            connections: shares.operators,
            clients,
            stop: operator_watch,
            side: Side::Operator,
            metrics: telemetry.metrics.clone(),
            log: telemetry.log.clone(),
        };
        if callers.connections.served < settings.limits.max_connections {
            warn!(
                telemetry.log, "fewer connections than set: file descriptors are limited";
                "set" => settings.limits.max_connections,
                "connections" => callers.connections.served,
            );
        }
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

fn caller_handler(
    settings: &Settings,
    service: Arc<dyn Service>,
    telemetry: &Telemetry,
    request_log: &RequestLog,
    stop: &Watch,
) -> caller::Front {
    caller::Front::new(
        service,
        request_log.clone(),
        stop.clone(),
        settings.limits.body_timeout(),
        telemetry.metrics.front.excess_connections.clone(),
        settings.seed,
    )
}

/// Returns how many sockets the process may have open.
pub(crate) fn max_sockets() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| usize::try_from(soft));
    match limit {
        Ok(Ok(descriptors)) => descriptors.saturating_sub(RESERVED_FOR_FILES),
        _ => DEFAULT_SOCKETS,
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
