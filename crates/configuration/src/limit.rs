//! Bounds of single fields.
//!
//! They are wide: they keep out a slip of the hand (seconds for milliseconds, a count for a per
//! cent), and values that would overflow where they are added up. They aren't recommendations.

/// Largest value that the configuration service holds, in bytes.
pub const VALUE_BYTES: usize = 1_000_000;

/// Names that fit one segment of a URL path and a header as they are, without `.` and `..`.
pub const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._~-]{0,63}$";

/// A SHA-256 digest in hexadecimal digits.
pub const SHA256: &str = "^[0-9A-Fa-f]{64}$";

/// Longest deadline: ten minutes, in milliseconds.
pub const DEADLINE_MS: u64 = 600_000;

/// Largest request body: 16 MiB, in bytes.
pub const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Largest budget of extra attempts, in per cent of the first attempts.
pub const PERCENT: f64 = 100.0;

/// Most attempts for one range of one request.
pub const ATTEMPTS: u32 = 10;

/// Most requests that a backend server works on at the same time.
pub const SLOTS: u32 = 65_536;

/// Most connections that a backend server accepts.
pub const CONNECTIONS: u32 = 65_536;

/// Largest weight of a group; the sum over all groups stays finite.
pub const WEIGHT: f64 = 1e12;

/// Most groups of a route.
pub const GROUPS: usize = 4_096;

/// Most backend servers of a group.
pub const REPLICAS: usize = 4_096;

/// Most faults that are listed of one document. A broken file can have one for every other of its
/// bytes; listed all, a daemon that reads it would take a gigabyte.
pub const FAULTS: usize = 1_000;
