//! Keys that daemons prove to each other that they hold.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::fmt;
use std::str::FromStr;

/// Length of a key, in bytes.
const LENGTH: usize = 32;

/// Text digits of one byte.
const DIGITS: usize = 2;

/// Why a text is no key. The text itself is never part of the message, as that goes to the log.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is too short or too long.
    #[snafu(display("a key has 64 hexadecimal digits, not {count}"))]
    Length {
        /// Number of characters in the text.
        count: usize,
    },
    /// A character is not a hexadecimal digit.
    #[snafu(display("characters {position} and {} are not both hexadecimal digits", position + 1))]
    Digit {
        /// Position of the first of the two characters, from 0.
        position: usize,
        /// What the standard library says.
        source: std::num::ParseIntError,
    },
    /// The text has characters outside ASCII.
    #[snafu(display("a key has only hexadecimal digits"))]
    Ascii,
}

/// Result of reading a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A secret of 32 bytes. Its debug form hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; LENGTH]);

impl Key {
    /// Makes a key of its bytes.
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

/// The keys that a daemon takes: one, or two while the operators change it.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// The key that connections are opened with; without it nothing is checked or sealed.
    pub current: Option<Key>,
    /// A further key that is accepted from others.
    pub previous: Option<Key>,
}

impl Ring {
    pub(crate) fn accepted(&self) -> impl Iterator<Item = &Key> {
        self.current.iter().chain(self.previous.iter())
    }
}
