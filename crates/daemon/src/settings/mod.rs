//! Command-line flags and environment variables of the daemon.
//!
//! Settings are specific to a host: its addresses, data centre, keys and resource limits. Everything
//! that all hosts share belongs in the configuration document. Each flag has an environment variable,
//! `MONSOONRING_` followed by the flag's name; the flag takes precedence. All settings are validated
//! before the daemon starts.

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

/// Exit code of the process if the settings are invalid.
pub const EXIT_CODE: u8 = 2;

const BYTES_PER_MIB: usize = 1024 * 1024;

/// Query tier daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "monsoonringd", version, about)]
pub struct Settings {
    /// Address to listen on for callers.
    #[arg(long, env = "MONSOONRING_LISTEN", value_name = "IP:PORT")]
    pub listen: SocketAddr,

    /// Address to listen on for operators.
    #[arg(long, env = "MONSOONRING_OPERATOR_LISTEN", value_name = "IP:PORT")]
    pub operator_listen: SocketAddr,

    /// Address to listen on for other daemons.
    #[arg(long, env = "MONSOONRING_PEER_LISTEN", value_name = "IP:PORT")]
    pub peer_listen: SocketAddr,

    /// Address at which other daemons reach this one; defaults to the peer address.
    #[arg(long, env = "MONSOONRING_ADVERTISE", value_name = "IP:PORT")]
    pub advertise: Option<SocketAddr>,

    /// Name of this host's data centre.
    #[arg(long, env = "MONSOONRING_DATA_CENTRE", value_name = "NAME")]
    pub data_centre: DataCentreId,

    /// Address of the configuration service.
    #[arg(
        long,
        env = "MONSOONRING_CONFIGURATION_SERVICE",
        value_name = "IP:PORT"
    )]
    pub configuration_service: SocketAddr,

    /// Address of the host list service.
    #[arg(long, env = "MONSOONRING_HOST_LIST", value_name = "IP:PORT")]
    pub host_list: SocketAddr,

    /// Peer addresses of daemons to contact before the host list has been read.
    #[arg(
        long,
        env = "MONSOONRING_PEERS",
        value_name = "IP:PORT,…",
        value_delimiter = ','
    )]
    pub peers: Vec<SocketAddr>,

    /// Key shared by the daemons, 64 hexadecimal digits; prefer the environment variable, because
    /// other users of the host can see flags.
    #[arg(
        long,
        env = "MONSOONRING_KEY",
        value_name = "HEX",
        hide_env_values = true
    )]
    pub key: Option<Key>,

    /// Additional key to accept while keys are rotated, 64 hexadecimal digits.
    #[arg(
        long,
        env = "MONSOONRING_PREVIOUS_KEY",
        value_name = "HEX",
        hide_env_values = true
    )]
    pub previous_key: Option<Key>,

    /// Time during a planned stop between reporting "not ready" and closing the listeners, in
    /// milliseconds.
    #[arg(
        long,
        env = "MONSOONRING_DRAIN_WAIT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub drain_wait_ms: u64,

    /// Time after which a planned stop cancels the requests still in flight, in milliseconds.
    #[arg(
        long,
        env = "MONSOONRING_STOP_BOUND_MS",
        value_name = "MS",
        default_value_t = 60_000
    )]
    pub stop_bound_ms: u64,

    /// Memory limit of the process, in MiB. Requests of callers may take an eighth of it, and answers a quarter; without
    /// a limit they take 128 MiB and 256 MiB at most.
    #[arg(long, env = "MONSOONRING_MEMORY_LIMIT_MIB", value_name = "MIB")]
    pub memory_limit_mib: Option<usize>,

    /// Limits on the resources that clients can use.
    #[command(flatten)]
    pub limits: Limits,

    /// Baseline policies for experiments.
    #[command(flatten)]
    pub baseline: Baseline,

    /// Format of the log lines.
    #[arg(
        long,
        env = "MONSOONRING_LOG_FORMAT",
        value_enum,
        default_value = "json"
    )]
    pub log_format: LogFormat,

    /// Minimum severity of logged events.
    #[arg(
        long,
        env = "MONSOONRING_LOG_LEVEL",
        value_enum,
        default_value = "info"
    )]
    pub log_level: LogLevel,

    /// Seed of the random number generator, for tests; defaults to entropy of the operating system.
    #[arg(long, env = "MONSOONRING_SEED", value_name = "NUMBER")]
    pub seed: Option<u64>,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Minimum severity of logged events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Unexpected failures.
    Error,
    /// Failures that the daemon recovers from.
    Warning,
    /// Each request and decision, and starts and stops of the daemon.
    Info,
    /// Closed connections and other details.
    Debug,
}

impl Settings {
    /// Reads and validates the settings from the environment and the arguments, the first of which is
    /// the program's name.
    ///
    /// # Errors
    ///
    /// Returns all missing or invalid settings, or the text for `--help` or `--version`.
    pub fn read<I, T>(arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let settings =
            Self::try_parse_from(arguments).map_err(|source| error::from_clap(&source))?;
        check::check(&settings)?;
        Ok(settings)
    }

    /// Returns the address at which other daemons reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer_listen)
    }

    /// Returns the memory limit of the process, in bytes.
    pub fn memory_limit(&self) -> Option<usize> {
        let mib = self.memory_limit_mib?;
        Some(mib.saturating_mul(BYTES_PER_MIB))
    }

    /// Returns the time between reporting "not ready" and closing the listeners.
    pub fn drain_wait(&self) -> Duration {
        Duration::from_millis(self.drain_wait_ms)
    }

    /// Returns the time after which a planned stop cancels the requests still in flight.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_bound_ms)
    }
}
