//! Parses and validates configuration documents from the service and from peers.
//!
//! A document is identified by the digest of its sections. Texts that differ only in white space or
//! in the order of their lists are the same document, so that publishing an equal document again,
//! or a service that reformats it, causes no change and no conflict.
//!
//! Invariant: the version's digest is the digest of the stored sections. Sections from a peer are
//! verified against the announced digest before they are used.

use crate::service::Configuration;
use monsoonring_configuration::id::Revision;
use monsoonring_configuration::section::{self, Index, Section};
use monsoonring_configuration::{Document, check};
use monsoonring_decision::configuration::{Digest, Version};
use snafu::{ResultExt, Snafu, ensure};
use std::sync::Arc;

/// Reason why a peer's sections are not the announced document.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The parts can't be combined with the local sections.
    #[snafu(display("failed to combine the parts with the local sections: {source}"))]
    Join {
        /// The part or section at fault.
        source: section::Error,
    },
    /// The digest of the sections differs from the version's.
    #[snafu(display("section digest is {found:032x}, expected {expected:032x}"))]
    Digest {
        /// Digest that the peer announced.
        expected: Digest,
        /// Digest of the received sections.
        found: Digest,
    },
}

/// Result of reading a document from a peer.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A parsed document and its sections.
#[derive(Clone, Debug)]
pub(crate) struct LoadedDocument {
    /// Revision and digest, which identify the document.
    pub(crate) version: Version,
    /// The document, or the faults found by validation.
    document: Result<Document, Vec<String>>,
    /// Sections to serve to peers; empty if the text is invalid.
    pub(crate) sections: Arc<[Section]>,
}

impl LoadedDocument {
    /// Parses and validates a text that the service returned with a revision.
    pub(crate) fn from_text(revision: Revision, bytes: &[u8]) -> Self {
        let (digest, document, sections) = match parse(bytes) {
            Ok((document, sections)) => (digest(&sections), Ok(document), sections),
            // An invalid text has no sections; the digest of the text identifies it.
            Err(faults) => (section::Digest::of(bytes).half(), Err(faults), Vec::new()),
        };
        Self {
            version: Version { revision, digest },
            document,
            sections: sections.into(),
        }
    }

    /// Assembles the document of a version from a peer's parts and the `local` sections that the
    /// fetch was based on.
    ///
    /// # Errors
    ///
    /// Fails if the parts can't be combined or if the digest of the sections is not the version's.
    /// A document that this build considers invalid is not an error; see
    /// [`LoadedDocument::faults`].
    pub(crate) fn from_parts(
        version: Version,
        parts: Vec<section::transfer::Part>,
        local: &[Section],
    ) -> Result<Self> {
        let sections = section::transfer::join(parts, local).context(JoinSnafu)?;
        let index = Index::of(&sections);
        let (expected, found) = (version.digest, index.digest().half());
        ensure!(expected == found, DigestSnafu { expected, found });
        Ok(Self {
            version,
            document: section::assemble(&index, &sections).map_err(|error| describe(&error)),
            sections: sections.into(),
        })
    }

    /// Returns the faults found by validation; empty for a valid document.
    pub(crate) fn faults(&self) -> Vec<String> {
        self.document.as_ref().err().cloned().unwrap_or_default()
    }

    /// Returns the configuration, `None` if the document is invalid.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        let document = self.document.as_ref().ok()?.clone();
        Some(Arc::new(Configuration::new(
            self.version.revision,
            document,
        )))
    }
}

fn parse(bytes: &[u8]) -> Result<(Document, Vec<Section>), Vec<String>> {
    let document = check::parse(bytes).map_err(|error| messages(&error))?;
    let sections = section::split(&document).map_err(|error| describe(&error))?;
    Ok((document, sections))
}

fn digest(sections: &[Section]) -> Digest {
    Index::of(sections).digest().half()
}

fn messages(error: &check::Error) -> Vec<String> {
    error.faults.iter().map(ToString::to_string).collect()
}

fn describe(error: &section::Error) -> Vec<String> {
    match error {
        section::Error::Invalid { source } => messages(source),
        error => vec![error.to_string()],
    }
}
