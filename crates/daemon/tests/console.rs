//! The configuration console, driven as a browser does.

mod support;

use monsoonring_configuration::{check, schema};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};
use std::net::SocketAddr;
use support::Daemon;
use support::form::{Form, unescape};
use support::http::{Response, exchange, get, post};
use support::service::Fake;
use test_case::test_case;

const FORM_TYPE: &str = "content-type: application/x-www-form-urlencoded";
const CASES: u32 = 256;

async fn daemon() -> Daemon {
    Daemon::start(Fake::default(), &[]).await
}

async fn first_page(operator_address: SocketAddr) -> Form {
    Form::parse(&exchange(operator_address, &get("/console")).await.body)
}

/// Returns the draft document in a page.
fn draft(page: &Response) -> Value {
    let form = Form::parse(&page.body);
    let text = form.value("draft").expect("the page has a draft");
    serde_json::from_str(text).expect("the draft is JSON")
}

/// Formats a page for a golden file: one tag per line, without style and draft.
fn golden(page: &Response) -> String {
    let style = page.body.split("<style>").nth(1).unwrap_or_default();
    let style = style.split("</style>").next().unwrap_or_default();
    let text = page.body.replace(style, "");
    let lines = text.replace('<', "\n<");
    let is_kept = |line: &&str| {
        let closes = line.starts_with("</") && line.ends_with('>');
        !line.is_empty() && !closes && !line.contains("name=\"draft\"")
    };
    let lines: Vec<&str> = lines.lines().filter(is_kept).collect();
    lines.join("\n")
}

#[tokio::test]
async fn console_session_ends_in_a_valid_document() {
    let daemon = daemon().await;
    let operator_address = daemon.operator_address;
    let start = exchange(operator_address, &get("/console")).await;
    insta::assert_snapshot!("session_1_overview", golden(&start));
    let route = Form::parse(&start.body)
        .press(operator_address, "open:/routes/0")
        .await;
    insta::assert_snapshot!("session_2_route", golden(&route));
    let faulty = Form::parse(&route.body)
        .with("/routes/0/deadline_ms", "soon")
        .with("/routes/0/groups/0/keys/end", "50")
        .press(operator_address, "check")
        .await;
    insta::assert_snapshot!("session_3_faults", golden(&faulty));
    let added = Form::parse(&faulty.body)
        .with("/routes/0/deadline_ms", "30000")
        .press(operator_address, "add:/routes/0/groups")
        .await;
    let corrected = Form::parse(&added.body)
        .with("/routes/0/groups/1/name", "b")
        .with("/routes/0/groups/1/keys/end", "100")
        .with(
            "/routes/0/groups/1/backend_servers",
            "127.0.0.1:7001\r\n127.0.0.1:7002",
        )
        .press(operator_address, "open:")
        .await;
    insta::assert_snapshot!("session_4_change", golden(&corrected));
    let file = Form::parse(&corrected.body)
        .send(operator_address, "/console/document")
        .await;
    assert_eq!(file.header("content-type"), Some("application/json"));
    assert!(
        file.header("content-disposition")
            .is_some_and(|value| value.starts_with("attachment"))
    );
    let document = check::parse(file.body.as_bytes()).expect("the document is valid");
    assert_eq!(document.routes[0].deadline_ms, 30_000);
    assert_eq!(document.routes[0].groups[1].backend_servers.len(), 2);
}

#[tokio::test]
async fn console_every_field_of_the_schema_can_be_filled_in() {
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address).await;
    for pointer in ["/callers/0", "/routes/0"] {
        let page = start
            .clone()
            .press(daemon.operator_address, &format!("open:{pointer}"))
            .await;
        let form = Form::parse(&page.body);
        let definition = if pointer.starts_with("/routes") {
            "Route"
        } else {
            "Caller"
        };
        for field in leaves(&schema::value()["$defs"][definition], pointer) {
            assert!(form.value(&field).is_some(), "no input for {field}");
        }
    }
}

/// Returns the pointers of all fields below `pointer`; for lists of objects, those of the first
/// item.
fn leaves(part: &'static Value, pointer: &str) -> Vec<String> {
    let part = schema::resolve(part);
    if let Some(fields) = part["properties"].as_object() {
        let below = |(name, field)| leaves(field, &format!("{pointer}/{name}"));
        return fields.iter().flat_map(below).collect();
    }
    match part.get("items").map(schema::resolve) {
        Some(items) if items.get("properties").is_some() => leaves(items, &format!("{pointer}/0")),
        _ => vec![pointer.to_owned()],
    }
}

#[test_case("/routes/0/name", "a b", "has the wrong form"; "name")]
#[test_case("/routes/0/name", "", "the field is missing"; "missing")]
#[test_case("/routes/0/deadline_ms", "0", "is too low"; "too_low")]
#[test_case("/routes/0/deadline_ms", "1.5", "has the wrong type"; "not_an_integer")]
#[test_case("/routes/0/kind", "delete", "isn't one of the known values"; "unknown_choice")]
#[test_case("/routes/0/capacity/slots", "", "the field is missing"; "missing_in_object")]
#[test_case("/routes/0/hedge/quantile", "2", "is too high"; "too_high")]
#[test_case("/routes/0/soft_deadline/coverage", "0.9", "the field is missing"; "incomplete_object")]
#[test_case("/routes/0/callers", "nobody", "there is no caller `nobody`"; "unknown_caller")]
#[test_case("/routes/0/groups/0/backend_servers", "host:1", "isn't an IP address with a port"; "address")]
#[test_case("/routes/0/groups/0/keys/end", "99", "no group holds the keys 99..100"; "gap_in_keys")]
#[test_case("/routes/0/groups/0/weight", "-1", "is too low"; "weight")]
#[tokio::test]
async fn console_fault_is_shown_and_input_preserved(field: &str, value: &str, message: &str) {
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address).await;
    let route = start.press(daemon.operator_address, "open:/routes/0").await;
    let form = Form::parse(&route.body).with(field, value);
    let page = form.clone().press(daemon.operator_address, "check").await;
    assert!(unescape(&page.body).contains(message), "{}", page.body);
    let preserved = Form::parse(&page.body).0;
    let preserved = preserved
        .iter()
        .any(|(name, text)| name == field && text == value);
    assert!(preserved, "{}", page.body);
    let refused = form
        .send(daemon.operator_address, "/console/document")
        .await;
    let content_type = refused.header("content-type").unwrap_or_default();
    assert!(
        content_type.starts_with("text/html"),
        "an invalid document is not offered for download"
    );
}

#[test_case("add:/callers", "/callers/3", json!({"class": "normal"}); "add_caller")]
#[test_case("add:/routes", "/routes/2/groups/0", json!({"backend_servers": [], "keys": {}}); "add_route")]
#[test_case("add:/routes/0/groups", "/routes/0/groups/1", json!({"backend_servers": [], "keys": {"start": 100}}); "add_group")]
#[test_case("copy:/routes/1", "/routes/2/kind", json!("execute"); "copy")]
#[test_case("copy:/routes/1", "/routes/2/name", Value::Null; "copy_has_no_name")]
#[test_case("remove:/routes/0", "/routes/0/name", json!("tickets"); "remove_route")]
#[test_case("remove:/routes/0/groups/0", "/routes/0/groups", json!([]); "remove_group")]
#[test_case("remove:/callers/0", "/routes/0/callers", json!(["clerk"]); "remove_caller")]
#[test_case("remove:/callers", "/callers", Value::Null; "remove_field")]
#[test_case("remove:/callers/9", "/callers/0/name", json!("dispatch"); "remove_missing_caller")]
#[test_case("copy:", "/callers/0/name", json!("dispatch"); "copy_document")]
#[test_case("add:/elsewhere", "/elsewhere", Value::Null; "add_at_unknown_path")]
#[test_case("add:/routes/7/groups", "/routes/7", Value::Null; "add_to_missing_route")]
#[test_case("open:/routes/7", "/routes/1/name", json!("tickets"); "open_missing_route")]
#[tokio::test]
async fn console_button_edits_the_draft(button: &str, pointer: &str, expected: Value) {
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address).await;
    let page = start.press(daemon.operator_address, button).await;
    let draft = draft(&page);
    let found = draft.pointer(pointer).cloned().unwrap_or_default();
    assert_eq!(found, expected, "{draft}");
}

#[tokio::test]
async fn console_renamed_caller_keeps_its_routes() {
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address).await;
    let caller = start
        .press(daemon.operator_address, "open:/callers/0")
        .await;
    let form = Form::parse(&caller.body).with("/callers/0/name", "dispatchers");
    let page = form.press(daemon.operator_address, "open:").await;
    assert_eq!(
        draft(&page)["routes"][0]["callers"],
        json!(["dispatchers", "clerk"])
    );
}

#[tokio::test]
async fn console_no_box_ticked_removes_all_callers() {
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address).await;
    let route = start.press(daemon.operator_address, "open:/routes/0").await;
    let form = Form::parse(&route.body).with("/routes/0/callers", "");
    let page = form.press(daemon.operator_address, "open:").await;
    assert_eq!(draft(&page)["routes"][0]["callers"], json!([]));
    assert!(
        page.body.contains("caller dispatch loses hydrants"),
        "{}",
        page.body
    );
}

#[tokio::test]
async fn console_newer_revision_in_force_is_reported() {
    // Guards against reverting another operator's change: two operators start from the same
    // revision and publish one after the other.
    let daemon = daemon().await;
    let start = first_page(daemon.operator_address)
        .await
        .with("revision", "41");
    let page = start.press(daemon.operator_address, "check").await;
    let message = "Revision 42 has come into force since this draft was begun from revision 41";
    assert!(page.body.contains(message), "{}", page.body);
}

#[tokio::test]
async fn console_before_the_first_configuration_starts_empty() {
    let fake = Fake {
        configuration: None,
        ..Fake::default()
    };
    let daemon = Daemon::start(fake, &[]).await;
    let page = exchange(daemon.operator_address, &get("/console")).await;
    assert!(page.body.contains("nothing is in force here yet"));
    assert!(page.body.contains("not ready (no configuration)"));
    assert_eq!(draft(&page), json!({"callers": [], "routes": []}));
}

#[test_case("{\"callers\": [", "it isn't JSON", "{\"callers\": ["; "broken")]
#[test_case("", "it isn't JSON", ""; "empty")]
#[test_case("{\"callers\":[],\"callers\":[],\"routes\":[]}", "the same name it has kept the last", ""; "field_twice")]
#[test_case("{\"callers\":[],\"routes\":[],\"colour\":1}", "there is no field of this name", ""; "unknown_field")]
#[test_case("[]", "has the wrong type", ""; "not_an_object")]
#[test_case("{\"callers\":{},\"routes\":[3]}", "has the wrong type", ""; "wrong_types")]
#[tokio::test]
async fn console_pasted_text_shows_its_faults(text: &str, message: &str, preserved: &str) {
    let daemon = daemon().await;
    let form = Form::default().with("draft", text);
    let page = form.press(daemon.operator_address, "load").await;
    assert_eq!(page.status, 200);
    let shown = unescape(&page.body);
    assert!(
        shown.contains(message) && shown.contains(preserved),
        "{shown}"
    );
}

#[tokio::test]
async fn console_text_of_a_draft_is_escaped() {
    // Guards against script injection through the names in a pasted document.
    let daemon = daemon().await;
    let markup = "\"><script>alert(1)</script>";
    let text = json!({
        "callers": [{"name": markup, "class": markup}],
        "routes": [{"name": markup, markup: markup, "callers": [markup], "groups": [{"name": markup}]}],
        markup: markup,
    });
    let text = text.to_string();
    for button in ["load", "open:/callers/0", "open:/routes/0"] {
        let form = Form::default().with("draft", &text);
        let page = form.press(daemon.operator_address, button).await;
        assert_eq!(page.status, 200);
        assert!(!page.body.contains("<script"), "{button}: {}", page.body);
        let policy = page.header("content-security-policy").unwrap_or_default();
        assert!(policy.contains("default-src 'none'"), "{policy}");
    }
}

#[test_case("/console", &["content-type: application/json"], "{}", 415; "not_a_form")]
#[test_case("/console", &[], "a=b", 415; "without_content_type")]
#[test_case("/console", &[FORM_TYPE, "sec-fetch-site: cross-site"], "draft={}", 403; "cross_site")]
#[test_case("/console", &[FORM_TYPE, "sec-fetch-site: same-origin"], "draft={}", 200; "same_origin")]
#[test_case("/metrics", &[FORM_TYPE], "a=b", 405; "not_the_console")]
#[tokio::test]
async fn console_post(path: &str, headers: &[&str], body: &str, status: u16) {
    let daemon = daemon().await;
    let response = exchange(daemon.operator_address, &post(path, headers, body)).await;
    assert_eq!(response.status, status, "{}", response.body);
}

#[tokio::test]
async fn console_document_is_only_sent_for_a_form() {
    let daemon = daemon().await;
    let response = exchange(daemon.operator_address, &get("/console/document")).await;
    assert_eq!(response.status, 405);
}

#[tokio::test]
async fn console_form_too_large_is_refused() {
    // Guards against running out of memory on forms that are very large or have very many fields.
    let daemon = daemon().await;
    let large = post("/console", &[FORM_TYPE], &"a".repeat(4_000_001));
    assert_eq!(exchange(daemon.operator_address, &large).await.status, 413);
    let many = post("/console", &[FORM_TYPE], &"a=&".repeat(50_001));
    assert_eq!(exchange(daemon.operator_address, &many).await.status, 413);
    assert_eq!(
        exchange(daemon.operator_address, &get("/console"))
            .await
            .status,
        200
    );
}

/// Generates JSON that resembles a document.
fn arbitrary_value() -> impl Strategy<Value = Value> {
    let names = [
        "callers", "routes", "groups", "name", "keys", "start", "end", "hedge", "capacity", "~/",
        "",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,8}".prop_map(Value::from),
        Just(json!("127.0.0.1:7000")),
    ];
    leaf.prop_recursive(6, 48, 6, move |inner| {
        let fields =
            prop::collection::btree_map(prop::sample::select(names.to_vec()), inner.clone(), 0..6);
        prop_oneof![
            prop::collection::vec(inner, 0..6).prop_map(Value::from),
            fields.prop_map(|fields| {
                fields
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value))
                    .collect()
            }),
        ]
    })
}

fn arbitrary_pointer() -> impl Strategy<Value = String> {
    let segments = [
        "callers",
        "routes",
        "groups",
        "name",
        "keys",
        "start",
        "hedge",
        "backend_servers",
        "0",
        "1",
        "18446744073709551616",
        "-1",
        "~2",
        "",
    ];
    let segments = prop::collection::vec(prop::sample::select(segments.to_vec()), 0..6);
    let arbitrary = segments.prop_map(|segments| {
        segments
            .iter()
            .map(|segment| format!("/{segment}"))
            .collect()
    });
    let likely = [
        "/callers",
        "/callers/0",
        "/callers/1",
        "/callers/0/name",
        "/routes",
        "/routes/0",
        "/routes/1",
        "/routes/0/groups",
        "/routes/0/groups/0",
        "/routes/0/groups/1",
        "/routes/0/groups/0/keys",
        "/routes/0/hedge/quantile",
        "/routes/0/callers",
    ];
    let likely = prop::sample::select(likely.to_vec()).prop_map(str::to_owned);
    prop_oneof![arbitrary, likely]
}

fn arbitrary_form() -> impl Strategy<Value = Form> {
    let verb = prop::sample::select(vec![
        "open:", "add:", "copy:", "remove:", "check", "load", ":",
    ]);
    let field = (arbitrary_pointer(), "\\PC{0,12}");
    let fields = prop::collection::vec(field, 0..8);
    let known = prop::sample::select(vec![
        Value::Null,
        json!({"callers": [{}], "routes": [{"groups": [{}]}]}),
    ]);
    let draft = prop_oneof![arbitrary_value(), known];
    (
        draft,
        arbitrary_pointer(),
        verb,
        arbitrary_pointer(),
        fields,
    )
        .prop_map(|(draft, part, verb, at, fields)| {
            Form(fields)
                .with("draft", &draft.to_string())
                .with("part", &part)
                .with("do", &format!("{verb}{at}"))
        })
}

#[test]
fn console_form_of_any_kind_is_answered() {
    // Guards against panics on forms whose draft, fields and buttons are inconsistent.
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let daemon = runtime.block_on(daemon());
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&arbitrary_form(), |form| {
        let page = runtime.block_on(form.send(daemon.operator_address, "/console"));
        prop_assert_eq!(page.status, 200, "{}", page.body);
        prop_assert!(page.body.ends_with("</html>"));
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
