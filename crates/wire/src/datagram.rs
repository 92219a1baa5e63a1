//! Encoding of the datagrams between hosts.
//!
//! Integers have a fixed width, so that the sizes that the membership protocol computes are the sizes
//! on the wire. Datagrams are not encrypted; the documentation of keys says where that is acceptable.

use bincode::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest datagram, in bytes. It must hold a page with one full bucket of the member table.
pub const MAX_BYTES: usize = 16 * 1024;

/// Result of encoding or decoding a datagram.
pub type Result<T, E = bincode::Error> = std::result::Result<T, E>;

/// Encodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is larger than [`MAX_BYTES`].
pub fn encode<T: Serialize>(datagram: &T) -> Result<Vec<u8>> {
    options().serialize(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if `bytes` do not encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    options().deserialize(bytes)
}

/// Returns the encoding. The limit bounds the memory that a forged length can claim.
fn options() -> impl Options {
    bincode::DefaultOptions::new()
        .with_fixint_encoding()
        .with_limit(MAX_BYTES as u64)
}
