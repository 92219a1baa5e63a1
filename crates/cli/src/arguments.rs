//! The command line.

use crate::exit;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an exchange with a daemon may take beyond the deadline of the request.
const MARGIN: Duration = Duration::from_secs(2);
/// Time that an exchange may take where the request names no deadline.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Checks configurations, sends requests as a caller would, and shows what the daemons do.
#[derive(Debug, Parser)]
#[command(name = "monsoonring", version, after_help = exit::HELP)]
pub(crate) struct Arguments {
    /// Write JSON for scripts in place of text for people.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a configuration document, and show what it would change.
    #[command(after_help = exit::HELP)]
    Check(Check),
    /// Send a search to a daemon.
    #[command(after_help = exit::HELP)]
    Query(Query),
    /// Send a non-idempotent request to a daemon; it runs at most once.
    #[command(after_help = exit::HELP)]
    Execute(Execute),
    /// Show the revision in force, the members and the leaving backend servers of daemons.
    #[command(after_help = exit::HELP)]
    Status(Status),
    /// Show the decisions on a request, or on a backend server of a route.
    #[command(after_help = exit::HELP)]
    Explain(Explain),
}

#[derive(Debug, Args)]
pub(crate) struct Check {
    /// The document, or `-` for the standard input.
    pub(crate) file: String,
    /// The document now in force, to show the difference to it.
    #[arg(long, value_name = "OTHER")]
    pub(crate) against: Option<String>,
    /// Check a configuration as it is published in the store of the users' platform.
    #[arg(long, conflicts_with = "against")]
    pub(crate) platform: bool,
}

/// Who asks which daemon, and for how long.
#[derive(Clone, Debug, Args)]
pub(crate) struct Caller {
    /// The address on which a daemon takes requests.
    #[arg(long, value_name = "ADDR", env = "MONSOONRING_DAEMON")]
    pub(crate) daemon: SocketAddr,
    /// The caller's name.
    #[arg(long = "caller", value_name = "NAME", env = "MONSOONRING_CALLER")]
    pub(crate) name: String,
    /// The caller's bearer token, where it has one.
    #[arg(long, env = "MONSOONRING_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// Time that remains for the request, in milliseconds; the route's deadline if absent.
    #[arg(long, value_name = "MS")]
    pub(crate) deadline_ms: Option<u64>,
}

impl Caller {
    /// Returns the time after which no answer is expected any more.
    pub(crate) fn timeout(&self) -> Duration {
        let remaining = self.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        Duration::from_millis(remaining).saturating_add(MARGIN)
    }
}

#[derive(Debug, Args)]
pub(crate) struct Query {
    #[command(flatten)]
    pub(crate) caller: Caller,
    /// Name of the route.
    pub(crate) route: String,
    /// The search, JSON text, or `-` for the standard input.
    pub(crate) body: String,
}

#[derive(Debug, Args)]
pub(crate) struct Execute {
    #[command(flatten)]
    pub(crate) caller: Caller,
    /// Key of the request; one is fetched from the daemon if absent. Send a request again with the
    /// key of its first send, or it may run twice.
    #[arg(long, value_name = "KEY")]
    pub(crate) idempotency_key: Option<String>,
    /// Number of the send, from 1, where the key is the caller's own.
    #[arg(long, value_name = "N", requires = "idempotency_key")]
    pub(crate) send: Option<u64>,
    /// Name of the route.
    pub(crate) route: String,
    /// The request, JSON text, or `-` for the standard input.
    pub(crate) body: String,
}

#[derive(Debug, Args)]
pub(crate) struct Status {
    /// The operator address of a daemon; may be given several times.
    #[arg(long = "daemon", value_name = "ADDR", required = true)]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Time to wait for each daemon, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 2_000)]
    pub(crate) timeout_ms: u64,
}

#[derive(Debug, Args)]
pub(crate) struct Explain {
    /// The operator address of a daemon; may be given several times.
    #[arg(
        long = "daemon",
        value_name = "ADDR",
        required_unless_present = "logs",
        conflicts_with = "logs"
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Id of the request, 32 hexadecimal digits; with `--log` also the id that its client gave it.
    #[arg(
        long,
        value_name = "ID",
        required_unless_present = "route",
        conflicts_with = "route"
    )]
    pub(crate) request: Option<String>,
    /// The log of a daemon in place of the daemon, or `-` for the standard input; may be given
    /// several times.
    #[arg(long = "log", value_name = "FILE", requires = "request")]
    pub(crate) logs: Vec<String>,
    /// Name of the route.
    #[arg(long, value_name = "NAME", requires = "backend_server")]
    pub(crate) route: Option<String>,
    /// Address of a backend server of the route.
    #[arg(long, value_name = "ADDR", requires = "route")]
    pub(crate) backend_server: Option<SocketAddr>,
    /// Time to wait for each daemon, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 2_000)]
    pub(crate) timeout_ms: u64,
}
