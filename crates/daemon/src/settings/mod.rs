//! Settings of the process, from flags and environment variables.
//!
//! A setting says what this host alone can know: its addresses, its data centre, its keys and the
//! limits that protect it. All that is the same on every host belongs into the configuration
//! document. Each flag has an environment variable, `MONSOONRING_` and the flag's name; the flag
//! wins. Settings are checked as a whole before anything starts, so that a wrong one ends the
//! process at once and not in the middle of the first stop.

mod baseline;
mod check;
mod error;
mod limits;

pub use baseline::Baseline;
pub use error::{Error, Problem, Result};
pub use limits::Limits;
pub use monsoonring_wire::key::Key;

use clap::{Parser, ValueEnum};
use monsoonring_configuration::id::DataCentreId;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

/// Exit code of a process whose settings are wrong.
pub const EXIT_CODE: u8 = 2;

/// Query tier daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "monsoonringd", version, about)]
pub struct Settings {
    /// Address on which callers are served.
    #[arg(long, env = "MONSOONRING_LISTEN", value_name = "IP:PORT")]
    pub listen: SocketAddr,

    /// Address on which operators are served.
    #[arg(long, env = "MONSOONRING_OPERATOR_LISTEN", value_name = "IP:PORT")]
    pub operator_listen: SocketAddr,

    /// Address on which other daemons are served.
    #[arg(long, env = "MONSOONRING_PEER_LISTEN", value_name = "IP:PORT")]
    pub peer_listen: SocketAddr,

    /// Address under which other daemons reach this one; the peer address if absent.
    #[arg(long, env = "MONSOONRING_ADVERTISE", value_name = "IP:PORT")]
    pub advertise: Option<SocketAddr>,

    /// Name of the data centre that this host is in.
    #[arg(long, env = "MONSOONRING_DATA_CENTRE", value_name = "NAME")]
    pub data_centre: DataCentreId,

    /// Address of the configuration service.
    #[arg(
        long,
        env = "MONSOONRING_CONFIGURATION_SERVICE",
        value_name = "IP:PORT"
    )]
    pub configuration_service: SocketAddr,

    /// Address of the host list.
    #[arg(long, env = "MONSOONRING_HOST_LIST", value_name = "IP:PORT")]
    pub host_list: SocketAddr,

    /// Peer addresses of daemons to try before the host list has answered.
    #[arg(
        long,
        env = "MONSOONRING_PEERS",
        value_name = "IP:PORT,…",
        value_delimiter = ','
    )]
    pub peers: Vec<SocketAddr>,

    /// Key between daemons, 64 hexadecimal digits; better given in the environment, since flags
    /// are seen by everyone on the host.
    #[arg(
        long,
        env = "MONSOONRING_KEY",
        value_name = "HEX",
        hide_env_values = true
    )]
    pub key: Option<Key>,

    /// A further key that is accepted, the next or the previous one, 64 hexadecimal digits.
    #[arg(
        long,
        env = "MONSOONRING_PREVIOUS_KEY",
        value_name = "HEX",
        hide_env_values = true
    )]
    pub previous_key: Option<Key>,

    /// Milliseconds between "not ready" and the end of accepting in a planned stop.
    #[arg(
        long,
        env = "MONSOONRING_DRAIN_WAIT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub drain_wait_ms: u64,

    /// Milliseconds after which a planned stop cuts off what is still in flight.
    #[arg(
        long,
        env = "MONSOONRING_STOP_BOUND_MS",
        value_name = "MS",
        default_value_t = 60_000
    )]
    pub stop_bound_ms: u64,

    /// Bounds on what callers can take of the process.
    #[command(flatten)]
    pub limits: Limits,

    /// Decisions that are replaced for a measurement.
    #[command(flatten)]
    pub baseline: Baseline,

    /// Form of the log lines.
    #[arg(
        long,
        env = "MONSOONRING_LOG_FORMAT",
        value_enum,
        default_value = "json"
    )]
    pub log_format: LogFormat,

    /// Least severe level that is logged.
    #[arg(
        long,
        env = "MONSOONRING_LOG_LEVEL",
        value_enum,
        default_value = "info"
    )]
    pub log_level: LogLevel,

    /// Seed of the random choices, for tests; from the operating system if absent.
    #[arg(long, env = "MONSOONRING_SEED", value_name = "NUMBER")]
    pub seed: Option<u64>,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For a person at a terminal.
    Text,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Something failed that should not.
    Error,
    /// Something failed that the daemon copes with.
    Warning,
    /// Each request, each decision, starts and stops.
    Info,
    /// Ends of connections and other detail.
    Debug,
}

impl Settings {
    /// Reads the settings from the arguments, the first of which is the program's name, and the
    /// environment, and checks them.
    ///
    /// # Errors
    ///
    /// Every setting that is missing or wrong, by flag and variable; or the text that was asked
    /// for by `--help` or `--version`.
    pub fn read<I, T>(arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let settings = Self::try_parse_from(arguments).map_err(|source| error::parsed(&source))?;
        check::check(&settings)?;
        Ok(settings)
    }

    /// Returns the address under which other daemons reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer_listen)
    }

    /// Returns the time between "not ready" and the end of accepting.
    pub fn drain_wait(&self) -> Duration {
        Duration::from_millis(self.drain_wait_ms)
    }

    /// Returns the time that a planned stop takes at most.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_bound_ms)
    }
}
