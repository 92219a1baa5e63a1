//! Tests of sections and their digests.

use monsoonring_configuration::document::SoftDeadline;
use monsoonring_configuration::section::{self, Digest, Error, Index, Name, Section};
use monsoonring_configuration::{Document, canonical, check, example};
use std::sync::Arc;
use test_case::test_case;

fn document() -> Document {
    check::parse(example::HYDRANT.as_bytes()).expect("examples are valid")
}

fn sections() -> Vec<Section> {
    section::split(&document()).expect("a document can be written")
}

fn route(name: &str) -> Name {
    Name::Route(name.into())
}

/// Digests are part of the protocol between daemons of different versions: if the canonical form
/// changes, all sections differ between old and new daemons during a rolling upgrade.
#[test]
fn index_of_example_is_golden() {
    let index = Index::of(&sections());
    insta::assert_json_snapshot!("index", (&index, index.digest()));
}

fn upper_case_token(document: &mut Document) {
    document.callers[0].token_sha256 = Some("AB".repeat(32));
}

fn lower_case_token(document: &mut Document) {
    document.callers[0].token_sha256 = Some("ab".repeat(32));
}

fn negative_zero(document: &mut Document) {
    document.routes[0].hedge.budget_percent = -0.0;
    document.routes[0].hedge.quantile = -0.0;
    document.routes[0].retry.budget_percent = -0.0;
    document.routes[0].soft_deadline = Some(soft_deadline(-0.0));
}

fn zero(document: &mut Document) {
    document.routes[0].hedge.budget_percent = 0.0;
    document.routes[0].hedge.quantile = 0.0;
    document.routes[0].retry.budget_percent = 0.0;
    document.routes[0].soft_deadline = Some(soft_deadline(0.0));
}

fn soft_deadline(coverage: f64) -> SoftDeadline {
    let after_ms = 1;
    SoftDeadline { after_ms, coverage }
}

fn unchanged(_: &mut Document) {}

fn reverse_lists(document: &mut Document) {
    document.callers.reverse();
    document.routes.reverse();
    for route in &mut document.routes {
        route.callers.reverse();
        route.groups.reverse();
        for group in &mut route.groups {
            group.backend_servers.reverse();
        }
    }
}

#[test_case(upper_case_token, lower_case_token; "case_of_digits")]
#[test_case(negative_zero, zero; "sign_of_zero")]
#[test_case(reverse_lists, unchanged; "order_of_lists")]
fn digest_of_same_meaning_is_equal(left: fn(&mut Document), right: fn(&mut Document)) {
    let digest = |edit: fn(&mut Document)| {
        let mut document = document();
        edit(&mut document);
        check::document(&document).expect("the edit keeps the document valid");
        let sections = section::split(&document).expect("a document can be written");
        Index::of(&sections).digest()
    };
    assert_eq!(digest(left), digest(right));
}

#[test]
fn digest_of_empty_input_is_sha256() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(Digest::of(b"").to_string(), empty);
}

#[test]
fn assemble_all_is_the_canonical_document() {
    let sections = sections();
    let assembled =
        section::assemble(&Index::of(&sections), &sections).expect("the sections are complete");
    assert_eq!(assembled, canonical::form(&document()));
}

#[test]
fn assemble_selection_has_only_its_routes() {
    let sections = sections();
    let index = Index::of(&sections).select(|route| &**route == "dispatch-map");
    let selected: Vec<_> = sections
        .into_iter()
        .filter(|section| index.get(section.name()).is_some())
        .collect();
    let assembled = section::assemble(&index, &selected).expect("the sections are complete");
    assert_eq!(assembled.callers.len(), 3);
    assert_eq!(assembled.routes.len(), 1);
    assert_eq!(&*assembled.routes[0].name, "dispatch-map");
}

/// Index and sections as received from a peer.
struct Transfer {
    index: Index,
    sections: Vec<Section>,
}

impl Transfer {
    fn replace(&mut self, position: usize, body: impl Into<Arc<[u8]>>) {
        let name = self.sections[position].name().clone();
        self.sections[position] = Section::new(name, body);
    }

    /// Recomputes the index from the damaged sections, as a faulty peer would.
    fn reindex(&mut self) {
        self.index = Index::of(&self.sections);
    }
}

fn drop_section(transfer: &mut Transfer) {
    transfer.sections.pop();
}

fn add_section(transfer: &mut Transfer) {
    transfer.sections.push(Section::new(route("other"), *b"{}"));
}

fn flip_bit(transfer: &mut Transfer) {
    let mut body = transfer.sections[1].body().to_vec();
    body[10] ^= 1;
    transfer.replace(1, body);
}

fn swap_bodies(transfer: &mut Transfer) {
    let body = transfer.sections[2].body().clone();
    transfer.replace(1, body);
    transfer.reindex();
}

fn corrupt_route(transfer: &mut Transfer) {
    transfer.replace(1, *b"{}");
    transfer.reindex();
}

fn clear_callers(transfer: &mut Transfer) {
    transfer.replace(0, *b"[]");
    transfer.reindex();
}

#[test_case(drop_section, |error| matches!(error, Error::Missing { .. }); "section_missing")]
#[test_case(add_section, |error| matches!(error, Error::Unexpected { .. }); "section_not_in_the_index")]
#[test_case(flip_bit, |error| matches!(error, Error::Mismatch { .. }); "bit_flipped")]
#[test_case(swap_bodies, |error| matches!(error, Error::WrongRoute { .. }); "route_under_another_name")]
#[test_case(corrupt_route, |error| matches!(error, Error::Decode { .. }); "body_is_not_a_route")]
#[test_case(clear_callers, |error| matches!(error, Error::Invalid { .. }); "caller_of_a_route_is_missing")]
fn assemble_damaged_is_rejected(damage: fn(&mut Transfer), is_expected: fn(&Error) -> bool) {
    let sections = sections();
    let index = Index::of(&sections);
    let mut transfer = Transfer { index, sections };
    damage(&mut transfer);
    let error = section::assemble(&transfer.index, &transfer.sections)
        .expect_err("the sections are damaged");
    assert!(is_expected(&error), "{error}");
}

#[test]
fn difference_names_added_removed_and_changed() {
    let old = Index::of(&sections());
    let mut edited = document();
    edited.routes[0].deadline_ms += 1;
    edited.routes[1].name = "renamed".into();
    let sections = section::split(&edited).expect("a document can be written");
    let new = Index::of(&sections);
    let difference = old.difference(&new);
    assert_eq!(difference.added, [route("renamed")]);
    assert_eq!(difference.removed, [route("inspector-app")]);
    assert_eq!(difference.changed, [route("dispatch-map")]);
    assert!(old.difference(&old).is_empty());
    assert_ne!(old.digest(), new.digest());
}

#[test_case("callers", Some(&Name::Callers); "callers")]
#[test_case("routes/map", Some(&route("map")); "one_route")]
#[test_case("routes/", None; "route_without_name")]
#[test_case("hosts", None; "unknown")]
fn name_try_from_text(text: &str, expected: Option<&Name>) {
    let name = Name::try_from(text.to_owned()).ok();
    assert_eq!(name.as_ref(), expected);
}
