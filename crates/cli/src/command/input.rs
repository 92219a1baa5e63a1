//! Reading what the operator hands over.

use snafu::{ResultExt, Snafu};
use std::io::Read;

const STANDARD_INPUT: &str = "-";

/// Result of reading input.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why input could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The file or the standard input could not be read.
    #[snafu(display("read {name}: {source}"))]
    Read {
        /// Name of the input.
        name: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The body of a request is no JSON.
    #[snafu(display("the body is no JSON: {source}"))]
    Json {
        /// What went wrong.
        source: serde_json::Error,
    },
}

/// Reads a file, or the standard input for `-`.
///
/// # Errors
///
/// [`Error::Read`] where it cannot be read.
pub(crate) fn file(name: &str) -> Result<Vec<u8>> {
    if name != STANDARD_INPUT {
        return std::fs::read(name).context(ReadSnafu { name });
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .context(ReadSnafu {
            name: "the standard input",
        })?;
    Ok(bytes)
}

/// Returns the body of a request, the argument itself or the standard input for `-`.
///
/// # Errors
///
/// [`Error`] where it cannot be read or is no JSON.
pub(crate) fn body(argument: &str) -> Result<String> {
    let bytes = if argument == STANDARD_INPUT {
        file(argument)?
    } else {
        argument.as_bytes().to_vec()
    };
    let value: &serde_json::value::RawValue = serde_json::from_slice(&bytes).context(JsonSnafu)?;
    Ok(value.get().to_owned())
}
