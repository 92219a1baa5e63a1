//! Record of what was sent, answered and run.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What a client or a backend has seen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sent a request.
    Sent { id: String, line: String },
    /// A client got the end of its request: a status, or 0 for a connection without an answer.
    Answered { id: String, status: u16 },
    /// A request reached the backend that it was meant for.
    Reached { id: String, backend: String },
    /// A backend began to work on a request.
    Run {
        id: String,
        backend: String,
        line: String,
    },
    /// A backend rejected a request without running it.
    Rejected {
        id: String,
        backend: String,
        status: u16,
    },
    /// Something else of note.
    Note(String),
}

/// Events in the order in which they happened.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    events: Arc<Mutex<Vec<(u128, Event)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn add(&self, event: Event) {
        let at = self.now();
        self.events
            .lock()
            .expect("no thread panics")
            .push((at, event));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note(text.into()));
    }

    /// Notes a summary and prints it.
    pub fn summarize(&self, text: &str) {
        self.note(text);
        // The reader of the output may be gone; the record has the text as well.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    /// Returns all events so far, with their times in milliseconds.
    pub fn events(&self) -> Vec<(u128, Event)> {
        self.events.lock().expect("no thread panics").clone()
    }

    /// Writes the events to a file, one a line.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, event) in self.events() {
            let text = match event {
                Event::Sent { id, line } => format!("sent {id} {line}"),
                Event::Answered { id, status: 0 } => format!("closed {id} without an answer"),
                Event::Answered { id, status } => format!("answered {id} {status}"),
                Event::Reached { id, backend } => format!("reached {id} at {backend}"),
                Event::Run { id, backend, line } => format!("run {id} by {backend}: {line}"),
                Event::Rejected {
                    id,
                    backend,
                    status,
                } => {
                    format!("rejected {id} by {backend} with {status}")
                }
                Event::Note(text) => format!("note {text}"),
            };
            writeln!(file, "{at:>7} ms  {text}")?;
        }
        file.flush()
    }
}
