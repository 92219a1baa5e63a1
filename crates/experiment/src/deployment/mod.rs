//! Stand-ins and real daemons, together on the loopback interface.

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

/// Time in which a daemon has to be ready.
const READY_BOUND: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
/// Starts of a daemon, each on other ports, before it is given up.
const STARTS: usize = 5;
/// Secret that the daemons of an experiment share; it protects nothing.
const KEY: &str = "5f1d0c7a93b24e6880aa41c3e97f2b6d5f1d0c7a93b24e6880aa41c3e97f2b6d";
/// Data centres, given to the daemons in turn.
const DATA_CENTRES: [&str; 4] = ["north", "south", "east", "west"];

/// Result of a deployment.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a deployment did not come up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The daemons would reject the document.
    #[snafu(display("check the document: {source}"))]
    Document {
        /// What is wrong with it.
        source: check::Error,
    },
    /// No free port was to be had.
    #[snafu(display("find a free port: {source}"))]
    Port {
        /// What went wrong.
        source: std::io::Error,
    },
    /// A daemon could not be started.
    #[snafu(display("start the daemon {daemon}: {source}"))]
    Start {
        /// Its caller address.
        daemon: SocketAddr,
        /// What went wrong.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A daemon was not ready in time.
    #[snafu(display("wait for the daemon {daemon}: not ready within {} s", READY_BOUND.as_secs()))]
    NotReady {
        /// Its caller address.
        daemon: SocketAddr,
    },
}

/// How daemons are started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Launch {
    /// Inside this process, each in a runtime of its own.
    Threads,
    /// As processes of the binary at this path.
    Processes(PathBuf),
}

impl Launch {
    /// Returns processes of the binary where a path is given, else threads.
    pub fn new(processes: Option<PathBuf>) -> Self {
        processes.map_or(Self::Threads, Self::Processes)
    }
}

/// What is to be started.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The routes with their backend servers.
    pub shapes: Vec<Shape>,
    /// The policy that is written into the document.
    pub policy: Policy,
    /// Number of daemons.
    pub daemons: usize,
    /// How they are started.
    pub launch: Launch,
}

/// The addresses of one daemon.
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
    /// Id of its process, where it has one of its own.
    pub process_id: Option<u32>,
    life: Life,
}

/// What a daemon lives in.
#[derive(Debug)]
enum Life {
    Thread(Thread),
    Process(Process),
}

/// Stand-ins and daemons that run.
pub struct Deployment {
    /// The backend servers.
    pub fleet: Fleet,
    /// The configuration service.
    pub service: Service,
    /// The host list.
    pub hosts: List,
    /// The daemons.
    pub daemons: Vec<Daemon>,
}

impl Deployment {
    /// Starts everything and waits until each daemon is ready.
    ///
    /// # Errors
    ///
    /// [`Error`] where a daemon did not start or was not ready in time.
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
        deployment.ready().await?;
        Ok(deployment)
    }

    /// Returns the caller addresses of the daemons.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.caller).collect()
    }

    /// Stops the daemons and then the stand-ins.
    pub async fn stop(self) {
        for daemon in self.daemons {
            match daemon.life {
                Life::Thread(thread) => thread.stop().await,
                Life::Process(process) => process.stop().await,
            }
        }
    }

    async fn add(&mut self, setup: &Setup, data_centre: &str) -> Result<()> {
        let (addresses, life) = self.begin(setup, data_centre).await?;
        self.hosts.set(addresses.peer, host_list::State::Live);
        self.daemons.push(Daemon {
            caller: addresses.caller,
            operator: addresses.operator,
            peer: addresses.peer,
            process_id: match &life {
                Life::Thread(_) => None,
                Life::Process(process) => process.id(),
            },
            life,
        });
        Ok(())
    }

    /// Starts a daemon, on other ports where one of its ports was taken meanwhile.
    async fn begin(&self, setup: &Setup, data_centre: &str) -> Result<(Addresses, Life)> {
        let mut left = STARTS;
        loop {
            left -= 1;
            let addresses = match setup.launch {
                Launch::Threads => Addresses::any(),
                Launch::Processes(_) => Addresses::reserve().context(PortSnafu)?,
            };
            let arguments = self.arguments(&addresses, data_centre, &setup.policy);
            let daemon = addresses.caller;
            match start(&setup.launch, addresses, arguments).await {
                Err(source) if left > 0 && source.is::<process::Ended>() => {}
                started => return started.context(StartSnafu { daemon }),
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

    /// Waits until each daemon is ready and knows all the others. Before that the homes of the routes
    /// still change, and a measurement would be one of the start.
    async fn ready(&self) -> Result<()> {
        let caller = Caller::new("experiment".into());
        for daemon in &self.daemons {
            let is_ready = async {
                while !caller.ready(daemon.caller).await
                    || caller.members(daemon.operator).await != Some(self.daemons.len())
                {
                    sleep(READY_POLL).await;
                }
            };
            let in_time = timeout(READY_BOUND, is_ready).await.is_ok();
            let daemon = daemon.caller;
            ensure!(in_time, NotReadySnafu { daemon });
        }
        Ok(())
    }
}

type Started = Result<(Addresses, Life), Box<dyn std::error::Error + Send + Sync>>;

async fn start(launch: &Launch, addresses: Addresses, arguments: Vec<String>) -> Started {
    match launch {
        Launch::Threads => {
            let (addresses, thread) = Thread::spawn(arguments).await?;
            Ok((addresses, Life::Thread(thread)))
        }
        Launch::Processes(path) => {
            let mut process = Process::spawn(path, arguments)?;
            process.serves(&addresses).await?;
            Ok((addresses, Life::Process(process)))
        }
    }
}

impl Addresses {
    /// Any free ports, which the daemon finds and tells.
    fn any() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            caller: any,
            operator: any,
            peer: any,
        }
    }

    /// Free ports for a process, which can't tell them. They are let go before it listens; if another
    /// program takes one meanwhile, the daemon ends at once.
    fn reserve() -> std::io::Result<Self> {
        let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let held = [bind()?, bind()?, bind()?];
        Ok(Self {
            caller: held[0].local_addr()?,
            operator: held[1].local_addr()?,
            peer: held[2].local_addr()?,
        })
    }
}
