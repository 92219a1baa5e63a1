//! `monsoonring explain --log`: reconstructs the timeline of one request from the daemons' logs.
//!
//! The log line that ends a request holds the client's id and the daemon's own id, under which the
//! decisions are logged, so that either id finds all lines of the request. The timeline adds the lines
//! on health changes of the servers involved, and the last lines on the configuration, the registry and
//! the store before the request.

use crate::arguments::Explain;
use crate::command::input;
use crate::exit::Code;
use crate::output::Output;
use crate::table::Table;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;

/// Time before the request from which lines about its servers are included.
const CONTEXT_NANOS: i128 = 5_000_000_000;

/// Field of a log line that the timeline leaves out.
const LEVEL: &str = "level";

/// One line of a daemon's log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    msg: String,
    ts: String,
    #[serde(default)]
    host: String,
    request: Option<String>,
    id: Option<String>,
    backend_server: Option<String>,
    #[serde(default)]
    decision: String,
    #[serde(flatten)]
    rest: Map<String, Value>,
    /// Nanoseconds since the start of the month, for sorting.
    #[serde(skip)]
    at: i128,
}

impl Line {
    /// Returns the backend servers of the line: the one in its own field, and those that precede each
    /// reason if the line holds several decisions (`SERVER: REASON; SERVER: REASON`).
    fn servers(&self) -> Vec<&str> {
        let reason = self.rest.get("reason").and_then(Value::as_str);
        let decisions = reason.unwrap_or_default().split("; ");
        let prefixes = decisions.filter_map(|part| part.split_once(": ").map(|(server, _)| server));
        let addresses = prefixes.filter(|server| server.parse::<SocketAddr>().is_ok());
        self.backend_server
            .as_deref()
            .into_iter()
            .chain(addresses)
            .collect()
    }
}

/// One entry of the timeline.
#[derive(Debug, Serialize)]
struct Entry {
    /// Milliseconds since the first line that names the request.
    after_ms: f64,
    host: String,
    what: String,
    to: String,
    why: String,
}

/// Timeline of a request, oldest entry first.
#[derive(Debug, Serialize)]
struct Timeline {
    id: String,
    /// Lines that could not be parsed; a log may begin or end in the middle of a line.
    unreadable: usize,
    steps: Vec<Entry>,
}

/// Reads the logs and reports the timeline of the request with this id.
pub(crate) fn run(explain: &Explain, id: &str, output: Output) -> Code {
    let mut text = String::new();
    for name in &explain.logs {
        match input::file(name) {
            Ok(bytes) => {
                text.push_str(&String::from_utf8_lossy(&bytes));
                text.push('\n');
            }
            Err(error) => {
                output.notice(&error.to_string());
                return Code::Usage;
            }
        }
    }
    let timeline = build(&text, id);
    if timeline.steps.is_empty() {
        output.notice(&format!(
            "explain: no log line names {id}; its host may not have logged the request, or dropped the line \
             (monsoonring_log_lines_dropped_total)"
        ));
        return Code::Usage;
    }
    output.report(&timeline);
    Code::Success
}

fn build(text: &str, id: &str) -> Timeline {
    let (mut lines, unreadable) = parse(text);
    lines.sort_by_key(|line| line.at);
    let requests: BTreeSet<&str> = lines
        .iter()
        .filter(|line| line.id.as_deref() == Some(id) || line.request.as_deref() == Some(id))
        .filter_map(|line| line.request.as_deref())
        .collect();
    let is_named = |line: &&Line| {
        let request = line.request.as_deref();
        line.id.as_deref() == Some(id) || request.is_some_and(|request| requests.contains(request))
    };
    let named: Vec<&Line> = lines.iter().filter(is_named).collect();
    let (Some(first), Some(last)) = (named.first(), named.last()) else {
        return Timeline {
            id: id.to_owned(),
            unreadable,
            steps: Vec::new(),
        };
    };
    let start = first.at;
    let window = Window {
        from: start - CONTEXT_NANOS,
        start,
        end: last.at,
        hosts: named.iter().map(|line| &*line.host).collect(),
        servers: named.iter().flat_map(|line| line.servers()).collect(),
    };
    let selected = lines
        .iter()
        .filter(|line| is_named(line) || window.includes(line));
    let mut selected: Vec<&Line> = selected.collect();
    selected.extend(window.context(&lines));
    selected.sort_by_key(|line| line.at);
    Timeline {
        id: id.to_owned(),
        unreadable,
        steps: selected.iter().map(|line| entry(line, start)).collect(),
    }
}

/// Time range, hosts and servers of a request.
struct Window<'a> {
    from: i128,
    start: i128,
    end: i128,
    hosts: BTreeSet<&'a str>,
    servers: BTreeSet<&'a str>,
}

impl Window<'_> {
    /// Returns whether a line about a server, by a host of this request, belongs to the timeline. Lines
    /// of other requests do not.
    fn includes(&self, line: &Line) -> bool {
        let server = line.backend_server.as_deref();
        let is_same_server = server.is_some_and(|server| self.servers.contains(server));
        let is_within = self.from <= line.at && line.at <= self.end;
        line.request.is_none() && is_same_server && is_within && self.hosts.contains(&*line.host)
    }

    /// Returns each host's last lines before the request on the configuration, the backend servers and
    /// the store, which show the state that the host decided on.
    fn context<'a>(&self, lines: &'a [Line]) -> Vec<&'a Line> {
        let mut context = Vec::new();
        for host in &self.hosts {
            for message in ["configuration", "backend servers", "store"] {
                let is_match = |line: &&Line| {
                    line.msg == message && line.host == **host && line.at <= self.start
                };
                context.extend(lines.iter().rfind(is_match));
            }
        }
        context
    }
}

/// Parses the lines of a log, and counts those that could not be parsed. Ignores text before the JSON
/// object, where log collectors add times and names.
fn parse(text: &str) -> (Vec<Line>, usize) {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let object = line.find('{').map(|at| &line[at..]);
        match object.and_then(|object| serde_json::from_str::<Line>(object).ok()) {
            Some(mut line) => {
                line.at = nanoseconds(&line.ts);
                lines.push(line);
            }
            None => unreadable += 1,
        }
    }
    (lines, unreadable)
}

/// Parses an RFC 3339 time in UTC into nanoseconds since the start of its month. The fraction may have
/// any number of digits, so the texts themselves do not sort in time order.
fn nanoseconds(text: &str) -> i128 {
    let number = |at: std::ops::Range<usize>| {
        let digits = text.get(at).and_then(|part| part.parse::<i128>().ok());
        digits.unwrap_or(0)
    };
    let seconds = ((number(8..10) * 24 + number(11..13)) * 60 + number(14..16)) * 60;
    let seconds = seconds + number(17..19);
    let fraction: String = text
        .split_once('.')
        .map(|(_, rest)| rest.chars().take_while(char::is_ascii_digit).collect())
        .unwrap_or_default();
    let fraction = format!("{fraction:0<9}");
    seconds * 1_000_000_000 + fraction[..9].parse::<i128>().unwrap_or(0)
}

fn entry(line: &Line, start: i128) -> Entry {
    let what = match line.decision.as_str() {
        "" => line.msg.clone(),
        decision => decision.to_owned(),
    };
    let why = match line.rest.get("reason").and_then(Value::as_str) {
        Some(reason) if line.msg == "decision" => reason.to_owned(),
        _ => fields(line),
    };
    Entry {
        after_ms: (line.at - start) as f64 / 1e6,
        host: line.host.clone(),
        what,
        to: line
            .backend_server
            .clone()
            .unwrap_or_else(|| "-".to_owned()),
        why,
    }
}

fn fields(line: &Line) -> String {
    let rest = line.rest.iter();
    let rest = rest.filter(|(name, value)| *name != LEVEL && !value.is_null());
    let texts: Vec<String> = rest
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    texts.join(" ")
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["after", "host", "what", "to", "why"]);
        for entry in &self.steps {
            table.add_row(vec![
                format!("{:.1} ms", entry.after_ms),
                entry.host.clone(),
                entry.what.clone(),
                entry.to.clone(),
                entry.why.clone(),
            ]);
        }
        write!(f, "{table}")
    }
}
