//! Keys of non-idempotent requests, as callers send them.
//!
//! A fenced key is text such as `m1.10.0.0.1~7000.81.5.600000.<MAC>`: the member's address, its
//! start number, a serial number, the expiry in milliseconds on that incarnation's clock, and a
//! MAC by which the incarnation recognises the keys that it made. Every character may stand in a
//! URL and in a header, therefore `~` and not `:` before the port (IPv6 would need brackets).

use crate::Time;
use derive_more::Display;
use monsoonring_configuration::id::Incarnation;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// Number of a key among those of its fence.
pub type Serial = u64;

/// Bytes of a MAC in a key.
pub const MAC_BYTES: usize = 16;

/// Longest key taken, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// How every issued key starts.
pub const PREFIX: &str = "m1.";
const SEPARATOR: char = '.';
const PORT_SEPARATOR: char = '~';

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// It is empty, too long or holds something other than visible ASCII.
    #[snafu(display("a key is 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
    Text,
    /// It starts like a fenced key and is none: truncated or altered on its way. It is not taken
    /// as a caller's own key, as it may be the remains of one that ran.
    #[snafu(display("a key starting with {PREFIX} must be one that a daemon issued"))]
    Fenced,
}

/// One incarnation of a daemon, as the only one that may run the keys that name it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{member}/{start}")]
pub struct Fence {
    /// Address at which the other daemons reach it.
    pub member: SocketAddr,
    /// Start number of its process.
    pub start: Incarnation,
}

/// Key issued by a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fenced {
    /// The incarnation that issued it.
    pub fence: Fence,
    /// Its number among the keys of the fence.
    pub serial: Serial,
    /// Time on the fence's clock, in whole milliseconds, from which on it is not run.
    pub expiry: Time,
    pub(crate) mac: [u8; MAC_BYTES],
}

/// Key of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Issued by a daemon.
    Fenced(Fenced),
    /// Made by the caller; unique for that caller only.
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

// The address holds separators itself, so the fields are taken from the end.
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
