//! Idempotency keys of non-idempotent requests.
//!
//! A fenced key is text such as `m1.10.0.0.1~7000.81.5.600000.<MAC>`: the member's address, its
//! start number, a serial number, the expiry in milliseconds on that incarnation's clock, and a
//! MAC that authenticates the key. All characters are valid in URLs and headers; the port follows
//! `~` because `:` would require brackets around IPv6 addresses.

use crate::Time;
use derive_more::Display;
use monsoonring_configuration::id::Incarnation;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// Serial number of a key, unique within its fence.
pub type Serial = u64;

/// Length of the MAC in a key, in bytes.
pub const MAC_BYTES: usize = 16;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Prefix of every key issued by a daemon.
pub const PREFIX: &str = "m1.";
const SEPARATOR: char = '.';
const PORT_SEPARATOR: char = '~';

/// Result of parsing a key.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// It is empty, too long or contains characters other than visible ASCII.
    #[snafu(display("a key is 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
    Text,
    /// It has the prefix of a fenced key but is malformed. It is not treated as a caller's own key:
    /// it may be a truncated copy of a key that ran.
    #[snafu(display("a key starting with {PREFIX} must be one that a daemon issued"))]
    Fenced,
}

/// One incarnation of a daemon; only the holder of the fence may run the keys that name it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{member}/{start}")]
pub struct Fence {
    /// Address for connections from other daemons.
    pub member: SocketAddr,
    /// Start number of the process.
    pub start: Incarnation,
}

/// Key issued by a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fenced {
    /// The incarnation that issued it.
    pub fence: Fence,
    /// Serial number within the fence.
    pub serial: Serial,
    /// Expiry on the fence's clock, in whole milliseconds; the key is not run at or after it.
    pub expiry: Time,
    pub(crate) mac: [u8; MAC_BYTES],
}

/// Key of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Issued by a daemon.
    Fenced(Fenced),
    /// Chosen by the caller; unique per caller.
    Own(Box<str>),
}

impl fmt::Display for Fenced {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let member = self.fence.member;
        write!(formatter, "{PREFIX}{}{PORT_SEPARATOR}", member.ip())?;
        write!(formatter, "{}.{}", member.port(), self.fence.start)?;
        write!(formatter, ".{}.{}.", self.serial, self.expiry.as_millis())?;
        self.mac
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced(fenced) => fenced.fmt(formatter),
            Self::Own(text) => formatter.write_str(text),
        }
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        let length = 1..=MAX_KEY_BYTES;
        ensure!(visible && length.contains(&text.len()), TextSnafu);
        match text.strip_prefix(PREFIX) {
            Some(rest) => parse_fenced(rest).map(Self::Fenced).context(FencedSnafu),
            None => Ok(Self::Own(text.into())),
        }
    }
}

// An IPv4 address contains separators too, so the fields are split from the end.
fn parse_fenced(text: &str) -> Option<Fenced> {
    let mut fields = text.rsplitn(5, SEPARATOR);
    let mac = parse_mac(fields.next()?)?;
    let expiry = Duration::from_millis(fields.next()?.parse().ok()?);
    let serial = fields.next()?.parse().ok()?;
    let start = fields.next()?.parse().ok()?;
    let (ip, port) = fields.next()?.split_once(PORT_SEPARATOR)?;
    let ip: IpAddr = ip.parse().ok()?;
    let member = SocketAddr::new(ip, port.parse().ok()?);
    Some(Fenced {
        fence: Fence { member, start },
        serial,
        expiry,
        mac,
    })
}

fn parse_mac(text: &str) -> Option<[u8; MAC_BYTES]> {
    let mut mac = [0; MAC_BYTES];
    if text.len() != 2 * MAC_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, position) in mac.iter_mut().zip((0..).step_by(2)) {
        *byte = u8::from_str_radix(text.get(position..position + 2)?, 16).ok()?;
    }
    Some(mac)
}
