//! Keys that daemons prove to each other that they hold.

use snafu::{OptionExt, Snafu, ensure};
use std::fmt;
use std::str::FromStr;

/// Length of a key in bytes.
pub const KEY_BYTES: usize = 32;

/// Number of hexadecimal digits that write a byte.
const DIGITS_PER_BYTE: usize = 2;

/// Why a text is no key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The length is wrong.
    #[snafu(display("a key has {} hexadecimal digits, this one {digits}", KEY_BYTES * DIGITS_PER_BYTE))]
    Length {
        /// Number of characters found.
        digits: usize,
    },
    /// A character is no hexadecimal digit.
    #[snafu(display("a key has hexadecimal digits only"))]
    Digit,
}

/// Result of reading a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A secret that all daemons of a deployment share. It never shows in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Makes a key of its bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    pub(crate) fn bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(..)")
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.len();
        ensure!(
            digits == KEY_BYTES * DIGITS_PER_BYTE,
            LengthSnafu { digits }
        );
        let mut bytes = [0; KEY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let start = index * DIGITS_PER_BYTE;
            let pair = text
                .get(start..start + DIGITS_PER_BYTE)
                .context(DigitSnafu)?;
            *byte = u8::from_str_radix(pair, 16).ok().context(DigitSnafu)?;
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
