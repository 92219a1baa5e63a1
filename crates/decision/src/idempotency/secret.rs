//! Authentication of issued keys with an HMAC under the secret of an incarnation.
//!
//! A key without a record is run, so forged keys must be rejected. The MAC also covers caller and
//! route: another caller can't use the key to read the outcome, and the key is invalid on other
//! routes.

use super::key::{Fence, Fenced, MAC_BYTES, Serial};
use crate::Time;
use hmac::digest::KeyInit;
use hmac::{Hmac, Mac};
use monsoonring_configuration::id::{CallerId, RouteId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Random bytes known only to the holder of a fence.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Secret([u8; 32]);

impl From<[u8; 32]> for Secret {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// The caller and the route for which a key is issued.
#[derive(Clone, Copy)]
pub(crate) struct Scope<'a> {
    pub(crate) caller: &'a CallerId,
    pub(crate) route: &'a RouteId,
}

impl Secret {
    pub(crate) fn issue(&self, fence: Fence, serial: Serial, expiry: Time, scope: Scope) -> Fenced {
        let mut key = Fenced {
            fence,
            serial,
            expiry,
            mac: [0; MAC_BYTES],
        };
        if let Some(mac) = self.mac(&key, scope) {
            let bytes = mac.finalize().into_bytes();
            key.mac.copy_from_slice(&bytes[..MAC_BYTES]);
        }
        key
    }

    /// Returns whether the key was issued with this secret for this scope, in constant time.
    pub(crate) fn has_issued(&self, key: &Fenced, scope: Scope) -> bool {
        self.mac(key, scope)
            .is_some_and(|mac| mac.verify_truncated_left(&key.mac).is_ok())
    }

    fn mac(&self, key: &Fenced, scope: Scope) -> Option<Hmac<Sha256>> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0).ok()?;
        mac.update(&key.serial.to_be_bytes());
        mac.update(&key.expiry.as_millis().to_be_bytes());
        mac.update(&key.fence.start.to_be_bytes());
        for text in [&*key.fence.member.to_string(), scope.caller, scope.route] {
            mac.update(&text.len().to_be_bytes());
            mac.update(text.as_bytes());
        }
        Some(mac)
    }
}
