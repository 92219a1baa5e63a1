//! A minimal browser for the console: reads the form of a page, changes fields and submits it.

use super::http::{Response, exchange, post};
use std::net::SocketAddr;

/// Names and values of a form's fields, in page order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Form(pub(crate) Vec<(String, String)>);

impl Form {
    /// Parses the fields that a browser would submit for the first form of a page.
    pub(crate) fn parse(page: &str) -> Self {
        let form = page.split("<form").nth(1).unwrap_or_default();
        let form = form.split("</form>").next().unwrap_or_default();
        let mut fields = Vec::new();
        for tag in form.split('<').skip(1) {
            let (tag, text) = tag.split_once('>').unwrap_or((tag, ""));
            let name = attribute(tag, "name").unwrap_or_default();
            let is_input = tag.starts_with("input ") && is_submitted(tag);
            if is_input {
                fields.push((name, attribute(tag, "value").unwrap_or_default()));
            } else if tag.starts_with("textarea ") {
                fields.push((name, unescape(text.trim_start_matches('\n'))));
            } else if tag.starts_with("select ") {
                fields.push((name, String::new()));
            } else if tag.starts_with("option ") && tag.ends_with(" selected") {
                let value = attribute(tag, "value").unwrap_or_default();
                if let Some((_, last)) = fields.last_mut() {
                    *last = value;
                }
            }
        }
        Self(fields)
    }

    /// Returns the value of a field.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Sets a field, and adds it if it is missing. The field moves to the end.
    pub(crate) fn with(mut self, name: &str, value: &str) -> Self {
        self.0.retain(|(found, _)| found != name);
        self.0.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the form, URL-encoded.
    pub(crate) fn body(&self) -> String {
        let mut body = form_urlencoded::Serializer::new(String::new());
        body.extend_pairs(&self.0);
        body.finish()
    }

    /// Submits the form to a path.
    pub(crate) async fn send(&self, operator_address: SocketAddr, path: &str) -> Response {
        let content_type = "content-type: application/x-www-form-urlencoded";
        exchange(operator_address, &post(path, &[content_type], &self.body())).await
    }

    /// Submits the form with one of its buttons, and returns the next page.
    pub(crate) async fn press(self, operator_address: SocketAddr, button: &str) -> Response {
        self.with("do", button)
            .send(operator_address, "/console")
            .await
    }
}

/// Returns whether a browser submits an input: checkboxes only if checked.
fn is_submitted(tag: &str) -> bool {
    !tag.contains("type=\"checkbox\"") || tag.ends_with(" checked")
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let (_, rest) = tag.split_once(&format!(" {name}=\""))?;
    Some(unescape(rest.split('"').next()?))
}

/// Decodes the HTML entities that pages use.
pub(crate) fn unescape(text: &str) -> String {
    let entities = [
        ("&lt;", "<"),
        ("&gt;", ">"),
        ("&quot;", "\""),
        ("&amp;", "&"),
    ];
    entities
        .iter()
        .fold(text.to_owned(), |text, (from, to)| text.replace(from, to))
}
