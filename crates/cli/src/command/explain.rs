//! `monsoonring explain`: the decisions on a request or on a backend server.

use crate::arguments::Explain;
use crate::exit::Code;
use crate::output::Output;
use crate::peer::{Answer, Peer};
use crate::table::Table;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt::{self, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

/// One decision, as far as the command shows it to people.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Decision {
    at_ms: Option<u64>,
    route: String,
    decision: String,
    backend_server: Option<SocketAddr>,
    reason: String,
}

/// What a daemon explains: a request by the decisions on it, a backend server by what is known of it.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Explanation {
    Request { decisions: Vec<Decision> },
    BackendServer { backend_server: Map<String, Value> },
}

/// An explanation, whole for scripts and as a table for people.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Report {
    raw: Box<RawValue>,
    #[serde(skip)]
    explanation: Explanation,
}

/// Asks the daemon and reports its decisions.
pub(crate) async fn run(explain: &Explain, output: Output) -> Code {
    let peer = Peer {
        address: explain.daemon,
        timeout: Duration::from_millis(explain.timeout_ms),
    };
    let answer = match peer.get(&path(explain)).await {
        Ok(answer) => answer,
        Err(error) => {
            output.notice(&error.to_string());
            return Code::Unreachable;
        }
    };
    match report(&answer) {
        Ok(report) => {
            output.report(&report);
            Code::Success
        }
        Err(why) => {
            output.notice(&format!("explain, daemon {}: {why}", explain.daemon));
            Code::Usage
        }
    }
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

fn report(answer: &Answer) -> Result<Report, String> {
    if answer.status == StatusCode::NOT_FOUND {
        return Err("nothing is known of it here; ask the daemon that took the request".to_owned());
    }
    if !answer.status.is_success() {
        return Err(format!("status {}", answer.status.as_u16()));
    }
    let raw: Box<RawValue> = read(&answer.body)?;
    let explanation = read(&answer.body)?;
    Ok(Report { raw, explanation })
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("read the answer: {error}"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let table = match &self.explanation {
            Explanation::Request { decisions } => table_of(decisions),
            Explanation::BackendServer { backend_server } => fields(backend_server),
        };
        write!(f, "{table}")
    }
}

fn table_of(decisions: &[Decision]) -> Table {
    let mut table = Table::new(&["at", "route", "decision", "backend server", "reason"]);
    for decision in decisions {
        table.row(decision.cells());
    }
    table
}

fn fields(server: &Map<String, Value>) -> Table {
    let mut table = Table::new(&["field", "value"]);
    for (name, value) in server {
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        table.row(vec![name.clone(), text]);
    }
    table
}

impl Decision {
    fn cells(&self) -> Vec<String> {
        let none = || "-".to_owned();
        vec![
            self.at_ms.map_or_else(none, |at| format!("{at} ms")),
            self.route.clone(),
            self.decision.clone(),
            self.backend_server
                .map_or_else(none, |server| server.to_string()),
            self.reason.clone(),
        ]
    }
}
