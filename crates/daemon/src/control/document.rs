//! Documents as they arrive: checked, identified, ready for adoption.
//!
//! A document's identity is the digest over its sections wherever it came from, so that two texts
//! which differ only in white space or in the order of their lists are one document: an operator who
//! publishes the same again, or a service that writes it out anew, causes no change and no conflict.
//!
//! Invariant: the digest of the version is that of the sections that are kept. What a peer sent is
//! held against what the peers announced before anything of it is used.

use crate::service::Configuration;
use monsoonring_configuration::id::Revision;
use monsoonring_configuration::section::{self, Index, Section};
use monsoonring_configuration::{Document, check};
use monsoonring_decision::configuration::{Digest, Version};
use snafu::{ResultExt, Snafu, ensure};
use std::sync::Arc;

/// Why what a peer sent is not the document that it announced.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The parts don't fit what is held here.
    #[snafu(display("joining the parts: {source}"))]
    Join {
        /// What does not fit.
        source: section::Error,
    },
    /// The sections are others than those of the version.
    #[snafu(display("the sections have the digest {found:032x} and should have {expected:032x}"))]
    Digest {
        /// What was announced.
        expected: Digest,
        /// What came.
        found: Digest,
    },
}

/// Result of taking a document from a peer.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A document with the sections that it was read from.
#[derive(Clone, Debug)]
pub(crate) struct LoadedDocument {
    /// Its identity.
    pub(crate) version: Version,
    /// The document, or the faults found in it.
    document: Result<Document, Vec<String>>,
    /// Its sections, for peers that ask for them; none of a faulty text.
    pub(crate) sections: Arc<[Section]>,
}

impl LoadedDocument {
    /// Checks a text that the service gave with a revision.
    pub(crate) fn from_text(revision: Revision, bytes: &[u8]) -> Self {
        let (digest, document, sections) = match parse(bytes) {
            Ok((document, sections)) => (digest(&sections), Ok(document), sections),
            // A faulty text has no sections. Its own digest tells it from the next one.
            Err(faults) => (section::Digest::of(bytes).half(), Err(faults), Vec::new()),
        };
        Self {
            version: Version { revision, digest },
            document,
            sections: sections.into(),
        }
    }

    /// Takes the parts that a peer sent as those of a version, given the sections held when it was
    /// asked.
    ///
    /// # Errors
    ///
    /// Fails if the sections are not those of the version. Sections that are, but are no valid
    /// document for this build, are no error: they are faults of that version.
    pub(crate) fn from_parts(
        version: Version,
        parts: Vec<section::transfer::Part>,
        held: &[Section],
    ) -> Result<Self> {
        let sections = section::transfer::join(parts, held).context(JoinSnafu)?;
        let index = Index::of(&sections);
        let (expected, found) = (version.digest, index.digest().half());
        ensure!(expected == found, DigestSnafu { expected, found });
        Ok(Self {
            version,
            document: section::assemble(&index, &sections).map_err(|error| describe(&error)),
            sections: sections.into(),
        })
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
