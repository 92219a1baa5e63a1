//! `monsoonring explain`: the decisions on a request or on a backend server.
//!
//! The daemon that took a request chose its home, and the home the backend servers; neither knows the
//! other's decisions. So several daemons can be asked at once, and their decisions are put in order.

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

/// One decision, as far as the command shows it to people.
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

/// What a daemon explains: a request by the decisions on it, a backend server by what is known of it.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Explanation {
    Request { decisions: Vec<Decision> },
    BackendServer { backend_server: Map<String, Value> },
}

/// What one daemon said.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Answer {
    /// It knows something.
    Known(Known),
    /// It knows nothing of it.
    Unknown,
    /// Its answer could not be understood.
    Unreadable(String),
    /// It gave no answer.
    Unreachable(String),
}

/// An explanation, whole for scripts and as a table for people.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Known {
    raw: Box<RawValue>,
    #[serde(skip)]
    explanation: Explanation,
}

/// What all daemons said.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Report {
    daemons: BTreeMap<SocketAddr, Answer>,
}

/// Asks the daemons and reports their decisions.
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
    for line in report.silences() {
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
    match (read(&answer.body), read(&answer.body)) {
        (Ok(raw), Ok(explanation)) => Answer::Known(Known { raw, explanation }),
        (Err(why), _) | (_, Err(why)) => Answer::Unreadable(why),
    }
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("read the answer: {error}"))
}

impl Report {
    fn known(&self) -> impl Iterator<Item = (SocketAddr, &Explanation)> {
        let answers = self.daemons.iter();
        answers.filter_map(|(address, answer)| match answer {
            Answer::Known(known) => Some((*address, &known.explanation)),
            _ => None,
        })
    }

    /// Says of each daemon that explained nothing why.
    fn silences(&self) -> Vec<String> {
        let answers = self.daemons.iter();
        let line = |(address, answer): (&SocketAddr, &Answer)| match answer {
            Answer::Known(_) => None,
            Answer::Unknown => Some(format!(
                "explain, daemon {address}: nothing is known of it here; ask the daemon that took \
                 the request, and the homes of its route"
            )),
            Answer::Unreadable(why) => Some(format!("explain, daemon {address}: {why}")),
            Answer::Unreachable(why) => Some(why.clone()),
        };
        answers.filter_map(line).collect()
    }

    fn code(&self) -> Code {
        let is_silent = |answer: &Answer| matches!(answer, Answer::Unreachable(_));
        match (self.known().next(), self.daemons.values().any(is_silent)) {
            (Some(_), _) => Code::Success,
            (None, true) => Code::Unreachable,
            (None, false) => Code::Usage,
        }
    }

    /// Returns the decisions of all daemons on a request, the oldest first.
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
            write!(f, "{}", table_of(&decisions))?;
        }
        for (address, explanation) in self.known() {
            if let Explanation::BackendServer { backend_server } = explanation {
                write!(f, "{}", fields(address, backend_server))?;
            }
        }
        Ok(())
    }
}

fn table_of(decisions: &[(SocketAddr, &Decision)]) -> Table {
    let mut table = Table::new(&["ago", "daemon", "route", "decision", "to", "reason"]);
    for (address, decision) in decisions {
        table.row(decision.cells(*address));
    }
    table
}

fn fields(daemon: SocketAddr, server: &Map<String, Value>) -> Table {
    let mut table = Table::new(&["field", &format!("at {daemon}")]);
    for (name, value) in server {
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        table.row(vec![name.clone(), text]);
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
