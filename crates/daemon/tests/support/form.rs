//! A browser as far as the console needs one: it sends the fields of a page back, with changes.

use super::http::{Response, exchange, post};
use std::net::SocketAddr;

/// The fields of a form, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Form(pub(crate) Vec<(String, String)>);

impl Form {
    /// Reads the fields of the first form of a page, as a browser would send them.
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

    /// The value of a field.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The form with another value in a field; a field that isn't there is added.
    pub(crate) fn with(mut self, name: &str, value: &str) -> Self {
        self.0.retain(|(found, _)| found != name);
        self.0.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The bytes of the form.
    pub(crate) fn body(&self) -> String {
        let mut body = form_urlencoded::Serializer::new(String::new());
        body.extend_pairs(&self.0);
        body.finish()
    }

    /// Sends the form to a path.
    pub(crate) async fn send(&self, operator_address: SocketAddr, path: &str) -> Response {
        let content_type = "content-type: application/x-www-form-urlencoded";
        exchange(operator_address, &post(path, &[content_type], &self.body())).await
    }

    /// Sends the form by one of its buttons, and returns the next page.
    pub(crate) async fn press(self, operator_address: SocketAddr, button: &str) -> Response {
        self.with("do", button)
            .send(operator_address, "/console")
            .await
    }
}

/// Tells whether a browser sends an input: boxes only where they are ticked.
fn is_submitted(tag: &str) -> bool {
    !tag.contains("type=\"checkbox\"") || tag.ends_with(" checked")
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let (_, rest) = tag.split_once(&format!(" {name}=\""))?;
    Some(unescape(rest.split('"').next()?))
}

/// Turns the characters that a page escapes back.
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
