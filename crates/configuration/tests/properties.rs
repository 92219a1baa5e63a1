//! Property tests of arbitrary and of damaged documents.

use monsoonring_configuration::document::{Caller, Capacity, Class, Group, Hedge, Kind};
use monsoonring_configuration::document::{Retry, Route, SoftDeadline};
use monsoonring_configuration::section::{self, Index};
use monsoonring_configuration::{Document, Range, canonical, check, difference, example};
use proptest::prelude::*;
use proptest::sample::{Index as Pick, select};
use serde_json::{Value, json};

fn caller(index: usize) -> impl Strategy<Value = Caller> {
    let class = select(vec![Class::Urgent, Class::Normal, Class::Background]);
    let token = proptest::option::of("[0-9A-Fa-f]{64}");
    (class, token).prop_map(move |(class, token_sha256)| Caller {
        name: format!("caller-{index}").into(),
        class,
        token_sha256,
    })
}

/// Returns groups of these widths whose ranges tile the key space, each with its own backend servers.
fn groups(widths: &[u64], replicas: usize) -> Vec<Group> {
    let mut start = 0;
    let mut groups = Vec::new();
    for (index, width) in widths.iter().enumerate() {
        let servers = (0..replicas).map(|replica| ([10, 0, index as u8, replica as u8], 80).into());
        groups.push(Group {
            name: format!("group-{index}").into(),
            keys: Range::new(start, start + width),
            weight: 1.0 + index as f64 / 3.0,
            backend_servers: servers.collect(),
        });
        start += width;
    }
    groups
}

fn route(index: usize, callers: usize) -> impl Strategy<Value = Route> {
    (
        proptest::collection::vec(1_u64..1000, 1..6),
        1_usize..4,
        2_u64..600_000,
        proptest::option::of((1_u64..1000, 0.0..=1.0)),
        0.0..=100.0,
        0..callers,
    )
        .prop_map(
            move |(widths, replicas, deadline_ms, soft, budget, caller)| {
                let groups = groups(&widths, replicas);
                let soft = soft.filter(|(after_ms, _)| *after_ms < deadline_ms);
                Route {
                    name: format!("route-{index}").into(),
                    kind: Kind::Search,
                    callers: vec![format!("caller-{caller}").into()],
                    deadline_ms,
                    soft_deadline: soft
                        .map(|(after_ms, coverage)| SoftDeadline { after_ms, coverage }),
                    hedge: Hedge {
                        budget_percent: budget,
                        quantile: 0.9,
                    },
                    retry: Retry::default(),
                    capacity: Capacity {
                        slots: 3,
                        connections: 30,
                        connect_ms: 1,
                    },
                    max_body_bytes: 1024,
                    minimum_index_version: 0,
                    keys: Range::new(0, widths.iter().sum()),
                    groups,
                }
            },
        )
}

const CALLERS: usize = 3;

fn document() -> impl Strategy<Value = Document> {
    let callers: Vec<_> = (0..CALLERS).map(caller).collect();
    let routes: Vec<_> = (0..3).map(|index| route(index, CALLERS)).collect();
    (callers, routes)
        .prop_map(|(callers, routes)| Document { callers, routes })
        .prop_shuffle_parts()
}

/// Shuffles the callers and routes of documents.
trait Shuffle: Strategy<Value = Document> + Sized {
    fn prop_shuffle_parts(self) -> impl Strategy<Value = Document> {
        self.prop_flat_map(|document| {
            (
                Just(document.callers).prop_shuffle(),
                Just(document.routes).prop_shuffle(),
            )
        })
        .prop_map(|(callers, routes)| Document { callers, routes })
    }
}

impl<S: Strategy<Value = Document>> Shuffle for S {}

/// Collects the JSON pointers of all values in `value`.
fn pointers(value: &Value, prefix: &str, found: &mut Vec<String>) {
    found.push(prefix.to_owned());
    match value {
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                pointers(item, &format!("{prefix}/{index}"), found);
            }
        }
        Value::Object(fields) => {
            for (name, field) in fields {
                pointers(field, &format!("{prefix}/{name}"), found);
            }
        }
        _ => {}
    }
}

fn odd_values() -> Vec<Value> {
    vec![
        json!(null),
        json!(true),
        json!(-1),
        json!(0),
        json!(u64::MAX),
        json!(1e300),
        json!(0.5),
        json!(""),
        json!("desk"),
        json!("10.0.0.1:80"),
        json!([]),
        json!([[]]),
        json!({}),
        json!({"start": u64::MAX, "end": 0}),
        json!({"start": 0, "end": u64::MAX}),
    ]
}

proptest! {
    #[test]
    fn parse_any_bytes_returns(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = check::parse(&bytes);
    }

    #[test]
    fn parse_damaged_text_returns(
        edits in proptest::collection::vec((any::<Pick>(), any::<u8>()), 1..8),
        end in any::<Pick>(),
    ) {
        let mut bytes = example::BEET.as_bytes().to_vec();
        for (pick, byte) in edits {
            let position = pick.index(bytes.len());
            bytes[position] = byte;
        }
        bytes.truncate(end.index(bytes.len()) + 1);
        let _ = check::parse(&bytes);
    }

    /// A document with random values replaced either has faults or parses to a valid document. It never
    /// fails in `serde` after validation, where only one fault would be reported.
    #[test]
    fn parse_mutated_document_has_faults_or_is_valid(
        edits in proptest::collection::vec((any::<Pick>(), select(odd_values())), 1..6),
    ) {
        let mut value: Value = serde_json::from_str(example::HYDRANT).expect("the example is JSON");
        for (pick, odd) in edits {
            let mut found = Vec::new();
            pointers(&value, "", &mut found);
            let pointer = pick.get(&found);
            *value.pointer_mut(pointer).expect("the pointer was just collected") = odd;
        }
        let bytes = serde_json::to_vec(&value).expect("a value is JSON");
        match check::parse(&bytes) {
            Ok(document) => check::document(&document).expect("the parsed document is valid"),
            Err(error) => {
                prop_assert!(!error.faults.is_empty());
                for fault in &error.faults {
                    prop_assert!(!fault.wrong.contains("can't be read"), "{fault}");
                }
            }
        }
    }

    #[test]
    fn parse_written_document_is_the_same(document in document()) {
        let bytes = serde_json::to_vec(&document).expect("a document can be written");
        prop_assert_eq!(check::parse(&bytes).expect("the document is valid"), document);
    }

    #[test]
    fn assemble_split_document_is_canonical(document in document()) {
        let sections = section::split(&document).expect("a document can be written");
        let index = Index::of(&sections);
        let assembled = section::assemble(&index, &sections).expect("the sections are complete");
        prop_assert_eq!(&assembled, &canonical::form(&document));
        let again = section::split(&assembled).expect("a document can be written");
        prop_assert_eq!(Index::of(&again).digest(), index.digest());
    }

    #[test]
    fn between_equal_documents_is_empty(document in document()) {
        let difference = difference::between(&document, &canonical::form(&document));
        prop_assert!(difference.is_empty(), "{}", difference);
    }

    /// Digests and differences agree on what is a change. Otherwise a daemon would adopt a document that
    /// was shown to the operator as unchanged, or ignore one that was shown as changed.
    #[test]
    fn between_is_empty_where_digests_are_equal(old in document(), new in document()) {
        let digest = |document: &Document| {
            Index::of(&section::split(document).expect("a document can be written")).digest()
        };
        let equal = digest(&old) == digest(&new);
        prop_assert_eq!(difference::between(&old, &new).is_empty(), equal);
    }
}
