//! Pre-shared keys with which daemons authenticate each other.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::fmt;
use std::str::FromStr;

/// Length of a key, in bytes.
const LENGTH: usize = 32;

/// Hexadecimal digits of one byte.
const DIGITS: usize = 2;

/// Error of parsing a key. Messages never contain the text, because they are logged.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text has the wrong length.
    #[snafu(display("a key has 64 hexadecimal digits, not {count}"))]
    Length {
        /// Number of characters in the text.
        count: usize,
    },
    /// A character is not a hexadecimal digit.
    #[snafu(display("characters {position} and {} are not both hexadecimal digits", position + 1))]
    Digit {
        /// Position of the first of the two characters, counted from 0.
        position: usize,
        /// Error of the number parser.
        source: std::num::ParseIntError,
    },
    /// The text has a `+` or a character outside ASCII.
    #[snafu(display("a key has only hexadecimal digits"))]
    Ascii,
}

/// Result of parsing a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A secret key of 32 bytes; its `Debug` output omits the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; LENGTH]);

impl Key {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; LENGTH]) -> Self {
        Self(bytes)
    }

    pub(crate) fn bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(…)")
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let count = text.chars().count();
        ensure!(count == LENGTH * DIGITS, LengthSnafu { count });
        ensure!(text.is_ascii(), AsciiSnafu);
        let mut bytes = [0; LENGTH];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let position = index * DIGITS;
            let digits = text.get(position..position + DIGITS).context(AsciiSnafu)?;
            ensure!(!digits.starts_with('+'), AsciiSnafu);
            *byte = u8::from_str_radix(digits, 16).context(DigitSnafu { position })?;
        }
        Ok(Self(bytes))
    }
}

/// Keys that a daemon accepts: one, or two during a key rotation.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// Key that connections are opened with; if `None`, peers are neither authenticated nor encrypted.
    pub current: Option<Key>,
    /// Second key that is accepted from peers during a key rotation.
    pub previous: Option<Key>,
}

impl Ring {
    pub(crate) fn accepted(&self) -> impl Iterator<Item = &Key> {
        self.current.iter().chain(self.previous.iter())
    }
}
