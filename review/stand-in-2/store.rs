//! The platform's store: items with revisions, ranges, and watches that wait for changes.

use crate::http;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    /// The JSON text of each item.
    items: BTreeMap<String, String>,
    history: BTreeMap<u64, String>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = Self {
            address,
            state: Arc::default(),
            changed: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; its acknowledgement is the return.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.revision += 1;
        let revision = state.revision;
        let item = format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        );
        state.items.insert(key.to_owned(), item.clone());
        state.history.insert(revision, item);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let target = request.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query = parse_query(query);
            let (status, body) = match path {
                "/monsoonring/kv-range" => ("200 OK", self.range(&query)),
                "/monsoonring/kv-watch" => ("200 OK", self.watch(&query)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json")];
            let response = http::response(status, &headers, body.as_bytes());
            if writer.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> String {
        let state = self.state.lock().expect("the lock is not poisoned");
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let is_asked = |key: &String| *key > after && key.starts_with(&prefix);
        let rest: Vec<&str> = (state.items.iter())
            .filter(|(key, _)| is_asked(key))
            .map(|(_, item)| item.as_str())
            .collect();
        let page = &rest[..rest.len().min(PAGE_ITEMS)];
        format!(
            "{{\"items\":[{}],\"hasMore\":{},\"asOf\":{}}}",
            page.join(","),
            rest.len() > PAGE_ITEMS,
            state.revision
        )
    }

    fn watch(&self, query: &HashMap<String, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().expect("the lock is not poisoned");
        while state.revision <= after {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                break;
            };
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("the lock is not poisoned").0;
        }
        let events: Vec<&str> = (state.history.range(after + 1..))
            .map(|(_, item)| item.as_str())
            .collect();
        format!(
            "{{\"events\":[{}],\"asOf\":{}}}",
            events.join(","),
            state.revision.max(after)
        )
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next(), rest.next()].map(|digit| digit.unwrap_or(b'0'));
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(b'?')
            }
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
