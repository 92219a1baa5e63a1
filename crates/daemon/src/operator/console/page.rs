//! Page layout and the elements shared by all pages.

use super::draft::Draft;
use super::{Base, PATH, editor, overview, pointer};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use monsoonring_configuration::check::Fault;
use monsoonring_configuration::{Document, limit};
use std::collections::{BTreeMap, BTreeSet};

const STYLE: &str = include_str!("style.css");

/// Maximum number of entries shown in a list. A broken file can have as many faults as bytes.
pub(super) const MAX_SHOWN: usize = 200;

/// Maximum number of rows of a table, equal to the maximum number of groups of a route. A longer
/// document can be edited as a file and pasted.
pub(super) const MAX_ROWS: usize = limit::GROUPS;

/// A draft and the result of its check.
pub(super) struct View<'a> {
    /// The configuration in force at this daemon.
    pub(super) base: &'a Base,
    /// The draft to show.
    pub(super) draft: &'a Draft,
    /// Revision that was in force when the draft was started.
    pub(super) initial_revision: Option<u64>,
    /// The valid document, or the faults of the draft.
    pub(super) checked: Result<Document, Vec<Fault>>,
    /// Faults of the pasted text that the draft no longer has, such as duplicate keys.
    pub(super) dropped_faults: Vec<Fault>,
    /// The faults of the draft by JSON pointer.
    by_pointer: BTreeMap<String, Vec<Fault>>,
}

impl<'a> View<'a> {
    /// Checks a draft and creates its view.
    pub(super) fn new(base: &'a Base, draft: &'a Draft, initial_revision: Option<u64>) -> Self {
        let checked = draft.check();
        let mut by_pointer: BTreeMap<String, Vec<Fault>> = BTreeMap::new();
        for fault in checked.as_ref().err().into_iter().flatten() {
            let entry = by_pointer
                .entry(pointer::from_path(&fault.path))
                .or_default();
            entry.push(fault.clone());
        }
        Self {
            base,
            draft,
            initial_revision,
            checked,
            dropped_faults: Vec::new(),
            by_pointer,
        }
    }

    /// Records the faults of the pasted text that parsing removed: of two equal keys, the draft holds
    /// only the last.
    pub(super) fn set_dropped_faults(&mut self, faults: Vec<Fault>) {
        let remaining: BTreeSet<&Fault> = self.faults().iter().collect();
        let dropped_faults = faults
            .into_iter()
            .filter(|fault| !remaining.contains(fault));
        let dropped_faults = dropped_faults.take(MAX_SHOWN).collect();
        self.dropped_faults = dropped_faults;
    }

    /// Returns all faults of the draft.
    pub(super) fn faults(&self) -> &[Fault] {
        self.checked.as_ref().err().map_or(&[], Vec::as_slice)
    }

    /// Returns the faults at a pointer.
    pub(super) fn faults_at(&self, pointer: &str) -> &[Fault] {
        self.by_pointer.get(pointer).map_or(&[], Vec::as_slice)
    }

    /// Returns the faults below a pointer.
    pub(super) fn faults_below(&self, pointer: &str) -> impl Iterator<Item = &Fault> {
        let prefix = format!("{pointer}/");
        let candidates = self.by_pointer.range(prefix.clone()..);
        let entries = candidates.take_while(move |(found, _)| found.starts_with(&prefix));
        entries.flat_map(|(_, faults)| faults)
    }

    /// Returns the number of faults at and below a pointer.
    pub(super) fn fault_count(&self, pointer: &str) -> usize {
        self.faults_at(pointer).len() + self.faults_below(pointer).count()
    }
}

/// Renders the page of a caller or route, or the overview if the pointer is empty.
pub(super) fn show(view: &View<'_>, pointer: &str) -> String {
    let body = match pointer {
        "" => overview::show(view),
        pointer => editor::show(view, pointer),
    };
    let form = html! {
        form method="post" action=(PATH) novalidate {
            input type="hidden" name="draft" value=(view.draft.text());
            input type="hidden" name="part" value=(pointer);
            input type="hidden" name="revision" value=(revision(view.initial_revision));
            (body)
        }
        @if pointer.is_empty() { (paste("")) }
    };
    layout(view.base, &form)
}

/// Renders the faults of a text that can't be parsed, and the text in an input for correction.
pub(super) fn invalid_text(base: &Base, text: &str, faults: &[Fault]) -> String {
    let body = html! {
        h2 { "The text can't be read" }
        (list(faults))
        (paste(text))
        p { a href=(PATH) { "Start from the configuration in force" } }
    };
    layout(base, &body)
}

fn paste(text: &str) -> Markup {
    html! {
        details open[!text.is_empty()] {
            summary { "Start from another document" }
            form method="post" action=(PATH) {
                p { label for="paste" { "Paste a whole document; it takes the place of the draft above." } }
                textarea id="paste" name="draft" rows="12" spellcheck="false" {
                    // Browsers ignore a line break at the start of a text area.
                    "\n" (text)
                }
                p { button name="do" value="load" { "Start from this text" } }
            }
        }
    }
}

fn layout(base: &Base, body: &Markup) -> String {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "monsoonring configuration" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                header {
                    h1 { "monsoonring configuration" }
                    @match base.revision {
                        Some(revision) => span { "in force here: revision " strong { (revision) } },
                        None => span { "nothing is in force here yet" },
                    }
                }
                @if let Some(reason) = base.not_ready {
                    p.notice {
                        "This daemon is not ready (" (reason) "): its configuration may be outdated. \
                         Compare with another daemon before you publish."
                    }
                }
                (body)
            }
        }
    }
    .into_string()
}

/// Returns the value of the hidden form field for a revision; empty if there is none.
fn revision(revision: Option<u64>) -> String {
    revision
        .map(|revision| revision.to_string())
        .unwrap_or_default()
}

/// Renders faults without their paths.
pub(super) fn faults<'a>(faults: impl IntoIterator<Item = &'a Fault>) -> Markup {
    html! {
        @for fault in faults.into_iter().take(MAX_SHOWN) {
            p.fault { (fault.wrong) "; right would be: " (fault.right) }
        }
    }
}

/// Renders faults with their paths.
pub(super) fn list(faults: &[Fault]) -> Markup {
    html! {
        ul {
            @for fault in faults.iter().take(MAX_SHOWN) {
                li { code { (fault.path) } (self::faults([fault])) }
            }
            @if faults.len() > MAX_SHOWN { li { "and " (faults.len() - MAX_SHOWN) " more" } }
        }
    }
}

/// Renders the number of rows that exceed [`MAX_ROWS`], if any.
pub(super) fn hidden_rows(all: usize) -> Markup {
    html! {
        @if all > MAX_ROWS {
            p.notice { "and " (all - MAX_ROWS) " more, which are kept but can't be edited here" }
        }
    }
}

/// Renders a button that applies a command to the value at a pointer.
pub(super) fn button(verb: &str, pointer: &str, text: &str) -> Markup {
    html! { button.link name="do" value=(format!("{verb}:{pointer}")) { (text) } }
}

/// Renders a text in which backquotes mark code.
pub(super) fn prose(text: &str) -> Markup {
    html! {
        @for (index, part) in text.split('`').enumerate() {
            @if index % 2 == 1 { code { (part) } } @else { (part) }
        }
    }
}
