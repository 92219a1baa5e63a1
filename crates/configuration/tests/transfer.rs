//! What one daemon makes of the parts that another sends.

use monsoonring_configuration::section::transfer::{Base, Part, join, parts};
use monsoonring_configuration::section::{self, Digest, Error, Index, Section};
use monsoonring_configuration::{Document, check, example};
use proptest::prelude::*;
use std::sync::Arc;
use test_case::test_case;

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("examples are valid")
}

fn cut(document: &Document) -> Vec<Section> {
    section::split(document).expect("a document can be written")
}

fn digest(sections: &[Section]) -> Digest {
    Index::of(sections).digest()
}

fn edited() -> Vec<Section> {
    let mut document = document();
    document.routes[0].deadline_ms += 1;
    cut(&document)
}

fn sent(parts: &[Part]) -> usize {
    let sent = |part: &&Part| matches!(part, Part::Sent { .. });
    parts.iter().filter(sent).count()
}

#[test]
fn parts_one_route_changed_sends_one_section() {
    let held = cut(&document());
    let parts = parts(&edited(), &Base::of(&held));
    assert_eq!(sent(&parts), 1);
    assert_eq!(join(parts, &held).expect("all is held"), edited());
}

#[test]
fn parts_nothing_held_sends_all() {
    let parts = parts(&edited(), &Base::default());
    assert_eq!(sent(&parts), edited().len());
    assert_eq!(join(parts, &[]).expect("all was sent"), edited());
}

fn lose(mut parts: Vec<Part>) -> Vec<Part> {
    parts.pop();
    parts
}

fn shift(mut parts: Vec<Part>) -> Vec<Part> {
    let held = parts.iter_mut().find_map(|part| match part {
        Part::Held(position) => Some(position),
        Part::Sent { .. } => None,
    });
    *held.expect("a part is held") += 1;
    parts
}

fn body(parts: &mut [Part]) -> &mut Arc<[u8]> {
    let body = parts.iter_mut().find_map(|part| match part {
        Part::Sent { body, .. } => Some(body),
        Part::Held(_) => None,
    });
    body.expect("a part was sent")
}

fn shorten(mut parts: Vec<Part>) -> Vec<Part> {
    let body = body(&mut parts);
    *body = body[..body.len() / 2].into();
    parts
}

fn change(mut parts: Vec<Part>) -> Vec<Part> {
    let body = body(&mut parts);
    let mut bytes = body.to_vec();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    *body = bytes.into();
    parts
}

// Symptom: a daemon serves a configuration that no operator wrote, and hands it on.
// Events: a section is lost, cut short or changed on its way, or a position means another section.
// Cause: parts taken for the document without a look at the digest of the whole.
#[test_case(lose; "section_lost")]
#[test_case(shift; "position_of_another")]
#[test_case(shorten; "body_cut_short")]
#[test_case(change; "body_changed")]
fn join_damaged_has_another_digest(damage: fn(Vec<Part>) -> Vec<Part>) {
    let held = cut(&document());
    let parts = damage(parts(&edited(), &Base::of(&held)));
    let joined = join(parts, &held).expect("each position is held");
    assert_ne!(digest(&joined), digest(&edited()));
}

#[test]
fn join_position_not_held_is_refused() {
    let error = join(vec![Part::Held(u32::MAX)], &cut(&document())).expect_err("not held");
    assert!(matches!(
        error,
        Error::UnknownPosition { position: u32::MAX }
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever part of either document is held, in any order, the whole comes out.
    #[test]
    fn join_any_held_is_the_document(
        held in prop::sample::subsequence(
            cut(&document()).into_iter().chain(edited()).collect::<Vec<_>>(), 0..8,
        ).prop_shuffle(),
    ) {
        let parts = parts(&edited(), &Base::of(&held));
        prop_assert_eq!(join(parts, &held).expect("all is held or sent"), edited());
    }
}
