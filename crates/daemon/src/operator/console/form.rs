//! A submitted form: fields by name, each with one or more values.

use std::collections::BTreeMap;

/// Maximum number of fields of a form. A route of the maximum size needs five for each of its 4,096
/// groups.
const MAX_FIELDS: usize = 50_000;

/// A submitted form.
#[derive(Debug, Default)]
pub(super) struct Form {
    fields: BTreeMap<String, Vec<String>>,
}

impl Form {
    /// Parses a body of the type `application/x-www-form-urlencoded`; returns `None` if it has too many
    /// fields. Invalid UTF-8 is replaced, so no other error is possible.
    pub(super) fn parse(body: &[u8]) -> Option<Self> {
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

    /// Returns the first value of a field, trimmed.
    pub(super) fn value(&self, name: &str) -> Option<&str> {
        let values = self.fields.get(name)?;
        values.first().map(|value| value.trim())
    }

    /// Returns the non-empty lines of all values of a field, trimmed.
    pub(super) fn lines(&self, name: &str) -> Option<Vec<&str>> {
        let values = self.fields.get(name)?;
        let lines = values.iter().flat_map(|value| value.lines());
        let lines = lines.map(str::trim).filter(|line| !line.is_empty());
        Some(lines.collect())
    }

    /// Returns whether the form has a field of this name, or one whose pointer is below it.
    pub(super) fn contains(&self, name: &str) -> bool {
        let prefix = format!("{name}/");
        let first_below = self.fields.range(prefix.clone()..).next();
        self.fields.contains_key(name)
            || first_below.is_some_and(|(found, _)| found.starts_with(&prefix))
    }
}
