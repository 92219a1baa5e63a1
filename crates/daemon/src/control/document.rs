//! Documents as they arrive: checked, identified, ready for adoption.

use crate::service::Configuration;
use monsoonring_configuration::id::Revision;
use monsoonring_configuration::{Document, check};
use monsoonring_decision::configuration::{Digest, Version};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// A document with the text that it was read from.
#[derive(Clone, Debug)]
pub(crate) struct Read {
    /// Its identity.
    pub(crate) version: Version,
    /// The document, or the faults found in it.
    pub(crate) document: Result<Document, Vec<String>>,
    /// The text, for peers that ask for it.
    pub(crate) bytes: Vec<u8>,
}

impl Read {
    /// Checks a document that came with a revision.
    pub(crate) fn new(revision: Revision, bytes: Vec<u8>) -> Self {
        let version = Version {
            revision,
            digest: digest(&bytes),
        };
        let document = check::parse(&bytes).map_err(|error| faults(&error));
        Self {
            version,
            document,
            bytes,
        }
    }

    /// Returns the faults, none for a valid document.
    pub(crate) fn faults(&self) -> Vec<String> {
        self.document.as_ref().err().cloned().unwrap_or_default()
    }

    /// Returns the configuration of a valid document.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        let document = self.document.as_ref().ok()?.clone();
        Some(Arc::new(Configuration::new(
            self.version.revision,
            document,
        )))
    }
}

fn faults(error: &check::Error) -> Vec<String> {
    error.faults.iter().map(ToString::to_string).collect()
}

/// Digest of a document's text: two texts that differ only in white space count as different,
/// because an operator published twice.
fn digest(bytes: &[u8]) -> Digest {
    let hash = Sha256::digest(bytes);
    let (half, _) = hash.split_at(size_of::<Digest>());
    half.iter()
        .fold(0, |digest, byte| digest << u8::BITS | Digest::from(*byte))
}
