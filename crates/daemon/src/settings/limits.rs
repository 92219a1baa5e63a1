//! Bounds on what callers can take of the process.

use clap::Args;
use std::time::Duration;

/// Bounds on what callers can take of the process, slow and hostile ones included.
#[derive(Clone, Debug, Args)]
pub struct Limits {
    /// Connections of callers at the same time; one more is refused.
    #[arg(
        long,
        env = "MONSOONRING_MAX_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 4_096
    )]
    pub max_connections: usize,

    /// Connections of other daemons at the same time; one more is closed.
    #[arg(
        long,
        env = "MONSOONRING_MAX_PEER_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 8_192
    )]
    pub max_peer_connections: usize,

    /// Largest request head, in bytes.
    #[arg(
        long,
        env = "MONSOONRING_MAX_HEADER_BYTES",
        value_name = "BYTES",
        default_value_t = 16 * 1_024
    )]
    pub max_header_bytes: usize,

    /// Milliseconds from the first byte of a request head to its last.
    #[arg(
        long,
        env = "MONSOONRING_HEADER_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub header_timeout_ms: u64,

    /// Milliseconds from the end of a request head to the end of its body.
    #[arg(
        long,
        env = "MONSOONRING_BODY_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000
    )]
    pub body_timeout_ms: u64,

    /// Milliseconds that a caller's connection may stay open without a request.
    #[arg(
        long,
        env = "MONSOONRING_IDLE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 60_000
    )]
    pub idle_timeout_ms: u64,

    /// Milliseconds that a caller may leave an answer unread before its connection is closed.
    #[arg(
        long,
        env = "MONSOONRING_WRITE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 10_000
    )]
    pub write_timeout_ms: u64,
}

impl Limits {
    /// Returns the time that a request head may take.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the time that a request body may take.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    /// Returns the time that a connection may stay open without a request.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the time that an answer may stay unread.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}
