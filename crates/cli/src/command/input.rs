//! Reads files, standard input and request bodies.

use snafu::{ResultExt, Snafu};
use std::io::Read;

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Result of reading input.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of reading input.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The file or standard input could not be read.
    #[snafu(display("read {name}: {source}"))]
    Read {
        /// File name, or a name for standard input.
        name: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The body of a request is not valid JSON.
    #[snafu(display("the body is not valid JSON: {source}"))]
    Json {
        /// The parse error, with its position.
        source: serde_json::Error,
    },
}

/// Reads a file, or standard input for `-`.
///
/// # Errors
///
/// Returns [`Error::Read`] if it cannot be read.
pub(crate) fn file(name: &str) -> Result<Vec<u8>> {
    if name != STANDARD_INPUT {
        return std::fs::read(name).context(ReadSnafu { name });
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .context(ReadSnafu {
            name: "standard input",
        })?;
    Ok(bytes)
}

/// Returns the body of a request: the argument itself, or standard input for `-`.
///
/// # Errors
///
/// Returns [`Error`] if it cannot be read or is not valid JSON.
pub(crate) fn body(argument: &str) -> Result<String> {
    let bytes = if argument == STANDARD_INPUT {
        file(argument)?
    } else {
        argument.as_bytes().to_vec()
    };
    let value: &serde_json::value::RawValue = serde_json::from_slice(&bytes).context(JsonSnafu)?;
    Ok(value.get().to_owned())
}
