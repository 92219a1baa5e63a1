//! Golden files and exit codes of the `monsoonring` subcommands, against a stub daemon.

mod stub;

use stub::{Reaction, Stub, answer, run};
use test_case::test_case;

const COMPLETE: &str = r#"{"request":"0a","status":"complete","coverage":1.0,"index_version":7,
"missing":[],"items":[{"key":3,"value":{"street":"Rue 3","dry":false}},{"key":8,"value":null}]}"#;
const PARTIAL: &str = r#"{"request":"0b","status":"partial","coverage":0.9,"index_version":7,
"missing":[{"start":90,"end":100}],"items":[]}"#;
const NOT_RUN: &str = r#"{"type":"about:blank","title":"overload","status":503,
"detail":"no room in time","request":"0c","outcome":"not_run"}"#;
const FAILED: &str = r#"{"title":"backend_server","status":502,"request":"0d","outcome":"failed"}"#;
const UNKNOWN: &str = r#"{"title":"lost","status":504,"request":"0e","outcome":"unknown"}"#;
const EXECUTED: &str = r#"{"request":"0f","status":"executed","value":{"ticket":41}}"#;
/// A problem document whose outcome contradicts its HTTP status.
const CONTRADICTORY: &str = r#"{"title":"odd","status":500,"outcome":"complete"}"#;

const QUERY_PATH: &str = "/routes/dispatch/query";
const KEYS_PATH: &str = "/routes/tickets/keys";
const EXECUTE_PATH: &str = "/routes/tickets/execute";

fn query(reaction: Reaction, json: bool) -> String {
    let stub = Stub::start(vec![(QUERY_PATH, reaction)]);
    let address = stub.address.to_string();
    let mut arguments = vec!["query", "--daemon", &address, "--caller", "dispatcher"];
    arguments.extend([
        "--deadline-ms",
        "500",
        "--token",
        "secret",
        "dispatch",
        r#"{"near":3}"#,
    ]);
    arguments.extend(json.then_some("--json"));
    let with_requests = |text: String| format!("{text}--- requests\n{}\n", stub.requests());
    with_requests(run(&arguments)).replace(&address, "DAEMON")
}

fn retry_after(status: u16, body: &str) -> Reaction {
    Reaction::Answer(
        status,
        vec![("monsoonring-retry-after-ms", "250")],
        body.to_owned(),
    )
}

#[test_case("complete", || answer(200, COMPLETE))]
#[test_case("partial", || answer(200, PARTIAL))]
#[test_case("not_run", || retry_after(503, NOT_RUN))]
#[test_case("failed", || answer(502, FAILED))]
#[test_case("misleading", || answer(500, CONTRADICTORY))]
#[test_case("no_json", || answer(200, "<html>"))]
#[test_case("hang_up", || Reaction::HangUp)]
fn query_outcome(name: &str, reaction: fn() -> Reaction) {
    insta::assert_snapshot!(format!("query_{name}"), query(reaction(), false));
    insta::assert_snapshot!(format!("query_{name}_json"), query(reaction(), true));
}

fn execute(reactions: Vec<(&'static str, Reaction)>, options: &[&str]) -> String {
    let stub = Stub::start(reactions);
    let address = stub.address.to_string();
    let mut arguments = vec!["execute", "--daemon", &address, "--caller", "inspector"];
    arguments.extend(options);
    arguments.extend(["tickets", r#"{"hydrant":3}"#]);
    let text = run(&arguments);
    format!("{text}--- requests\n{}\n", stub.requests()).replace(&address, "DAEMON")
}

fn issued_key() -> (&'static str, Reaction) {
    let headers = vec![("idempotency-key", "key-1")];
    (KEYS_PATH, Reaction::Answer(201, headers, String::new()))
}

#[test_case("executed", || answer(200, EXECUTED))]
#[test_case("unknown", || answer(504, UNKNOWN))]
#[test_case("not_run", || retry_after(503, NOT_RUN))]
fn execute_outcome(name: &str, reaction: fn() -> Reaction) {
    let text = execute(vec![issued_key(), (EXECUTE_PATH, reaction())], &[]);
    insta::assert_snapshot!(format!("execute_{name}"), text);
}

#[test]
fn execute_given_key_is_sent_unchanged() {
    let reactions = vec![(EXECUTE_PATH, answer(200, EXECUTED))];
    let text = execute(
        reactions,
        &["--idempotency-key", "mine", "--send", "2", "--json"],
    );
    insta::assert_snapshot!("execute_given_key", text);
}

#[test]
fn execute_without_issued_key_is_not_run() {
    let text = execute(vec![(KEYS_PATH, answer(404, "{}"))], &[]);
    insta::assert_snapshot!("execute_refused_key", text);
}

// Guards against reporting "not run" if the connection is lost after the request was sent: a script
// would retry with a new key, and the request would run twice.
#[test_case("hang_up", || Reaction::HangUp)]
#[test_case("no_json", || answer(200, "<html>"))]
#[test_case("no_problem", || answer(502, "bad gateway"))]
fn execute_lost_answer_is_unknown(name: &str, reaction: fn() -> Reaction) {
    let text = execute(vec![issued_key(), (EXECUTE_PATH, reaction())], &[]);
    assert!(text.starts_with("exit 6\n"), "{name}: {text}");
    assert!(text.contains("idempotency-key: key-1"), "{name}: {text}");
}

#[test_case(&["query", "--caller", "x", "--daemon", "127.0.0.1:1", "r", "{"], 2 ; "body is no json")]
#[test_case(&["query", "--caller", "x", "r", "{}"], 2 ; "no daemon")]
#[test_case(&["explain", "--daemon", "127.0.0.1:1", "--route", "r"], 2 ; "route without server")]
#[test_case(&["query", "--caller", "x", "--daemon", "127.0.0.1:1", "r", "{}"], 7 ; "query unreachable")]
#[test_case(&["execute", "--caller", "x", "--daemon", "127.0.0.1:1", "r", "{}"], 7 ; "execute unreachable")]
#[test_case(&["execute", "--caller", "x", "--daemon", "127.0.0.1:1", "--idempotency-key", "k", "r", "{}"], 7 ; "execute with key unreachable")]
#[test_case(&["explain", "--daemon", "127.0.0.1:1", "--request", "0a"], 7 ; "explain unreachable")]
fn run_code(arguments: &[&str], code: i32) {
    let text = run(arguments);
    assert!(text.starts_with(&format!("exit {code}\n")), "{text}");
}

#[test]
fn run_help_lists_the_exit_codes() {
    insta::assert_snapshot!("help", run(&["--help"]));
}

const REVISION_7: &str = r#"{"address":"127.0.0.1:4001","ready":true,"not_ready_because":null,
"configuration":{"revision":7,"digest":"aa","conflicts":0},"members":[
{"address":"127.0.0.1:4001","data_centre":"tunis-1","state":"alive"},
{"address":"127.0.0.1:4002","data_centre":"tunis-2","state":"suspect"}],
"routes":[{"name":"dispatch","homes":["127.0.0.1:4002"],"home":null},
{"name":"tickets","homes":["127.0.0.1:4001"],"home":{"in_progress":2,
"backend_servers":[{"server":"127.0.0.1:8003","leaving":true},{"server":"127.0.0.1:8004","leaving":false}]}}],
"facts":[{"what":"crashing request","of":"00c0ffee00c0ffee","life_ms":60000},
{"what":"leaving backend server","of":"127.0.0.1:8003","life_ms":60000}],
"more":"than the command knows"}"#;
/// State of a daemon whose view of members, homes and leaving servers differs from [`REVISION_7`].
const REVISION_7_OTHER_VIEW: &str = r#"{"address":"127.0.0.1:4002","isolated":true,
"configuration":{"revision":7,"digest":"aa","conflicts":2},"members":[
{"address":"127.0.0.1:4002","data_centre":"tunis-2","state":"alive"},
{"address":"127.0.0.1:4003","data_centre":"tunis-2","state":"dead"}],
"routes":[{"name":"dispatch","homes":["127.0.0.1:4002"],"home":{"backend_servers":[]}},
{"name":"tickets","homes":["127.0.0.1:4002"],"home":{
"backend_servers":[{"server":"127.0.0.1:8003","leaving":false}]}}]}"#;
const REVISION_7_OTHER_DIGEST: &str = r#"{"configuration":{"revision":7,"digest":"bb"}}"#;
const REVISION_6: &str = r#"{"configuration":{"revision":6,"digest":"cc"}}"#;
const NO_REVISION: &str =
    r#"{"configuration":{"revision":null},"not_ready_because":"no configuration"}"#;
const METRICS: &str = r#"# TYPE monsoonring_refusals counter
monsoonring_refusals_total{route="dispatch",class="urgent",reason="overload"} 1
monsoonring_refusals_total{route="tickets",class="normal",reason="overload"} 2
monsoonring_refusals_total{route="",class="",reason="caller"} 1
monsoonring_requests_total{route="dispatch",outcome="complete"} 90
"#;

fn status(bodies: &[&str], unreachable: bool, json: bool) -> String {
    let stub = |body: &&str| Stub::start(vec![("/state", answer(200, body))]);
    let mut stubs: Vec<Stub> = bodies.iter().map(stub).collect();
    stubs.sort_by_key(|stub| stub.address);
    let mut addresses: Vec<String> = stubs.iter().map(|stub| stub.address.to_string()).collect();
    addresses.extend(unreachable.then(|| "127.0.0.1:1".to_owned()));
    let mut arguments = vec!["status"];
    for address in &addresses {
        arguments.extend(["--daemon", address]);
    }
    arguments.extend(json.then_some("--json"));
    run(&arguments)
}

#[test]
fn status_one_daemon() {
    let reactions = vec![
        ("/state", answer(200, REVISION_7)),
        ("/metrics", answer(200, METRICS)),
    ];
    let stub = Stub::start(reactions);
    let address = stub.address.to_string();
    let text = |json: &[&str]| {
        let arguments = [&["status", "--daemon", &address], json].concat();
        run(&arguments).replace(&address, "127.0.0.1:DAEMON")
    };
    insta::assert_snapshot!("status", text(&[]));
    insta::assert_snapshot!("status_json", text(&["--json"]));
}

/// State of a gateway that has lost its store.
const GATEWAY: &str = r#"{"address":"10.1.0.39:8224","ready":true,"not_ready_because":null,
    "configuration":{"revision":17,"digest":"17","conflicts":0,"age_ms":41200,"source":"store, lost"},
    "registry":{"registered":92,"doubted":3,"usable":90},"hosts":12,
    "members":[{"address":"10.1.0.39:8224","data_centre":"north","state":"alive"},
        {"address":"10.2.0.33:8224","data_centre":"south","state":"dead"}],
    "routes":[{"name":"map0..map9","homes":[],"home":{"retries_left":7.25,"backend_servers":[
        {"server":"10.3.0.1:8000","leaving":false}]}}],"facts":[]}"#;

#[test]
fn status_gateway_shows_age_source_and_retries_left() {
    let stub = Stub::start(vec![("/state", answer(200, GATEWAY))]);
    let address = stub.address.to_string();
    let text = |json: &[&str]| {
        let arguments = [&["status", "--daemon", &address], json].concat();
        run(&arguments).replace(&address, "127.0.0.1:DAEMON")
    };
    insta::assert_snapshot!("status_gateway", text(&[]));
    insta::assert_snapshot!("status_gateway_json", text(&["--json"]));
}

#[test_case(&[REVISION_7, REVISION_7], false, 0 ; "agreement")]
#[test_case(&[REVISION_7, REVISION_6], false, 8 ; "two revisions")]
#[test_case(&[REVISION_7, REVISION_7_OTHER_DIGEST], false, 8 ; "one revision with two digests")]
#[test_case(&[REVISION_7, NO_REVISION], false, 8 ; "one without a configuration")]
#[test_case(&[REVISION_7], true, 7 ; "one unreachable")]
#[test_case(&[REVISION_7, REVISION_6], true, 8 ; "disagreement takes precedence over unreachable")]
#[test_case(&["[]"], false, 7 ; "unreadable state")]
#[test_case(&["{}"], false, 7 ; "no state")]
#[test_case(&[r#"{"configuration":{}}"#], false, 7 ; "state without a revision")]
fn status_code(bodies: &[&str], unreachable: bool, code: i32) {
    let text = status(bodies, unreachable, false);
    assert!(text.starts_with(&format!("exit {code}\n")), "{text}");
    let json = status(bodies, unreachable, true);
    assert!(json.starts_with(&format!("exit {code}\n")), "{json}");
}

#[test]
fn status_lists_disagreements() {
    let stubs = [REVISION_7, REVISION_7_OTHER_VIEW]
        .map(|body| Stub::start(vec![("/state", answer(200, body))]));
    let addresses = stubs.each_ref().map(|stub| stub.address.to_string());
    let text = run(&[
        "status",
        "--daemon",
        &addresses[0],
        "--daemon",
        &addresses[1],
    ]);
    let lines = [
        "member 127.0.0.1:4001: alive at FIRST; not known at SECOND",
        "member 127.0.0.1:4002: alive at SECOND; suspect at FIRST",
        "member 127.0.0.1:4003: dead at SECOND; not known at FIRST",
        "homes of tickets: 127.0.0.1:4001 at FIRST; 127.0.0.1:4002 at SECOND",
        "backend server 127.0.0.1:8003: leaving at FIRST, not at SECOND",
        "SECOND is probably cut off: too many members died at once",
        "SECOND saw 2 documents that share a revision with another one: publish again",
        "FIRST refuses requests that crash backend servers: 00c0ffee00c0ffee",
    ];
    for line in lines {
        let line = line
            .replace("FIRST", &addresses[0])
            .replace("SECOND", &addresses[1]);
        assert!(text.contains(&line), "{line}: {text}");
    }
    assert!(!text.contains("homes of dispatch"), "{text}");
}

/// Decisions of the daemon that received the request.
const FORWARDED: &str = r#"{"request":"0a","decisions":[
{"at_ms":7,"ago_ms":5020,"route":"dispatch","decision":"pass on","home":"127.0.0.1:4002",
"reason":"near, 0 outstanding, one of 2 homes"}]}"#;
const DECISIONS: &str = r#"{"request":"0a","decisions":[
{"at_ms":120,"ago_ms":5011,"route":"dispatch","decision":"send","backend_server":"127.0.0.1:8001","reason":"outstanding 0 of 3"},
{"at_ms":131,"ago_ms":5000,"route":"dispatch","decision":"hedge","backend_server":"127.0.0.1:8002","reason":"11 ms > p95 9 ms"}]}"#;
const SERVER: &str = r#"{"route":"dispatch","backend_server":{"server":"127.0.0.1:8001",
"leaving":false,"outstanding":2,"versions":[6,7]}}"#;
const REQUEST_PATH: &str = "/explain?request=0a";
const SERVER_PATH: &str = "/explain?route=dispatch&backend_server=127.0.0.1:8001";
const BY_SERVER: &[&str] = &["--route", "dispatch", "--backend-server", "127.0.0.1:8001"];

#[test_case("request", &["--request", "0a"], REQUEST_PATH, DECISIONS)]
#[test_case("backend_server", BY_SERVER, SERVER_PATH, SERVER)]
fn explain_answer(name: &str, selector: &[&str], path: &'static str, body: &str) {
    let stub = Stub::start(vec![(path, answer(200, body))]);
    let address = stub.address.to_string();
    let arguments = [&["explain", "--daemon", &address], selector].concat();
    let text = |arguments: &[&str]| run(arguments).replace(&address, "127.0.0.1:DAEMON");
    insta::assert_snapshot!(format!("explain_{name}"), text(&arguments));
    let json = text(&[&arguments[..], &["--json"]].concat());
    insta::assert_snapshot!(format!("explain_{name}_json"), json);
}

#[test]
fn explain_merges_decisions_of_several_daemons() {
    let home = Stub::start(vec![(REQUEST_PATH, answer(200, DECISIONS))]);
    let receiver = Stub::start(vec![(REQUEST_PATH, answer(200, FORWARDED))]);
    let other = Stub::start(Vec::new());
    let addresses = [&home, &receiver, &other].map(|stub| stub.address.to_string());
    let mut arguments = vec!["explain", "--request", "0a"];
    for address in &addresses {
        arguments.extend(["--daemon", address]);
    }
    let text = run(&arguments);
    let names = ["HOME", "TAKER", "OTHER"];
    let text = addresses
        .iter()
        .zip(names)
        .fold(text, |text, (address, name)| {
            text.replace(&format!("{address:<15}"), &format!("{name:<15}"))
        });
    insta::assert_snapshot!("explain_several", text);
}

#[test]
fn explain_reports_unknown_request() {
    let stub = Stub::start(Vec::new());
    let text = run(&[
        "explain",
        "--daemon",
        &stub.address.to_string(),
        "--request",
        "0a",
    ]);
    assert!(
        text.starts_with("exit 2\n") && text.contains("nothing is known"),
        "{text}"
    );
}
