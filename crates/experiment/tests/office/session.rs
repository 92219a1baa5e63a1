//! A session: commands that are run, what they print, and what happens between them.

use monsoonring_experiment::caller::Caller;
use monsoonring_experiment::deployment::{Deployment, Launch, Setup};
use monsoonring_experiment::scenario::Policy;
use monsoonring_fakes::backend_server::Fault;
use monsoonring_fakes::configuration_service::DOCUMENT;
use monsoonring_fakes::fleet::Shape;
use std::fmt::Write;
use std::path::PathBuf;
use std::process::{Output, Stdio};
use std::time::Duration;
use tokio::process::Command;

/// Time between two looks at a state that is waited for.
const POLL: Duration = Duration::from_millis(50);

/// Looks at a state before the test is given up as hanging.
const POLLS: usize = 600;

/// Hexadecimal digits of a request's id.
const REQUEST_DIGITS: usize = 32;

/// Two daemons with their surroundings, and the transcript of what was done to them.
pub(crate) struct Session {
    deployment: Option<Deployment>,
    text: String,
}

impl Session {
    pub(crate) async fn start(shapes: impl IntoIterator<Item = Shape>) -> Self {
        let deployment = Deployment::start(Setup {
            shapes: shapes.into_iter().collect(),
            policy: Policy::document(),
            daemons: 2,
            launch: Launch::Processes(binary("monsoonringd")),
        });
        let deployment = deployment.await.expect("two daemons that are ready");
        Self {
            deployment: Some(deployment),
            text: String::new(),
        }
    }

    pub(crate) fn transcript(&self) -> &str {
        &self.text
    }

    /// Checks the document in force.
    pub(crate) async fn check(&mut self) {
        let document = self.deployment().fleet.document();
        let text = serde_json::to_vec(&document).expect("a document is JSON");
        self.run(&["check", "-"], Some(&text)).await;
    }

    /// Asks each daemon by itself, so that the lines stand in the order of the daemons.
    pub(crate) async fn status(&mut self) {
        let daemons = self.deployment().daemons.iter();
        let operators: Vec<String> = daemons.map(|daemon| daemon.operator.to_string()).collect();
        for operator in operators {
            self.run(&["status", "--daemon", &operator], None).await;
        }
    }

    pub(crate) async fn query(&mut self, daemon: usize, caller: &str, route: &str, body: &str) {
        let address = self.deployment().daemons[daemon].caller.to_string();
        let arguments = [
            "query", "--daemon", &address, "--caller", caller, route, body,
        ];
        self.run(&arguments, None).await;
    }

    /// Sends a non-idempotent request to one daemon, and again under the same key to the other.
    pub(crate) async fn ticket(&mut self, caller: &str, route: &str, body: &str) {
        let daemons = &self.deployment().daemons;
        let [first, second] = [daemons[0].caller.to_string(), daemons[1].caller.to_string()];
        let arguments = [
            "execute", "--daemon", &first, "--caller", caller, route, body,
        ];
        let output = self.run(&arguments, None).await;
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        let key = told.split_whitespace().find(|word| word.starts_with("m1."));
        let key = key.expect("the command tells the key").to_owned();
        let arguments = [
            "execute",
            "--daemon",
            &second,
            "--caller",
            caller,
            "--idempotency-key",
            &key,
            route,
            body,
        ];
        self.run(&arguments, None).await;
        let servers = self.deployment().fleet.group(route, 0);
        let runs = servers
            .iter()
            .map(|server| server.runs().get(&key).map_or(0, |run| run.started));
        let runs: u64 = runs.sum();
        self.note(&format!("the backend servers ran it {runs} time(s)"));
    }

    pub(crate) async fn kill_replica(&mut self, route: &str, group: usize, replica: usize) {
        self.deployment().fleet.group(route, group)[replica]
            .kill()
            .await;
        self.note(&format!(
            "replica {replica} of group {group} of {route} is killed"
        ));
    }

    /// The next reply of every backend server of a route gets lost after it ran.
    pub(crate) async fn lose_reply(&mut self, route: &str) {
        for server in self.deployment().fleet.group(route, 0) {
            server.plan(Fault::Lost, 1);
        }
        self.note(&format!(
            "the next reply of each backend server of {route} will be lost"
        ));
    }

    /// Every backend server gets a new index version; returns when all homes pin it.
    pub(crate) async fn publish_index_version(&mut self, route: &str, version: u64) {
        for server in self.deployment().fleet.servers() {
            server.add_index_version(version);
        }
        for _ in 0..POLLS {
            if self
                .pinned(route)
                .await
                .iter()
                .all(|pin| *pin == Some(version))
            {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        self.note(&format!(
            "index version {version} is published, and pinned by every home"
        ));
    }

    async fn pinned(&self, route: &str) -> Vec<Option<u64>> {
        let caller = Caller::new("operator".into());
        let mut pins = Vec::new();
        for daemon in &self.deployment().daemons {
            let state = caller.state(daemon.operator).await.unwrap_or_default();
            let routes = state["routes"].as_array().cloned().unwrap_or_default();
            let route = routes.iter().find(|entry| entry["name"] == route);
            pins.push(route.and_then(|route| route["home"]["index_version"].as_u64()));
        }
        pins
    }

    /// An operator publishes a document with a fault; returns when a daemon has read it.
    pub(crate) async fn publish_invalid(&mut self) {
        let service = &self.deployment().service;
        let calls = service.counters().calls;
        service.publish(DOCUMENT, r#"{"callers":[],"routes":[{"name":"half"}]}"#);
        for _ in 0..POLLS {
            if self.deployment().service.counters().calls > calls + 1 {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        self.note("a document with faults is published");
    }

    /// Stops both daemons as an operator would, one after the other.
    pub(crate) async fn stop(&mut self) {
        let deployment = self.deployment.take().expect("a running deployment");
        deployment.stop().await;
        self.note("the daemons are stopped");
    }

    fn deployment(&self) -> &Deployment {
        self.deployment.as_ref().expect("a running deployment")
    }

    fn note(&mut self, text: &str) {
        writeln!(self.text, "# {text}\n").expect("a string takes all");
    }

    async fn run(&mut self, arguments: &[&str], input: Option<&[u8]>) -> Output {
        let output = command(arguments, input).await;
        let printed = [&output.stdout[..], &output.stderr[..]].concat();
        let printed = String::from_utf8_lossy(&printed).into_owned();
        let quoted = arguments
            .iter()
            .map(|word| match word.contains(['{', ' ']) {
                true => format!("'{word}'"),
                false => (*word).to_owned(),
            });
        let line = quoted.collect::<Vec<_>>().join(" ");
        let code = output.status.code().unwrap_or(-1);
        let entry = format!("$ monsoonring {line}\n{printed}exit code {code}\n\n");
        let entry = self.named(&entry);
        self.text.push_str(&entry);
        output
    }

    /// Replaces what differs from run to run.
    fn named(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (index, daemon) in (1..).zip(&self.deployment().daemons) {
            for (address, what) in [
                (daemon.caller, "callers"),
                (daemon.operator, "operators"),
                (daemon.peer, "peers"),
            ] {
                text = text.replace(&address.to_string(), &format!("<daemon {index}, {what}>"));
            }
        }
        let words = text.split_inclusive(|letter: char| !is_word(letter));
        words.map(hide).collect()
    }
}

fn is_word(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || matches!(letter, '.' | '~' | ':')
}

/// Replaces a request's id, a key, or a duration.
fn hide(word: &str) -> String {
    let end = word.find(|letter| !is_word(letter)).unwrap_or(word.len());
    let (body, rest) = word.split_at(end);
    let is_id = body.len() == REQUEST_DIGITS && body.bytes().all(|byte| byte.is_ascii_hexdigit());
    match body {
        _ if body.starts_with("m1.") => format!("<key>{rest}"),
        _ if is_id => format!("<id>{rest}"),
        _ => word.to_owned(),
    }
}

async fn command(arguments: &[&str], input: Option<&[u8]>) -> Output {
    let mut child = Command::new(binary("monsoonring"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the command starts");
    if let Some(mut stdin) = child.stdin.take() {
        use tokio::io::AsyncWriteExt;
        stdin
            .write_all(input.unwrap_or_default())
            .await
            .expect("the command reads");
    }
    child.wait_with_output().await.expect("the command ends")
}

/// Returns the path of a binary of this workspace, built beside this test.
fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let profile = test
        .ancestors()
        .nth(2)
        .expect("a test lies two levels deep");
    let path = profile.join(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo test --workspace`"
    );
    path
}
