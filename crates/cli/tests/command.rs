//! Golden files of `monsoonring` as a script or a person sees it, against a daemon of canned answers.

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
/// A document that claims success under a status that denies it.
const MISLEADING: &str = r#"{"title":"odd","status":500,"outcome":"complete"}"#;

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
    let seen_after = |text: String| format!("{text}--- requests\n{}\n", stub.seen());
    seen_after(run(&arguments)).replace(&address, "DAEMON")
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
#[test_case("misleading", || answer(500, MISLEADING))]
#[test_case("no_json", || answer(200, "<html>"))]
#[test_case("hang_up", || Reaction::HangUp)]
fn query_outcome(name: &str, reaction: fn() -> Reaction) {
    insta::assert_snapshot!(format!("query_{name}"), query(reaction(), false));
    insta::assert_snapshot!(format!("query_{name}_json"), query(reaction(), true));
}

fn execute(reactions: Vec<(&'static str, Reaction)>, more: &[&str]) -> String {
    let stub = Stub::start(reactions);
    let address = stub.address.to_string();
    let mut arguments = vec!["execute", "--daemon", &address, "--caller", "inspector"];
    arguments.extend(more);
    arguments.extend(["tickets", r#"{"hydrant":3}"#]);
    let text = run(&arguments);
    format!("{text}--- requests\n{}\n", stub.seen()).replace(&address, "DAEMON")
}

fn issued() -> (&'static str, Reaction) {
    let headers = vec![("idempotency-key", "key-1")];
    (KEYS_PATH, Reaction::Answer(201, headers, String::new()))
}

#[test_case("executed", || answer(200, EXECUTED))]
#[test_case("unknown", || answer(504, UNKNOWN))]
#[test_case("not_run", || retry_after(503, NOT_RUN))]
fn execute_outcome(name: &str, reaction: fn() -> Reaction) {
    let text = execute(vec![issued(), (EXECUTE_PATH, reaction())], &[]);
    insta::assert_snapshot!(format!("execute_{name}"), text);
}

#[test]
fn execute_given_key_is_sent_as_it_is() {
    let reactions = vec![(EXECUTE_PATH, answer(200, EXECUTED))];
    let text = execute(
        reactions,
        &["--idempotency-key", "mine", "--send", "2", "--json"],
    );
    insta::assert_snapshot!("execute_given_key", text);
}

#[test]
fn execute_refused_key_did_not_run() {
    let text = execute(vec![(KEYS_PATH, answer(404, "{}"))], &[]);
    insta::assert_snapshot!("execute_refused_key", text);
}

// Symptom: a script sends a repair ticket again with a new key, and two teams drive to one valve.
// Events: the ticket leaves, the daemon runs it, the connection ends before the answer arrives.
// Cause: an exchange without an answer is taken for one that never began.
#[test_case("hang_up", || Reaction::HangUp)]
#[test_case("no_json", || answer(200, "<html>"))]
#[test_case("no_problem", || answer(502, "bad gateway"))]
fn execute_lost_answer_is_unknown(name: &str, reaction: fn() -> Reaction) {
    let text = execute(vec![issued(), (EXECUTE_PATH, reaction())], &[]);
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
fn run_help_names_the_codes() {
    insta::assert_snapshot!("help", run(&["--help"]));
}

const SEVEN: &str = r#"{"address":"127.0.0.1:4001","ready":true,"not_ready_because":null,
"configuration":{"revision":7,"digest":"aa","conflicts":0},"members":[
{"address":"127.0.0.1:4001","data_centre":"tunis-1","state":"alive"},
{"address":"127.0.0.1:4002","data_centre":"tunis-2","state":"suspect"}],
"routes":[{"name":"dispatch","homes":["127.0.0.1:4002"],"home":null},
{"name":"tickets","homes":["127.0.0.1:4001"],"home":{"in_progress":2,
"backend_servers":[{"server":"127.0.0.1:8003","leaving":true},{"server":"127.0.0.1:8004","leaving":false}]}}],
"facts":[{"what":"crashing request","of":"00c0ffee00c0ffee","life_ms":60000},
{"what":"leaving backend server","of":"127.0.0.1:8003","life_ms":60000}],
"more":"than the command knows"}"#;
/// Another daemon, which sees members, homes and a leaving server in another way.
const SEVEN_BEHIND: &str = r#"{"address":"127.0.0.1:4002","isolated":true,
"configuration":{"revision":7,"digest":"aa","conflicts":2},"members":[
{"address":"127.0.0.1:4002","data_centre":"tunis-2","state":"alive"},
{"address":"127.0.0.1:4003","data_centre":"tunis-2","state":"dead"}],
"routes":[{"name":"dispatch","homes":["127.0.0.1:4002"],"home":{"backend_servers":[]}},
{"name":"tickets","homes":["127.0.0.1:4002"],"home":{
"backend_servers":[{"server":"127.0.0.1:8003","leaving":false}]}}]}"#;
const SEVEN_OTHERWISE: &str = r#"{"configuration":{"revision":7,"digest":"bb"}}"#;
const SIX: &str = r#"{"configuration":{"revision":6,"digest":"cc"}}"#;
const STARTING: &str =
    r#"{"configuration":{"revision":null},"not_ready_because":"no configuration"}"#;
const METRICS: &str = r#"# TYPE monsoonring_refusals counter
monsoonring_refusals_total{route="dispatch",class="urgent",reason="overload"} 1
monsoonring_refusals_total{route="tickets",class="normal",reason="overload"} 2
monsoonring_refusals_total{route="",class="",reason="caller"} 1
monsoonring_requests_total{route="dispatch",outcome="complete"} 90
"#;

fn status(bodies: &[&str], silent: bool, json: bool) -> String {
    let stub = |body: &&str| Stub::start(vec![("/state", answer(200, body))]);
    let mut stubs: Vec<Stub> = bodies.iter().map(stub).collect();
    stubs.sort_by_key(|stub| stub.address);
    let mut addresses: Vec<String> = stubs.iter().map(|stub| stub.address.to_string()).collect();
    addresses.extend(silent.then(|| "127.0.0.1:1".to_owned()));
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
        ("/state", answer(200, SEVEN)),
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

/// What a gateway says that has lost the way to what it knows from.
const GATEWAY: &str = r#"{"address":"10.1.0.39:8224","ready":true,"not_ready_because":null,
    "configuration":{"revision":17,"digest":"17","conflicts":0,"age_ms":41200,"source":"store, lost"},
    "registry":{"registered":92,"doubted":3,"usable":90},"hosts":12,
    "members":[{"address":"10.1.0.39:8224","data_centre":"north","state":"alive"},
        {"address":"10.2.0.33:8224","data_centre":"south","state":"dead"}],
    "routes":[{"name":"map0..map9","homes":[],"home":{"retries_left":7.25,"backend_servers":[
        {"server":"10.3.0.1:8000","leaving":false}]}}],"facts":[]}"#;

#[test]
fn status_gateway_tells_age_source_and_what_is_left() {
    let stub = Stub::start(vec![("/state", answer(200, GATEWAY))]);
    let address = stub.address.to_string();
    let text = |json: &[&str]| {
        let arguments = [&["status", "--daemon", &address], json].concat();
        run(&arguments).replace(&address, "127.0.0.1:DAEMON")
    };
    insta::assert_snapshot!("status_gateway", text(&[]));
    insta::assert_snapshot!("status_gateway_json", text(&["--json"]));
}

#[test_case(&[SEVEN, SEVEN], false, 0 ; "agreement")]
#[test_case(&[SEVEN, SIX], false, 8 ; "two revisions")]
#[test_case(&[SEVEN, SEVEN_OTHERWISE], false, 8 ; "one revision of two digests")]
#[test_case(&[SEVEN, STARTING], false, 8 ; "one without a configuration")]
#[test_case(&[SEVEN], true, 7 ; "one unreachable")]
#[test_case(&[SEVEN, SIX], true, 8 ; "disagreement goes before unreachable")]
#[test_case(&["[]"], false, 7 ; "unreadable state")]
#[test_case(&["{}"], false, 7 ; "no state")]
#[test_case(&[r#"{"configuration":{}}"#], false, 7 ; "state without a revision")]
fn status_code(bodies: &[&str], silent: bool, code: i32) {
    let text = status(bodies, silent, false);
    assert!(text.starts_with(&format!("exit {code}\n")), "{text}");
    let json = status(bodies, silent, true);
    assert!(json.starts_with(&format!("exit {code}\n")), "{json}");
}

#[test]
fn status_tells_where_daemons_disagree() {
    let stubs = [SEVEN, SEVEN_BEHIND].map(|body| Stub::start(vec![("/state", answer(200, body))]));
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
        "SECOND saw 2 documents under a revision that another one has: publish again",
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

/// What a daemon that took a request knows of it.
const PASSED: &str = r#"{"request":"0a","decisions":[
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
fn explain_answer(name: &str, which: &[&str], path: &'static str, body: &str) {
    let stub = Stub::start(vec![(path, answer(200, body))]);
    let address = stub.address.to_string();
    let arguments = [&["explain", "--daemon", &address], which].concat();
    let text = |arguments: &[&str]| run(arguments).replace(&address, "127.0.0.1:DAEMON");
    insta::assert_snapshot!(format!("explain_{name}"), text(&arguments));
    let json = text(&[&arguments[..], &["--json"]].concat());
    insta::assert_snapshot!(format!("explain_{name}_json"), json);
}

#[test]
fn explain_decisions_of_several_daemons_are_in_order() {
    let home = Stub::start(vec![(REQUEST_PATH, answer(200, DECISIONS))]);
    let taker = Stub::start(vec![(REQUEST_PATH, answer(200, PASSED))]);
    let other = Stub::start(Vec::new());
    let addresses = [&home, &taker, &other].map(|stub| stub.address.to_string());
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
fn explain_unknown_request_is_said_so() {
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
