//! The platform's metadata store: reads, watches, and writes by the operator and the backends.

use crate::http;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    /// Items by key, as JSON, with their last revision.
    items: BTreeMap<String, (u64, String)>,
    /// Changes by revision, as JSON.
    history: BTreeMap<u64, String>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("the listener is bound"),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item. Returning is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let item = format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        );
        state.items.insert(key.to_owned(), (revision, item.clone()));
        state.history.insert(revision, item);
        changed.notify_all();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
        state.history.insert(revision, event);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (path, query) = request
                .target()
                .split_once('?')
                .unwrap_or((request.target(), ""));
            let reply = match path {
                "/monsoonring/kv-range" => Some(self.range(query)),
                "/monsoonring/kv-watch" => Some(self.watch(query)),
                _ => None,
            };
            let bytes = match reply {
                Some(body) => {
                    let json = [("Content-Type", "application/json")];
                    http::encode("HTTP/1.1 200 OK", &json, body.as_bytes())
                }
                None => http::encode("HTTP/1.1 404 Not Found", &[], b""),
            };
            if http::write(&mut reader, &bytes).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let state = self.state.0.lock().expect("no thread panics");
        let after = parameter(query, "after").unwrap_or_default();
        let items = state.items.iter().filter(|(key, _)| **key > after);
        let items: Vec<&str> = items.map(|(_, (_, item))| item.as_str()).collect();
        let items = items.join(",");
        format!(
            "{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{}}}",
            state.revision
        )
    }

    fn watch(&self, query: &str) -> String {
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        while state.revision <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed
                .wait_timeout(state, left)
                .expect("no thread panics")
                .0;
        }
        let events: Vec<&str> = state
            .history
            .range(after + 1..)
            .map(|(_, event)| event.as_str())
            .collect();
        let events = events.join(",");
        format!(
            "{{\"events\":[{events}],\"asOf\":{}}}",
            state.revision.max(after)
        )
    }
}

/// Returns a parameter of a query; the keys used here need no decoding but that of slashes.
fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value.replace("%2F", "/"))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let group = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
