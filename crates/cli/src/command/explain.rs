//! `monsoonring explain`: shows the decisions on a request or the state of a backend server.
//!
//! The daemon that received a request chose its home, and the home chose the backend servers. Neither
//! knows the other's decisions, so the command queries several daemons and merges their decisions by
//! age.

use crate::arguments::Explain;
use crate::command::timeline;
use crate::exit::Code;
use crate::output::Output;
use crate::peer::{self, Peer};
use crate::table::Table;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// The fields of a decision that the text output shows.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Decision {
    ago_ms: u64,
    route: String,
    decision: String,
    backend_server: Option<SocketAddr>,
    home: Option<SocketAddr>,
    reason: String,
}

/// A daemon's explanation: the decisions on a request, or the state of a backend server.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Explanation {
    Request { decisions: Vec<Decision> },
    BackendServer { backend_server: Map<String, Value> },
}

/// Answer of one daemon.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Answer {
    /// It knows the request or backend server.
    Known(Known),
    /// It does not know the request or backend server.
    Unknown,
    /// Its answer could not be parsed.
    Unreadable(String),
    /// It did not answer.
    Unreachable(String),
}

/// An explanation: the complete JSON for scripts, and the parsed fields for text output.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Known {
    raw: Box<RawValue>,
    #[serde(skip)]
    explanation: Explanation,
}

/// Answers of all daemons.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Report {
    daemons: BTreeMap<SocketAddr, Answer>,
}

/// Queries the daemons concurrently and reports their explanations; with `--log`, reads logs instead.
pub(crate) async fn run(explain: &Explain, output: Output) -> Code {
    if let (false, Some(id)) = (explain.logs.is_empty(), &explain.request) {
        return timeline::run(explain, id, output);
    }
    let timeout = Duration::from_millis(explain.timeout_ms);
    let mut exchanges = JoinSet::new();
    for &address in &explain.daemons {
        let (peer, path) = (Peer { address, timeout }, path(explain));
        exchanges.spawn(async move { (address, answer(peer.get(&path).await)) });
    }
    let daemons = exchanges.join_all().await.into_iter().collect();
    let report = Report { daemons };
    for line in report.errors() {
        output.notice(&line);
    }
    output.report(&report);
    report.code()
}

fn path(explain: &Explain) -> String {
    match (&explain.request, &explain.route, explain.backend_server) {
        (None, Some(route), Some(server)) => {
            format!("/explain?route={route}&backend_server={server}")
        }
        (request, ..) => format!(
            "/explain?request={}",
            request.as_deref().unwrap_or_default()
        ),
    }
}

fn answer(answer: peer::Result<peer::Answer>) -> Answer {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Answer::Unreachable(error.to_string()),
    };
    if answer.status == StatusCode::NOT_FOUND {
        return Answer::Unknown;
    }
    if !answer.status.is_success() {
        return Answer::Unreadable(format!("status {}", answer.status.as_u16()));
    }
    match (parse(&answer.body), parse(&answer.body)) {
        (Ok(raw), Ok(explanation)) => Answer::Known(Known { raw, explanation }),
        (Err(error), _) | (_, Err(error)) => Answer::Unreadable(error),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("parse the answer: {error}"))
}

impl Report {
    fn known(&self) -> impl Iterator<Item = (SocketAddr, &Explanation)> {
        let answers = self.daemons.iter();
        answers.filter_map(|(address, answer)| match answer {
            Answer::Known(known) => Some((*address, &known.explanation)),
            _ => None,
        })
    }

    /// Returns an error line for each daemon that gave no explanation.
    fn errors(&self) -> Vec<String> {
        let answers = self.daemons.iter();
        let line = |(address, answer): (&SocketAddr, &Answer)| match answer {
            Answer::Known(_) => None,
            Answer::Unknown => Some(format!(
                "explain, daemon {address}: nothing is known of it here; ask the daemon that took \
                 the request, and the homes of its route"
            )),
            Answer::Unreadable(error) => Some(format!("explain, daemon {address}: {error}")),
            Answer::Unreachable(error) => Some(error.clone()),
        };
        answers.filter_map(line).collect()
    }

    fn code(&self) -> Code {
        let is_unreachable = |answer: &Answer| matches!(answer, Answer::Unreachable(_));
        match (
            self.known().next(),
            self.daemons.values().any(is_unreachable),
        ) {
            (Some(_), _) => Code::Success,
            (None, true) => Code::Unreachable,
            (None, false) => Code::Usage,
        }
    }

    /// Returns the decisions of all daemons on a request, oldest first.
    fn decisions(&self) -> Vec<(SocketAddr, &Decision)> {
        let mut all = Vec::new();
        for (address, explanation) in self.known() {
            if let Explanation::Request { decisions } = explanation {
                all.extend(decisions.iter().map(|decision| (address, decision)));
            }
        }
        all.sort_by_key(|(_, decision)| Reverse(decision.ago_ms));
        all
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let decisions = self.decisions();
        if !decisions.is_empty() {
            write!(f, "{}", decision_table(&decisions))?;
        }
        for (address, explanation) in self.known() {
            if let Explanation::BackendServer { backend_server } = explanation {
                write!(f, "{}", server_table(address, backend_server))?;
            }
        }
        Ok(())
    }
}

fn decision_table(decisions: &[(SocketAddr, &Decision)]) -> Table {
    let mut table = Table::new(&["ago", "daemon", "route", "decision", "to", "reason"]);
    for (address, decision) in decisions {
        table.add_row(decision.cells(*address));
    }
    table
}

fn server_table(daemon: SocketAddr, server: &Map<String, Value>) -> Table {
    let mut table = Table::new(&["field", &format!("at {daemon}")]);
    for (name, value) in server {
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        table.add_row(vec![name.clone(), text]);
    }
    table
}

impl Decision {
    fn cells(&self, daemon: SocketAddr) -> Vec<String> {
        let server = self.backend_server.map(|server| server.to_string());
        let home = self.home.map(|home| format!("daemon {home}"));
        vec![
            format!("{} ms", self.ago_ms),
            daemon.to_string(),
            self.route.clone(),
            self.decision.clone(),
            server.or(home).unwrap_or_else(|| "-".to_owned()),
            self.reason.clone(),
        ]
    }
}
