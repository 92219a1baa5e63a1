//! What all pages have in common.

use super::draft::Draft;
use super::{Base, PATH, editor, overview, pointer};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use monsoonring_configuration::check::Fault;
use monsoonring_configuration::{Document, limit};
use std::collections::{BTreeMap, BTreeSet};

const STYLE: &str = include_str!("style.css");

/// Most faults shown beside one place or in one list; a broken file can have one for each of its
/// bytes.
pub(super) const MAX_SHOWN: usize = 200;

/// Most rows of a table: as many as a route may have groups. A document with more rows than that can
/// be edited as a file and pasted.
pub(super) const MAX_ROWS: usize = limit::GROUPS;

/// A draft as the pages show it.
pub(super) struct View<'a> {
    /// What is in force here.
    pub(super) base: &'a Base,
    /// The draft.
    pub(super) draft: &'a Draft,
    /// Revision that was in force when the draft was begun.
    pub(super) started: Option<u64>,
    /// The document that the draft makes, or its faults.
    pub(super) checked: Result<Document, Vec<Fault>>,
    /// Faults of a pasted text that the draft doesn't have any more.
    pub(super) lost: Vec<Fault>,
    /// The faults by the pointers to their places.
    places: BTreeMap<String, Vec<Fault>>,
}

impl<'a> View<'a> {
    /// Checks a draft.
    pub(super) fn new(base: &'a Base, draft: &'a Draft, started: Option<u64>) -> Self {
        let checked = draft.check();
        let mut places: BTreeMap<String, Vec<Fault>> = BTreeMap::new();
        for fault in checked.as_ref().err().into_iter().flatten() {
            let place = places.entry(pointer::of(&fault.path)).or_default();
            place.push(fault.clone());
        }
        Self {
            base,
            draft,
            started,
            checked,
            lost: Vec::new(),
            places,
        }
    }

    /// Keeps the faults of the text that the draft was read from, where the draft has lost them: of
    /// two equal keys it holds the last.
    pub(super) fn note_lost(&mut self, faults: Vec<Fault>) {
        let kept: BTreeSet<&Fault> = self.faults().iter().collect();
        let lost = faults.into_iter().filter(|fault| !kept.contains(fault));
        let lost = lost.take(MAX_SHOWN).collect();
        self.lost = lost;
    }

    /// Returns all faults.
    pub(super) fn faults(&self) -> &[Fault] {
        self.checked.as_ref().err().map_or(&[], Vec::as_slice)
    }

    /// Returns the faults at a place.
    pub(super) fn at(&self, place: &str) -> &[Fault] {
        self.places.get(place).map_or(&[], Vec::as_slice)
    }

    /// Returns the faults below a place.
    pub(super) fn below(&self, place: &str) -> impl Iterator<Item = &Fault> {
        let prefix = format!("{place}/");
        let from = self.places.range(prefix.clone()..);
        let places = from.take_while(move |(found, _)| found.starts_with(&prefix));
        places.flat_map(|(_, faults)| faults)
    }

    /// Returns the number of faults at and below a place.
    pub(super) fn count(&self, place: &str) -> usize {
        self.at(place).len() + self.below(place).count()
    }
}

/// Shows the page that edits a place, or the overview.
pub(super) fn show(view: &View<'_>, place: &str) -> String {
    let body = match place {
        "" => overview::show(view),
        place => editor::show(view, place),
    };
    let form = html! {
        form method="post" action=(PATH) novalidate {
            input type="hidden" name="draft" value=(view.draft.text());
            input type="hidden" name="part" value=(place);
            input type="hidden" name="revision" value=(revision(view.started));
            (body)
        }
        @if place.is_empty() { (paste("")) }
    };
    whole(view.base, &form)
}

/// Shows why a text can't be a draft, with the text, so that it can be mended.
pub(super) fn unreadable(base: &Base, text: &str, faults: &[Fault]) -> String {
    let body = html! {
        h2 { "The text can't be read" }
        (list(faults))
        (paste(text))
        p { a href=(PATH) { "Start from the configuration in force" } }
    };
    whole(base, &body)
}

fn paste(text: &str) -> Markup {
    html! {
        details open[!text.is_empty()] {
            summary { "Start from another document" }
            form method="post" action=(PATH) {
                p { label for="paste" { "Paste a whole document; it takes the place of the draft above." } }
                textarea id="paste" name="draft" rows="12" spellcheck="false" {
                    // A browser drops the first line break of a text area.
                    "\n" (text)
                }
                p { button name="do" value="load" { "Start from this text" } }
            }
        }
    }
}

fn whole(base: &Base, body: &Markup) -> String {
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
                @if let Some(why) = base.not_ready {
                    p.notice {
                        "This daemon is not ready (" (why) "): what it takes to be in force may be \
                         old. Compare with another daemon before you publish."
                    }
                }
                (body)
            }
        }
    }
    .into_string()
}

/// Shows a revision as it travels in the form.
fn revision(revision: Option<u64>) -> String {
    revision
        .map(|revision| revision.to_string())
        .unwrap_or_default()
}

/// Shows faults beside their field.
pub(super) fn faults<'a>(faults: impl IntoIterator<Item = &'a Fault>) -> Markup {
    html! {
        @for fault in faults.into_iter().take(MAX_SHOWN) {
            p.fault { (fault.wrong) "; right would be: " (fault.right) }
        }
    }
}

/// Shows faults with their paths.
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

/// Says how many rows a table lacks.
pub(super) fn hidden_rows(all: usize) -> Markup {
    html! {
        @if all > MAX_ROWS {
            p.notice { "and " (all - MAX_ROWS) " more, which are kept but can't be edited here" }
        }
    }
}

/// Shows a button that does something to a place.
pub(super) fn button(verb: &str, place: &str, text: &str) -> Markup {
    html! { button.link name="do" value=(format!("{verb}:{place}")) { (text) } }
}

/// Shows a description of the schema, with its code set as such.
pub(super) fn prose(text: &str) -> Markup {
    html! {
        @for (index, part) in text.split('`').enumerate() {
            @if index % 2 == 1 { code { (part) } } @else { (part) }
        }
    }
}
