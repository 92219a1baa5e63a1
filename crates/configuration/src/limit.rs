//! Bounds of single fields.
//!
//! They reject obvious mistakes, such as a count instead of a percentage, and values whose sums would
//! overflow. They are not recommendations.

/// Maximum size of a document, in bytes, as the configuration service accepts it.
pub const VALUE_BYTES: usize = 1_000_000;

/// Pattern of names. They need no escaping in a URL path segment or a header, and exclude `.` and
/// `..`.
pub const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._~-]{0,63}$";

/// Pattern of a SHA-256 digest in hexadecimal digits.
pub const SHA256: &str = "^[0-9A-Fa-f]{64}$";

/// Longest deadline, in milliseconds: ten minutes.
pub const DEADLINE_MS: u64 = 600_000;

/// Largest request body, in bytes: 16 MiB.
pub const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Largest budget of hedges or retries, in per cent of the first attempts.
pub const PERCENT: f64 = 100.0;

/// Maximum number of attempts for one range of one request.
pub const ATTEMPTS: u32 = 10;

/// Maximum number of concurrent requests of a backend server.
pub const SLOTS: u32 = 65_536;

/// Maximum number of connections of a backend server.
pub const CONNECTIONS: u32 = 65_536;

/// Largest weight of a group; keeps the sum over all groups finite.
pub const WEIGHT: f64 = 1e12;

/// Maximum number of groups of a route.
pub const GROUPS: usize = 4_096;

/// Maximum number of backend servers of a group.
pub const REPLICAS: usize = 4_096;

/// Maximum number of faults listed for a document. It bounds the memory of a daemon that reads a
/// broken document, which can have a fault for every second byte.
pub const FAULTS: usize = 1_000;
