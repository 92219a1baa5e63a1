//! Command-line arguments.

use crate::exit;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an exchange with a daemon may take beyond the request's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Deadline assumed for the exchange's timeout if the request has none.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Checks configurations, sends requests as a caller would, and shows what the daemons do.
#[derive(Debug, Parser)]
#[command(name = "monsoonring", version, after_help = exit::HELP)]
pub(crate) struct Arguments {
    /// Write JSON instead of text.
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
    /// File with the document, or `-` for standard input.
    pub(crate) file: String,
    /// The document in force; shows what the checked document would change in it.
    #[arg(long, value_name = "OTHER")]
    pub(crate) against: Option<String>,
    /// Check a configuration in the format that the users' platform publishes in its store.
    #[arg(long, conflicts_with = "against")]
    pub(crate) platform: bool,
}

/// Daemon that receives a request, and the caller that the request is sent as.
#[derive(Clone, Debug, Args)]
pub(crate) struct Caller {
    /// Address on which the daemon serves requests.
    #[arg(long, value_name = "ADDR", env = "MONSOONRING_DAEMON")]
    pub(crate) daemon: SocketAddr,
    /// Name of the caller.
    #[arg(long = "caller", value_name = "NAME", env = "MONSOONRING_CALLER")]
    pub(crate) name: String,
    /// Bearer token of the caller, if it has one.
    #[arg(long, env = "MONSOONRING_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// Deadline of the request, in milliseconds from now; the route's deadline if absent.
    #[arg(long, value_name = "MS")]
    pub(crate) deadline_ms: Option<u64>,
}

impl Caller {
    /// Returns the timeout of one exchange: the request's deadline and a margin.
    pub(crate) fn timeout(&self) -> Duration {
        let remaining = self.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        Duration::from_millis(remaining).saturating_add(DEADLINE_MARGIN)
    }
}

#[derive(Debug, Args)]
pub(crate) struct Query {
    #[command(flatten)]
    pub(crate) caller: Caller,
    /// Name of the route.
    pub(crate) route: String,
    /// The search as JSON text, or `-` for standard input.
    pub(crate) body: String,
}

#[derive(Debug, Args)]
pub(crate) struct Execute {
    #[command(flatten)]
    pub(crate) caller: Caller,
    /// Idempotency key of the request; fetched from the daemon if absent. Retry a request with the
    /// key of its first send, or it may run twice.
    #[arg(long, value_name = "KEY")]
    pub(crate) idempotency_key: Option<String>,
    /// Number of this send, from 1, if the caller chose the key itself.
    #[arg(long, value_name = "N", requires = "idempotency_key")]
    pub(crate) send: Option<u64>,
    /// Name of the route.
    pub(crate) route: String,
    /// The request as JSON text, or `-` for standard input.
    pub(crate) body: String,
}

#[derive(Debug, Args)]
pub(crate) struct Status {
    /// Operator address of a daemon; may be given several times.
    #[arg(long = "daemon", value_name = "ADDR", required = true)]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Timeout for each daemon, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 2_000)]
    pub(crate) timeout_ms: u64,
}

#[derive(Debug, Args)]
pub(crate) struct Explain {
    /// Operator address of a daemon; may be given several times.
    #[arg(
        long = "daemon",
        value_name = "ADDR",
        required_unless_present = "logs",
        conflicts_with = "logs"
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Id of the request, 32 hexadecimal digits; with `--log`, the client's own id also works.
    #[arg(
        long,
        value_name = "ID",
        required_unless_present = "route",
        conflicts_with = "route"
    )]
    pub(crate) request: Option<String>,
    /// Log file of a daemon to read instead of asking a daemon, or `-` for standard input; may be
    /// given several times.
    #[arg(long = "log", value_name = "FILE", requires = "request")]
    pub(crate) logs: Vec<String>,
    /// Name of the route.
    #[arg(long, value_name = "NAME", requires = "backend_server")]
    pub(crate) route: Option<String>,
    /// Address of a backend server of the route.
    #[arg(long, value_name = "ADDR", requires = "route")]
    pub(crate) backend_server: Option<SocketAddr>,
    /// Timeout for each daemon, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 2_000)]
    pub(crate) timeout_ms: u64,
}
