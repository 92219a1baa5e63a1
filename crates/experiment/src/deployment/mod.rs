//! Starts fakes and real daemons on the loopback interface.

mod process;
mod thread;

pub use thread::THREAD_NAME;

use crate::caller::Caller;
use crate::scenario::Policy;
use monsoonring_configuration::check;
use monsoonring_fakes::configuration_service::Service;
use monsoonring_fakes::fleet::{Fleet, Shape};
use monsoonring_fakes::host_list::{self, List};
use process::Process;
use snafu::{ResultExt, Snafu, ensure};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use thread::Thread;
use tokio::time::{sleep, timeout};

/// Timeout of a daemon's start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to start a daemon, each on other ports.
const MAX_STARTS: usize = 5;
/// Shared key of the daemons of an experiment. Not a secret.
const KEY: &str = "5f1d0c7a93b24e6880aa41c3e97f2b6d5f1d0c7a93b24e6880aa41c3e97f2b6d";
/// Data centres, assigned to the daemons round-robin.
const DATA_CENTRES: [&str; 4] = ["north", "south", "east", "west"];

/// Result of starting a deployment.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of starting a deployment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The document is invalid.
    #[snafu(display("check the document: {source}"))]
    Document {
        /// The validation error.
        source: check::Error,
    },
    /// No free port was available.
    #[snafu(display("find a free port: {source}"))]
    Port {
        /// The cause.
        source: std::io::Error,
    },
    /// A daemon could not be started.
    #[snafu(display("start the daemon {daemon}: {source}"))]
    Start {
        /// Caller address of the daemon.
        daemon: SocketAddr,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A daemon was not ready in time.
    #[snafu(display("wait for the daemon {daemon}: not ready within {} s", READY_TIMEOUT.as_secs()))]
    NotReady {
        /// Caller address of the daemon.
        daemon: SocketAddr,
    },
}

/// How daemons run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Launch {
    /// Inside this process, each with a separate runtime.
    Threads,
    /// As processes of the binary at this path.
    Processes(PathBuf),
}

impl Launch {
    /// Returns [`Launch::Processes`] if a path to the binary is given, otherwise [`Launch::Threads`].
    pub fn new(processes: Option<PathBuf>) -> Self {
        processes.map_or(Self::Threads, Self::Processes)
    }
}

/// Settings of a deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Shapes of the routes and their backend servers.
    pub shapes: Vec<Shape>,
    /// Policy to apply to the document and the daemons' flags.
    pub policy: Policy,
    /// Number of daemons.
    pub daemons: usize,
    /// Whether daemons run as threads or processes.
    pub launch: Launch,
}

/// Listen addresses of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Process id; `None` if the daemon runs inside this process.
    pub process_id: Option<u32>,
    handle: Handle,
}

/// Handle that stops a daemon.
#[derive(Debug)]
enum Handle {
    Thread(Thread),
    Process(Process),
}

/// Running fakes and daemons.
pub struct Deployment {
    /// Fakes of the backend servers.
    pub fleet: Fleet,
    /// Fake of the configuration service.
    pub service: Service,
    /// Fake of the host list.
    pub hosts: List,
    /// Running daemons, in start order.
    pub daemons: Vec<Daemon>,
}

impl Deployment {
    /// Starts the fakes and the daemons, and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a daemon does not start or is not ready in time.
    pub async fn start(setup: Setup) -> Result<Self> {
        let fleet = Fleet::start(setup.shapes.iter().cloned());
        let service = Service::start();
        let hosts = List::start();
        let mut document = fleet.document();
        setup.policy.apply(&mut document);
        check::document(&document).context(DocumentSnafu)?;
        service.publish_document(&document);
        fleet.register(&hosts);
        let mut deployment = Self {
            fleet,
            service,
            hosts,
            daemons: Vec::new(),
        };
        for data_centre in DATA_CENTRES.iter().cycle().take(setup.daemons) {
            deployment.add(&setup, data_centre).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the caller addresses of the daemons.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.caller).collect()
    }

    /// Stops the daemons, then the fakes.
    pub async fn stop(self) {
        for daemon in self.daemons {
            match daemon.handle {
                Handle::Thread(thread) => thread.stop().await,
                Handle::Process(process) => process.stop().await,
            }
        }
    }

    async fn add(&mut self, setup: &Setup, data_centre: &str) -> Result<()> {
        let (addresses, handle) = self.start_daemon(setup, data_centre).await?;
        self.hosts.set(addresses.peer, host_list::State::Live);
        self.daemons.push(Daemon {
            caller: addresses.caller,
            operator: addresses.operator,
            peer: addresses.peer,
            process_id: match &handle {
                Handle::Thread(_) => None,
                Handle::Process(process) => process.id(),
            },
            handle,
        });
        Ok(())
    }

    /// Starts a daemon. Retries with other ports if another program has taken one of them.
    async fn start_daemon(&self, setup: &Setup, data_centre: &str) -> Result<(Addresses, Handle)> {
        let mut remaining = MAX_STARTS;
        loop {
            remaining -= 1;
            let addresses = match setup.launch {
                Launch::Threads => Addresses::ephemeral(),
                Launch::Processes(_) => Addresses::reserve().context(PortSnafu)?,
            };
            let arguments = self.arguments(&addresses, data_centre, &setup.policy);
            let daemon = addresses.caller;
            match start(&setup.launch, addresses, arguments).await {
                Err(source) if remaining > 0 && source.is::<process::Exited>() => {}
                result => return result.context(StartSnafu { daemon }),
            }
        }
    }

    fn arguments(&self, daemon: &Addresses, data_centre: &str, policy: &Policy) -> Vec<String> {
        let flags = [
            ("--listen", daemon.caller.to_string()),
            ("--operator-listen", daemon.operator.to_string()),
            ("--peer-listen", daemon.peer.to_string()),
            ("--data-centre", data_centre.to_owned()),
            (
                "--configuration-service",
                self.service.address().to_string(),
            ),
            ("--host-list", self.hosts.address().to_string()),
        ];
        let flags = flags.into_iter();
        let flags = flags.flat_map(|(flag, value)| [flag.to_owned(), value]);
        let peers = self.daemons.iter();
        let peers = peers.flat_map(|peer| ["--peers".to_owned(), peer.peer.to_string()]);
        let arguments = flags.chain(peers);
        arguments.chain(policy.arguments.iter().cloned()).collect()
    }

    /// Waits until each daemon is ready and knows all others. Until then the homes of the routes still
    /// change, which would distort measurements.
    async fn wait_until_ready(&self) -> Result<()> {
        let caller = Caller::new("experiment".into());
        for daemon in &self.daemons {
            let ready = async {
                while !caller.is_ready(daemon.caller).await
                    || caller.members(daemon.operator).await != Some(self.daemons.len())
                {
                    sleep(READY_POLL).await;
                }
            };
            let in_time = timeout(READY_TIMEOUT, ready).await.is_ok();
            let daemon = daemon.caller;
            ensure!(in_time, NotReadySnafu { daemon });
        }
        Ok(())
    }
}

type StartResult = Result<(Addresses, Handle), Box<dyn std::error::Error + Send + Sync>>;

async fn start(launch: &Launch, addresses: Addresses, arguments: Vec<String>) -> StartResult {
    match launch {
        Launch::Threads => {
            let (addresses, thread) = Thread::spawn(arguments).await?;
            Ok((addresses, Handle::Thread(thread)))
        }
        Launch::Processes(path) => {
            let mut process = Process::spawn(path, arguments)?;
            process.wait_until_serving(&addresses).await?;
            Ok((addresses, Handle::Process(process)))
        }
    }
}

impl Addresses {
    /// Returns addresses with port 0: the daemon binds free ports and reports them.
    fn ephemeral() -> Self {
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            caller: ephemeral,
            operator: ephemeral,
            peer: ephemeral,
        }
    }

    /// Finds free ports for a process, which can't report the ports that it binds. The ports are released
    /// before the process listens; if another program takes one of them, the process exits.
    fn reserve() -> std::io::Result<Self> {
        let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listeners = [bind()?, bind()?, bind()?];
        Ok(Self {
            caller: listeners[0].local_addr()?,
            operator: listeners[1].local_addr()?,
            peer: listeners[2].local_addr()?,
        })
    }
}
