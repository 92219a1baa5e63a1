//! Tests of the faults that single edits of a valid document cause.

use monsoonring_configuration::{check, limit};
use serde_json::{Value, json};
use test_case::test_case;

/// Returns a document with three callers, one of them without a route, a search route with two groups
/// and an execute route.
fn valid() -> Value {
    json!({
        "callers": [
            {"name": "desk", "class": "urgent"},
            {"name": "office", "class": "normal", "token_sha256": "ab".repeat(32)},
            {"name": "unused", "class": "background"},
        ],
        "routes": [
            {
                "name": "map", "kind": "search", "callers": ["desk", "office"],
                "deadline_ms": 500, "soft_deadline": {"after_ms": 200, "coverage": 0.9},
                "hedge": {"budget_percent": 5.0, "quantile": 0.95},
                "retry": {"budget_percent": 10.0, "attempts": 2}, "max_body_bytes": 1024,
                "capacity": {"slots": 3, "connections": 30, "connect_ms": 6},
                "keys": {"start": 0, "end": 100},
                "groups": [
                    {"name": "a", "keys": {"start": 0, "end": 50}, "weight": 1.0,
                     "backend_servers": ["10.0.0.1:1", "10.0.0.2:1"]},
                    {"name": "b", "keys": {"start": 50, "end": 100}, "weight": 2.0,
                     "backend_servers": ["10.0.0.3:1"]},
                ],
            },
            {
                "name": "ticket", "kind": "execute", "callers": ["desk"], "deadline_ms": 500,
                "capacity": {"slots": 1, "connections": 1},
                "keys": {"start": 0, "end": 10},
                "groups": [
                    {"name": "a", "keys": {"start": 0, "end": 10}, "backend_servers": ["10.0.1.1:1"]},
                ],
            },
        ],
    })
}

fn faults(value: &Value) -> Vec<(String, String)> {
    let bytes = serde_json::to_vec(value).expect("a value is JSON");
    let error = check::parse(&bytes).expect_err("the edit makes the document invalid");
    error
        .faults
        .iter()
        .map(|fault| (fault.path.to_string(), fault.wrong.clone()))
        .collect()
}

#[test]
fn parse_valid_is_accepted() {
    let bytes = serde_json::to_vec(&valid()).expect("a value is JSON");
    check::parse(&bytes).expect("the document is valid");
}

#[test_case("/callers/2/name", json!("a/b"), "callers[2].name", "wrong form"; "name_with_slash")]
#[test_case("/callers/2/name", json!(".."), "callers[2].name", "wrong form"; "name_is_parent_directory")]
#[test_case("/callers/2/name", json!("desk\n"), "callers[2].name", "wrong form"; "name_with_line_end")]
#[test_case("/callers/0/class", json!("vip"), "callers[0].class", "known values"; "unknown_class")]
#[test_case("/callers/2/name", json!("desk"), "callers[2].name", "already"; "caller_twice")]
#[test_case("/callers/1/token_sha256", json!("abc"), "callers[1].token_sha256", "wrong form"; "short_token_digest")]
#[test_case("/routes/1/name", json!("map"), "routes[1].name", "already"; "route_twice")]
#[test_case("/routes/0/callers/1", json!("ghost"), "routes[0].callers[1]", "no caller `ghost`"; "unknown_caller")]
#[test_case("/routes/0/callers/1", json!("desk"), "routes[0].callers[1]", "already"; "caller_listed_twice")]
#[test_case("/routes/1/deadline_ms", json!(0), "routes[1].deadline_ms", "too low"; "deadline_zero")]
#[test_case("/routes/0/deadline_ms", json!(600_001), "routes[0].deadline_ms", "too high"; "deadline_unbounded")]
#[test_case("/routes/0/deadline_ms", json!(1.5), "routes[0].deadline_ms", "wrong type"; "deadline_fraction")]
#[test_case("/routes/0/soft_deadline/after_ms", json!(500), "routes[0].soft_deadline.after_ms", "isn't before the deadline"; "soft_deadline_at_deadline")]
#[test_case("/routes/0/soft_deadline/coverage", json!(1.01), "routes[0].soft_deadline.coverage", "too high"; "coverage_above_one")]
#[test_case("/routes/0/soft_deadline", json!(null), "routes[0].soft_deadline", "wrong type"; "soft_deadline_null")]
#[test_case("/routes/0/hedge/budget_percent", json!(101), "routes[0].hedge.budget_percent", "too high"; "hedge_budget_above_hundred")]
#[test_case("/routes/0/hedge/quantile", json!(-0.1), "routes[0].hedge.quantile", "too low"; "quantile_negative")]
#[test_case("/routes/0/retry/attempts", json!(0), "routes[0].retry.attempts", "too low"; "attempts_zero")]
#[test_case("/routes/0/capacity/slots", json!(0), "routes[0].capacity.slots", "too low"; "slots_zero")]
#[test_case("/routes/0/capacity/connections", json!(-1), "routes[0].capacity.connections", "too low"; "connections_negative")]
#[test_case("/routes/0/capacity/connect_ms", json!(500), "routes[0].capacity.connect_ms", "isn't before the deadline"; "connect_takes_the_deadline")]
#[test_case("/routes/0/max_body_bytes", json!(0), "routes[0].max_body_bytes", "too low"; "body_zero")]
#[test_case("/routes/0/groups", json!([]), "routes[0].groups", "too few"; "no_group")]
#[test_case("/routes/0/groups/1/name", json!("a"), "routes[0].groups[1].name", "already"; "group_twice")]
#[test_case("/routes/0/groups/1/weight", json!(0), "routes[0].groups[1].weight", "too low"; "weight_zero")]
#[test_case("/routes/0/groups/1/weight", json!(1e13), "routes[0].groups[1].weight", "too high"; "weight_huge")]
#[test_case("/routes/0/groups/1/keys/start", json!(51), "routes[0].keys", "no group holds the keys 50..51"; "hole_between")]
#[test_case("/routes/0/groups/0/keys/start", json!(1), "routes[0].keys", "no group holds the keys 0..1"; "hole_at_the_start")]
#[test_case("/routes/0/groups/1/keys/end", json!(99), "routes[0].keys", "no group holds the keys 99..100"; "hole_at_the_end")]
#[test_case("/routes/0/groups/1/keys/start", json!(49), "routes[0].groups[1].keys", "overlaps 0..50 (routes[0].groups[0].keys) in 49..50"; "overlap")]
#[test_case("/routes/0/groups/1/keys/end", json!(101), "routes[0].groups[1].keys", "not within"; "out_of_the_route")]
#[test_case("/routes/1/keys/end", json!(0), "routes[1].keys.end", "holds no key"; "empty_key_space")]
#[test_case("/routes/0/groups/1/backend_servers", json!([]), "routes[0].groups[1].backend_servers", "too few"; "no_backend_server")]
#[test_case("/routes/0/groups/1/backend_servers/0", json!("10.0.0.1:1"), "routes[0].groups[1].backend_servers[0]", "is already listed at routes[0].groups[0].backend_servers[0]"; "backend_server_twice")]
#[test_case("/routes/0/groups/1/backend_servers/0", json!("db.local:1"), "routes[0].groups[1].backend_servers[0]", "isn't an IP"; "backend_server_by_name")]
#[test_case("/routes/0/groups/1/backend_servers/0", json!("10.0.0.3:0"), "routes[0].groups[1].backend_servers[0]", "isn't an address to connect to"; "port_zero")]
#[test_case("/routes/1/kind", json!("write"), "routes[1].kind", "known values"; "unknown_kind")]
fn parse_fault_is_the_only_one(pointer: &str, value: Value, path: &str, wrong: &str) {
    let mut edited = valid();
    *edited.pointer_mut(pointer).expect("the value exists") = value;
    let found = faults(&edited);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, path);
    assert!(found[0].1.contains(wrong), "{found:?}");
}

#[test_case("/routes/1", "hedge", json!({"budget_percent": 1}), "routes[1].hedge.budget_percent", "second time"; "execute_with_hedge")]
#[test_case("/routes/1", "hedge", json!({"quantile": 0.9}), "routes[1].hedge.budget_percent", "second time"; "execute_with_default_hedge_budget")]
#[test_case("/routes/1", "soft_deadline", json!({"after_ms": 1, "coverage": 0.5}), "routes[1].soft_deadline", "no partial answers"; "execute_with_soft_deadline")]
#[test_case("", "extra", json!(1), "extra", "no field of this name"; "unknown_field_of_the_document")]
#[test_case("/routes/0/groups/1", "odd/~name", json!(1), r#"routes[0].groups[1]["odd/~name"]"#, "no field of this name"; "unknown_field_with_odd_name")]
fn parse_added_field_is_the_only_fault(
    pointer: &str,
    field: &str,
    value: Value,
    path: &str,
    wrong: &str,
) {
    let mut edited = valid();
    edited.pointer_mut(pointer).expect("the value exists")[field] = value;
    let found = faults(&edited);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, path);
    assert!(found[0].1.contains(wrong), "{found:?}");
}

#[test_case("/routes/0", "deadline_ms", "routes[0].deadline_ms"; "deadline")]
#[test_case("/routes/0/groups/1/keys", "end", "routes[0].groups[1].keys.end"; "end_of_a_range")]
#[test_case("/routes/0/capacity", "slots", "routes[0].capacity.slots"; "slots")]
fn parse_missing_field_is_the_only_fault(pointer: &str, field: &str, path: &str) {
    let mut edited = valid();
    let part = edited.pointer_mut(pointer).expect("the value exists");
    part.as_object_mut().expect("an object").remove(field);
    let missing = (path.to_owned(), "the field is missing".to_owned());
    assert_eq!(faults(&edited), [missing]);
}

#[test]
fn parse_execute_with_two_groups_is_rejected() {
    let mut edited = valid();
    edited["routes"][0]["kind"] = json!("execute");
    let found = faults(&edited);
    let paths: Vec<_> = found.iter().map(|(path, _)| path.as_str()).collect();
    let expected = [
        "routes[0].groups",
        "routes[0].hedge.budget_percent",
        "routes[0].soft_deadline",
    ];
    assert_eq!(paths, expected);
}

#[test_case(br#"{"callers":[],"routes":[],"routes":[]}"#, "routes", "more than once"; "key_twice")]
#[test_case(br#"{"callers":[{"name":"a","name":"b","class":"normal"}],"routes":[]}"#, "callers[0].name", "more than once"; "inner_key_twice")]
#[test_case(br#"{"callers":[],"routes":[]} x"#, "document", "isn't JSON"; "trailing_text")]
#[test_case(br#"{"callers":[],"#, "document", "line 1 column 14"; "cut_off")]
#[test_case(b"\xff\xfe", "document", "isn't JSON"; "no_text")]
#[test_case(b"[]", "document", "wrong type"; "no_object")]
fn parse_text_fault_is_the_only_one(text: &[u8], path: &str, wrong: &str) {
    let error = check::parse(text).expect_err("the text is faulty");
    assert_eq!(error.faults.len(), 1, "{error}");
    assert_eq!(error.faults[0].path.to_string(), path);
    assert!(error.faults[0].wrong.contains(wrong), "{error}");
}

#[test]
fn parse_value_above_a_megabyte_is_rejected() {
    let mut text = serde_json::to_vec(&valid()).expect("a value is JSON");
    text.resize(limit::VALUE_BYTES, b' ');
    check::parse(&text).expect("a value of the maximum size is accepted");
    text.push(b' ');
    let error = check::parse(&text).expect_err("the value is one byte too long");
    assert!(error.faults[0].wrong.contains("1000001 bytes"), "{error}");
}

#[test]
fn parse_execute_without_hedge_never_hedges() {
    let bytes = serde_json::to_vec(&valid()).expect("a value is JSON");
    let document = check::parse(&bytes).expect("the document is valid");
    assert_eq!(document.routes[1].hedge.budget_percent, 0.0);
    check::document(&document).expect("the parsed document is valid");
}

#[test]
fn parse_whole_number_as_fraction_is_accepted() {
    let text = serde_json::to_string(&valid()).expect("a value is JSON");
    let edited = text.replace(r#""deadline_ms":500"#, r#""deadline_ms":500.0"#);
    assert_ne!(text, edited);
    let document = check::parse(edited.as_bytes()).expect("500.0 is accepted as 500");
    assert_eq!(document.routes[0].deadline_ms, 500);
}

/// The first range contains the others, which do not overlap each other.
#[test]
fn parse_range_inside_another_is_rejected() {
    let mut edited = valid();
    let groups = [(0, 100), (10, 20), (50, 60)].map(|(start, end)| {
        json!({"name": format!("g{start}"), "keys": {"start": start, "end": end},
               "backend_servers": [format!("10.0.0.1:{}", start + 1)]})
    });
    edited["routes"][0]["groups"] = json!(groups);
    let found = faults(&edited);
    let paths: Vec<_> = found.iter().map(|(path, _)| path.as_str()).collect();
    assert_eq!(
        paths,
        ["routes[0].groups[1].keys", "routes[0].groups[2].keys"]
    );
}

/// A document with many kinds of faults, so that the snapshot shows any change of a message and any
/// fault that hides another.
#[test]
fn parse_very_bad_document_lists_all() {
    let error = check::parse(include_bytes!("documents/very_bad.json"))
        .expect_err("the document has faults");
    insta::assert_snapshot!(error);
    insta::assert_json_snapshot!("very_bad_json", error.faults);
}

// Guards against all daemons running out of memory when an operator publishes a broken file of the
// maximum size, which can have a fault for every second byte.
#[test_case("0", "routes"; "wrong_types")]
#[test_case("{\"name\":\"a\",\"class\":\"normal\"}", "callers"; "duplicate_names")]
fn parse_many_faults_lists_the_first(item: &str, list: &str) {
    let items = vec![item; 900_000 / (item.len() + 1)].join(",");
    let other = if list == "routes" {
        "callers"
    } else {
        "routes"
    };
    let text = format!("{{\"{list}\":[{items}],\"{other}\":[]}}");
    let error = check::parse(text.as_bytes()).expect_err("the document has faults");
    assert_eq!(error.faults.len(), 1_001);
    let first = error.faults[0].to_string();
    assert!(
        first.contains("more faults than the 1000 listed"),
        "{first}"
    );
}
