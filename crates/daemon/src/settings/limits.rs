//! Limits on the resources that clients can use.

use clap::Args;
use std::time::Duration;

/// Limits on connections, request sizes and times, which protect the daemon from slow or hostile
/// clients.
#[derive(Clone, Debug, Args)]
pub struct Limits {
    /// Maximum number of concurrent connections of callers; further ones are refused.
    #[arg(
        long,
        env = "MONSOONRING_MAX_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 4_096
    )]
    pub max_connections: usize,

    /// Maximum number of concurrent connections of other daemons; further ones are closed.
    #[arg(
        long,
        env = "MONSOONRING_MAX_PEER_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 8_192
    )]
    pub max_peer_connections: usize,

    /// Maximum size of a request head, in bytes.
    #[arg(
        long,
        env = "MONSOONRING_MAX_HEADER_BYTES",
        value_name = "BYTES",
        default_value_t = 16 * 1_024
    )]
    pub max_header_bytes: usize,

    /// Time limit for receiving a request head, in milliseconds from its first byte.
    #[arg(
        long,
        env = "MONSOONRING_HEADER_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub header_timeout_ms: u64,

    /// Time limit for receiving a request body, in milliseconds from the end of the head.
    #[arg(
        long,
        env = "MONSOONRING_BODY_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub body_timeout_ms: u64,

    /// Time after which an idle connection of a caller is closed, in milliseconds.
    #[arg(
        long,
        env = "MONSOONRING_IDLE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 60_000
    )]
    pub idle_timeout_ms: u64,

    /// Time after which a connection is closed if the caller does not read the answer, in
    /// milliseconds.
    #[arg(
        long,
        env = "MONSOONRING_WRITE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 10_000
    )]
    pub write_timeout_ms: u64,
}

impl Limits {
    /// Returns the time limit for receiving a request head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the time limit for receiving a request body.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    /// Returns the time after which an idle connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the time after which a connection with an unread answer is closed.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}
