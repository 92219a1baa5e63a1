//! What a browser sends: fields by name, each with any number of values.

use std::collections::BTreeMap;

/// Most fields of one form; a route of the largest size needs five for each of its 4,096 groups.
const MAX_FIELDS: usize = 50_000;

/// A form that was sent.
#[derive(Debug, Default)]
pub(super) struct Form {
    fields: BTreeMap<String, Vec<String>>,
}

impl Form {
    /// Reads a body of the type `application/x-www-form-urlencoded`; `None` where it has too many
    /// fields. Bytes that aren't UTF-8 are replaced, so that every body can be read.
    pub(super) fn read(body: &[u8]) -> Option<Self> {
        let mut fields: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (number, (name, value)) in form_urlencoded::parse(body).enumerate() {
            if number == MAX_FIELDS {
                return None;
            }
            let values = fields.entry(name.into_owned()).or_default();
            values.push(value.into_owned());
        }
        Some(Self { fields })
    }

    /// Returns the first value of a field, without the white space around it.
    pub(super) fn value(&self, name: &str) -> Option<&str> {
        let values = self.fields.get(name)?;
        values.first().map(|value| value.trim())
    }

    /// Returns all lines of all values of a field, without empty ones.
    pub(super) fn lines(&self, name: &str) -> Option<Vec<&str>> {
        let values = self.fields.get(name)?;
        let lines = values.iter().flat_map(|value| value.lines());
        let lines = lines.map(str::trim).filter(|line| !line.is_empty());
        Some(lines.collect())
    }

    /// Tells whether a field of this name, or one below it, was sent.
    pub(super) fn concerns(&self, name: &str) -> bool {
        let below = format!("{name}/");
        let first_below = self.fields.range(below.clone()..).next();
        self.fields.contains_key(name)
            || first_below.is_some_and(|(found, _)| found.starts_with(&below))
    }
}
