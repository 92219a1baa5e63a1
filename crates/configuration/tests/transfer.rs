//! Tests of the delta encoding between daemons.

use monsoonring_configuration::section::transfer::{Base, Part, join, parts};
use monsoonring_configuration::section::{self, Digest, Error, Index, Section};
use monsoonring_configuration::{Document, check, example};
use proptest::prelude::*;
use std::sync::Arc;
use test_case::test_case;

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("examples are valid")
}

fn sections_of(document: &Document) -> Vec<Section> {
    section::split(document).expect("a document can be written")
}

fn digest(sections: &[Section]) -> Digest {
    Index::of(sections).digest()
}

fn edited() -> Vec<Section> {
    let mut document = document();
    document.routes[0].deadline_ms += 1;
    sections_of(&document)
}

fn count_sent(parts: &[Part]) -> usize {
    let is_sent = |part: &&Part| matches!(part, Part::Sent { .. });
    parts.iter().filter(is_sent).count()
}

#[test]
fn parts_one_route_changed_sends_one_section() {
    let held = sections_of(&document());
    let parts = parts(&edited(), &Base::of(&held));
    assert_eq!(count_sent(&parts), 1);
    assert_eq!(
        join(parts, &held).expect("all positions are held"),
        edited()
    );
}

#[test]
fn parts_nothing_held_sends_all() {
    let parts = parts(&edited(), &Base::default());
    assert_eq!(count_sent(&parts), edited().len());
    assert_eq!(join(parts, &[]).expect("all sections were sent"), edited());
}

fn drop_part(mut parts: Vec<Part>) -> Vec<Part> {
    parts.pop();
    parts
}

fn shift_position(mut parts: Vec<Part>) -> Vec<Part> {
    let held = parts.iter_mut().find_map(|part| match part {
        Part::Held(position) => Some(position),
        Part::Sent { .. } => None,
    });
    *held.expect("a held part") += 1;
    parts
}

fn body(parts: &mut [Part]) -> &mut Arc<[u8]> {
    let body = parts.iter_mut().find_map(|part| match part {
        Part::Sent { body, .. } => Some(body),
        Part::Held(_) => None,
    });
    body.expect("a sent part")
}

fn truncate_body(mut parts: Vec<Part>) -> Vec<Part> {
    let body = body(&mut parts);
    *body = body[..body.len() / 2].into();
    parts
}

fn change_body(mut parts: Vec<Part>) -> Vec<Part> {
    let body = body(&mut parts);
    let mut bytes = body.to_vec();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    *body = bytes.into();
    parts
}

// Guards against adopting a damaged configuration: a lost, truncated or modified section or a wrong
// position must change the digest of the document.
#[test_case(drop_part; "section_missing")]
#[test_case(shift_position; "position_of_another_section")]
#[test_case(truncate_body; "body_truncated")]
#[test_case(change_body; "body_changed")]
fn join_damaged_has_another_digest(damage: fn(Vec<Part>) -> Vec<Part>) {
    let held = sections_of(&document());
    let parts = damage(parts(&edited(), &Base::of(&held)));
    let joined = join(parts, &held).expect("all positions are held");
    assert_ne!(digest(&joined), digest(&edited()));
}

#[test]
fn join_position_not_held_is_rejected() {
    let error = join(vec![Part::Held(u32::MAX)], &sections_of(&document()))
        .expect_err("the position is not held");
    assert!(matches!(
        error,
        Error::UnknownPosition { position: u32::MAX }
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Joining restores the document whichever sections of the old and new documents are held.
    #[test]
    fn join_any_held_is_the_document(
        held in prop::sample::subsequence(
            sections_of(&document()).into_iter().chain(edited()).collect::<Vec<_>>(), 0..8,
        ).prop_shuffle(),
    ) {
        let parts = parts(&edited(), &Base::of(&held));
        prop_assert_eq!(join(parts, &held).expect("all positions are held"), edited());
    }
}
