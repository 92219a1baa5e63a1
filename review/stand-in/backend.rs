//! Backends. They register in the store, run requests in their slots and queue a few more.

use crate::http::{self, Message};
use crate::random::Random;
use crate::record::{Event, Record};
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of the entries that a backend writes to the store; `heartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Size and speed of a backend.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Shared {
    id: String,
    service: String,
    address: SocketAddr,
    capacity: Capacity,
    /// Share of the answers, from 0 to 1, that are sent a second time, late: where the next answer is expected.
    repeats: Mutex<f64>,
    load: (Mutex<Load>, Condvar),
    random: Random,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_registered: AtomicBool,
    has_ended: AtomicBool,
    /// Open connections, to be closed when the backend ends.
    connections: Mutex<BTreeMap<usize, TcpStream>>,
    /// Rejections that were sent a second time.
    repeated_rejections: AtomicU64,
    record: Record,
    store: Store,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend(Arc<Shared>);

impl Backend {
    /// Starts a backend, which registers at once and with each heartbeat.
    pub fn start(
        id: &str,
        service: &str,
        capacity: Capacity,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Self(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("the listener is bound"),
            capacity,
            repeats: Mutex::default(),
            load: Default::default(),
            random: Random::new(id),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_registered: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            repeated_rejections: AtomicU64::new(0),
            record: record.clone(),
            store: store.clone(),
        }));
        backend.register();
        let registering = backend.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if registering.0.is_registered.load(Ordering::SeqCst) {
                    registering.register();
                }
            }
        });
        let accepting = backend.clone();
        thread::spawn(move || accepting.accept(&listener));
        backend
    }

    /// Serves connections until the backend ends.
    fn accept(&self, listener: &TcpListener) {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(connection) = stream.try_clone() {
                self.0.connections().insert(number, connection);
            }
            let shared = self.0.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                shared.serve(&mut reader);
                shared.connections().remove(&number);
            });
        }
    }

    /// Sets the share of the answers, from 0 to 1, that are sent a second time, late.
    pub fn set_repeats(&self, repeats: f64) {
        *self.0.repeats.lock().expect("no thread panics") = repeats;
    }

    /// Reports `draining`; the backend goes on serving.
    pub fn drain(&self) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.register();
    }

    /// Removes the entry.
    pub fn leave(&self) {
        self.0.is_registered.store(false, Ordering::SeqCst);
        self.0.store.delete(&format!("servers/{}", self.0.id));
    }

    /// Ends the process: its connections are closed, and what it works on is lost.
    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        for connection in self.0.connections().values() {
            // An error means that the connection is closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Lets `accept` return, which closes the listener.
        let _ = TcpStream::connect(self.0.address);
    }

    /// Returns how many rejections were sent a second time.
    pub fn repeated_rejections(&self) -> u64 {
        self.0.repeated_rejections.load(Ordering::SeqCst)
    }

    fn register(&self) {
        let shared = &self.0;
        let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match shared.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"seq\":{sequence}}}",
            shared.service, shared.address, shared.capacity.slots
        );
        shared.store.put(&format!("servers/{}", shared.id), &entry);
    }
}

/// An answer of a backend.
struct Answer {
    bytes: Vec<u8>,
    is_rejection: bool,
    /// Whether the connection ends with it, as it does while the backend is leaving.
    closes: bool,
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, BTreeMap<usize, TcpStream>> {
        self.connections.lock().expect("no thread panics")
    }

    /// Serves a connection until either side closes it.
    fn serve(&self, reader: &mut BufReader<TcpStream>) {
        let _ = reader.get_ref().set_nodelay(true);
        let mut repeat: Option<Answer> = None;
        while let Ok(Some(request)) = http::read(reader) {
            if let Some(answer) = repeat.take() {
                let id = request.header("x-request-id").unwrap_or_default();
                self.record.note(format!(
                    "{} sends an earlier answer again before that to {id}",
                    self.id
                ));
                if answer.is_rejection {
                    self.repeated_rejections.fetch_add(1, Ordering::SeqCst);
                }
                if http::write(reader, &answer.bytes).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if http::write(reader, &answer.bytes).is_err() || answer.closes {
                return;
            }
            let repeats = *self.repeats.lock().expect("no thread panics");
            repeat = self.random.is_hit(repeats).then_some(answer);
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.reject(&id, 421, "Misdirected Request");
        }
        if id.is_empty() {
            return self.reject(&id, 400, "Bad Request");
        }
        self.record.add(Event::Reached {
            id: id.clone(),
            backend: self.id.clone(),
        });
        let deadline = request
            .header("x-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.take_slot(deadline) {
            return self.reject(&id, 503, "Service Unavailable");
        }
        let line = format!(
            "{} {} {:016x}",
            request.method(),
            request.target(),
            hash(&request.body)
        );
        self.record.add(Event::Run {
            id: id.clone(),
            backend: self.id.clone(),
            line,
        });
        thread::sleep(self.capacity.work);
        self.free_slot();
        self.result(&id)
    }

    /// Waits for a slot. Returns `false` if the backend is full or the deadline passes first.
    fn take_slot(&self, deadline: Instant) -> bool {
        let (load, freed) = &self.load;
        let mut load = load.lock().expect("no thread panics");
        if load.running >= self.capacity.slots && load.waiting >= self.capacity.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.capacity.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = freed.wait_timeout(load, left).expect("no thread panics").0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        let (load, freed) = &self.load;
        load.lock().expect("no thread panics").running -= 1;
        freed.notify_all();
    }

    fn load_header(&self) -> String {
        let load = self.load.0.lock().expect("no thread panics");
        format!("{},{},{}", load.running, load.waiting, self.capacity.slots)
    }

    fn reject(&self, id: &str, status: u16, reason: &str) -> Answer {
        self.record.add(Event::Rejected {
            id: id.to_owned(),
            backend: self.id.clone(),
            status,
        });
        let headers = [
            ("X-Request-Id", id),
            ("X-Instance-Id", &self.id),
            ("X-Not-Executed", "1"),
        ];
        self.encode(&format!("HTTP/1.1 {status} {reason}"), &headers, b"", true)
    }

    fn result(&self, id: &str) -> Answer {
        let stamp = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id), ("X-Server-Stamp", &*stamp)];
        self.encode("HTTP/1.1 200 OK", &headers, stamp.as_bytes(), false)
    }

    fn encode(
        &self,
        first_line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        is_rejection: bool,
    ) -> Answer {
        let load = self.load_header();
        let mut headers = headers.to_vec();
        headers.push(("X-Server-Load", &load));
        let closes = self.is_draining.load(Ordering::SeqCst);
        if closes {
            headers.push(("Connection", "close"));
        }
        Answer {
            bytes: http::encode(first_line, &headers, body),
            is_rejection,
            closes,
        }
    }
}

/// Hashes bytes (FNV-1a).
pub fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
