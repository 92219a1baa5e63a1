//! Stand-ins and real daemons, together on the loopback interface.

mod process;

use crate::caller::Caller;
use crate::scenario::Policy;
use monsoonring_fakes::configuration_service::Service;
use monsoonring_fakes::fleet::{Fleet, Shape};
use monsoonring_fakes::host_list::{self, List};
use process::Process;
use snafu::{ResultExt, Snafu, ensure};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::sleep;

/// Time in which a daemon has to be ready.
const READY_BOUND: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
/// Data centres, given to the daemons in turn.
const DATA_CENTRES: [&str; 4] = ["north", "south", "east", "west"];

/// Result of a deployment.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a deployment did not come up.
#[derive(Debug, Snafu)]
pub enum Error {
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
    /// As processes of the binary at this path.
    Processes(PathBuf),
}

impl Launch {
    /// Returns processes of the binary where a path is given.
    pub fn new(processes: Option<PathBuf>) -> Self {
        Self::Processes(processes.unwrap_or_else(|| PathBuf::from("monsoonringd")))
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
    /// Id of its process, where it has one of its own.
    pub process_id: Option<u32>,
    process: Process,
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
        let fleet = Fleet::start(setup.shapes);
        let service = Service::start();
        let hosts = List::start();
        let mut document = fleet.document();
        setup.policy.apply(&mut document);
        service.publish_document(&document);
        fleet.register(&hosts);
        let addresses = reserve(setup.daemons)?;
        for daemon in &addresses {
            hosts.set(daemon.peer, host_list::State::Live);
        }
        let mut deployment = Self {
            fleet,
            service,
            hosts,
            daemons: Vec::new(),
        };
        let places = DATA_CENTRES.iter().cycle();
        for (daemon, data_centre) in addresses.iter().zip(places) {
            let arguments = deployment.arguments(daemon, data_centre, &setup.policy);
            let daemon = launch(&setup.launch, daemon, arguments)?;
            deployment.daemons.push(daemon);
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
            daemon.process.stop().await;
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
        flags.chain(policy.arguments.iter().cloned()).collect()
    }

    async fn ready(&self) -> Result<()> {
        let caller = Caller::new("experiment".into());
        let polls = READY_BOUND.as_millis() / READY_POLL.as_millis();
        for daemon in &self.daemons {
            let mut is_ready = false;
            for _ in 0..polls {
                is_ready = caller.ready(daemon.caller).await;
                if is_ready {
                    break;
                }
                sleep(READY_POLL).await;
            }
            let daemon = daemon.caller;
            ensure!(is_ready, NotReadySnafu { daemon });
        }
        Ok(())
    }
}

fn launch(launch: &Launch, addresses: &Addresses, arguments: Vec<String>) -> Result<Daemon> {
    let daemon = addresses.caller;
    let process = match launch {
        Launch::Processes(path) => Process::spawn(path, arguments),
    };
    let process = process.context(StartSnafu { daemon })?;
    Ok(Daemon {
        caller: addresses.caller,
        operator: addresses.operator,
        process_id: process.id(),
        process,
    })
}

/// Finds free ports for the daemons. All are held until the last is found, so that none is given
/// twice; they are let go before the daemons listen, which another program could use to take one.
/// The daemon then ends at once, and the run with it.
fn reserve(daemons: usize) -> Result<Vec<Addresses>> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(PortSnafu);
    let mut held = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..daemons {
        let sockets = [bind()?, bind()?, bind()?];
        let address = |place: usize| sockets[place].local_addr().context(PortSnafu);
        addresses.push(Addresses {
            caller: address(0)?,
            operator: address(1)?,
            peer: address(2)?,
        });
        held.push(sockets);
    }
    Ok(addresses)
}
