//! Backend servers.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One way between the zones of a small deployment.
const NETWORK_TIME: Duration = Duration::from_micros(500);

/// A request that a backend began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub backend: String,
    pub id: String,
    /// Method, target and body, which stay the same when a client repeats a request.
    pub work: String,
}

/// All runs of all backends.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Answers a request that names this backend; returns whether the connection stays open. It records
/// the request as run if it works on it.
pub type Handler = Arc<dyn Fn(&Backend, &Message, &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub runs: Runs,
    pub record: Record,
}

impl Backend {
    /// Starts a backend. It isn't registered yet.
    pub fn start(
        id: &str,
        service: &str,
        runs: &Runs,
        record: &Record,
        handler: Handler,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let backend = Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            id: id.to_owned(),
            service: service.to_owned(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (server.clone(), handler.clone());
                thread::spawn(move || server.serve(stream, &handler));
            }
        });
        Ok(backend)
    }

    /// Writes the backend's entry in the store.
    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        self.register_cold(store, state, seq, Duration::ZERO);
    }

    /// Writes the entry of a backend that stays cold for some time.
    pub fn register_cold(&self, store: &Store, state: &str, seq: u64, cold_for: Duration) {
        let cold_for = cold_for.as_millis();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\
             \"slots\":3,\"state\":\"{state}\",\"warmupLeftMs\":{cold_for},\"seq\":{seq},\"born\":1700000000000}}",
            self.service, self.address
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            thread::sleep(NETWORK_TIME);
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let id = request.id().to_owned();
                let headers = [("X-Request-Id", &*id)];
                let refusal = http::response("421 Misdirected Request", &headers, b"");
                if writer.write_all(&refusal).is_err() {
                    return;
                }
                continue;
            }
            if !handler(self, &request, &mut writer) {
                return;
            }
        }
    }

    /// Records that the backend begins to work on a request.
    pub fn run(&self, request: &Message) {
        let run = Run {
            at: self.record.now(),
            backend: self.id.clone(),
            id: request.id().to_owned(),
            work: format!(
                "{} {} {}",
                request.method(),
                request.target(),
                String::from_utf8_lossy(&request.body)
            ),
        };
        self.record.line(&format!(
            "{} of {} runs {} {} id {}",
            run.backend,
            self.service,
            request.method(),
            request.target(),
            run.id
        ));
        self.runs
            .lock()
            .expect("the lock is not poisoned")
            .push(run);
    }

    /// Writes a signed answer; returns whether that succeeded.
    pub fn answer(
        &self,
        request: &Message,
        status: &str,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> bool {
        let stamp = format!("{}.{}", self.id, request.id());
        let headers = [
            ("X-Request-Id", request.id()),
            ("X-Server-Stamp", &*stamp),
            ("X-Server-Load", "1,0,3"),
        ];
        let response = http::response(status, &headers, body);
        self.record.line(&format!(
            "{} answers id {} with {status}",
            self.id,
            request.id()
        ));
        thread::sleep(NETWORK_TIME);
        stream.write_all(&response).is_ok()
    }
}
