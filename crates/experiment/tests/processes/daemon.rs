//! One daemon as a process, with the relays that lead to it and from it to the platform.

use crate::wait::until;
use monsoonring_fakes::relay::Relay;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};

const BINARY: &str = "monsoonringd";
/// Secret that the daemons of a test share; it protects nothing.
const KEY: &str = "5f1d0c7a93b24e6880aa41c3e97f2b6d5f1d0c7a93b24e6880aa41c3e97f2b6d";
/// Nothing balances over the daemons of a test, so a stop needs little wait.
const DRAIN_WAIT_MS: &str = "300";
/// Log lines that are shown when a test fails.
const SHOWN: usize = 40;

/// Last two bytes of the IP numbers handed out so far.
static NUMBERS: AtomicU16 = AtomicU16::new(0x0101);

/// A daemon, whether its process runs or not.
pub(crate) struct Daemon {
    /// Its IP number.
    pub(crate) ip: IpAddr,
    /// Its data centre.
    pub(crate) data_centre: &'static str,
    /// What its peers connect to.
    pub(crate) relay: Relay,
    /// Its way to the configuration service.
    pub(crate) service: Relay,
    /// Its way to the host list.
    pub(crate) hosts: Relay,
    process: Option<Process>,
    ports: Ports,
}

/// Where a process listens; port 0 until it has told.
#[derive(Clone, Copy)]
struct Ports {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
}

struct Process {
    child: Child,
    log: Log,
}

/// The lines that a process has logged.
#[derive(Clone, Default)]
pub(crate) struct Log(Arc<Mutex<Vec<Value>>>);

impl Daemon {
    /// Makes a daemon that does not run yet.
    pub(crate) fn new(data_centre: &'static str, service: SocketAddr, hosts: SocketAddr) -> Self {
        let [high, low] = NUMBERS.fetch_add(1, Ordering::SeqCst).to_be_bytes();
        let ip = IpAddr::from(Ipv4Addr::new(127, 0, high, low));
        let any = SocketAddr::new(ip, 0);
        Self {
            ip,
            data_centre,
            relay: Relay::without_target(),
            service: Relay::start(service),
            hosts: Relay::start(hosts),
            process: None,
            ports: Ports {
                caller: any,
                operator: any,
                peer: any,
            },
        }
    }

    /// Address under which its peers know it.
    pub(crate) fn id(&self) -> SocketAddr {
        self.relay.address()
    }

    pub(crate) fn caller(&self) -> SocketAddr {
        self.ports.caller
    }

    pub(crate) fn operator(&self) -> SocketAddr {
        self.ports.operator
    }

    /// Starts a process; a later one on the addresses of the first.
    pub(crate) async fn start(&mut self, peers: &[SocketAddr]) {
        let binary = binary();
        let child = Command::new(&binary)
            .args(self.arguments(peers))
            .env("MONSOONRING_KEY", KEY)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn();
        let mut child = child.expect("the daemon can be started");
        let log = Log::default();
        let lines = child.stderr.take().expect("standard error is piped");
        tokio::spawn(log.clone().read(lines));
        self.process = Some(Process { child, log });
        self.learn_ports().await;
        self.relay.set_target(self.ports.peer);
    }

    fn arguments(&self, peers: &[SocketAddr]) -> Vec<String> {
        let peers: Vec<_> = peers.iter().map(SocketAddr::to_string).collect();
        let flags = [
            ("--listen", self.ports.caller.to_string()),
            ("--operator-listen", self.ports.operator.to_string()),
            ("--peer-listen", self.ports.peer.to_string()),
            ("--advertise", self.id().to_string()),
            ("--data-centre", self.data_centre.to_owned()),
            (
                "--configuration-service",
                self.service.address().to_string(),
            ),
            ("--host-list", self.hosts.address().to_string()),
            ("--peers", peers.join(",")),
            ("--drain-wait-ms", DRAIN_WAIT_MS.to_owned()),
        ];
        let flags = flags.into_iter().filter(|(_, value)| !value.is_empty());
        flags
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }

    async fn learn_ports(&mut self) {
        let log = self.log();
        let address = |message: &str, member: &str| {
            let lines = log.lines();
            let line = lines.iter().find(|line| line["msg"] == message)?;
            line[member].as_str()?.parse().ok()
        };
        let read = || {
            Some(Ports {
                caller: address("serving", "callers")?,
                operator: address("serving", "operators")?,
                peer: address("serving peers", "peers")?,
            })
        };
        until("a daemon tells its addresses", async || read().is_some()).await;
        self.ports = read().expect("just read");
    }

    /// Returns what the latest process has logged.
    pub(crate) fn log(&self) -> Log {
        let process = self.process.as_ref();
        process.map_or_else(Log::default, |process| process.log.clone())
    }

    /// Sends a signal to the process, by its id.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process_id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process can be signalled");
    }

    /// Stops the process, as a pause does, and waits until none of its threads runs.
    pub(crate) async fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let tasks = format!("/proc/{}/task", self.process_id());
        until("the process has stopped", async || {
            let threads = std::fs::read_dir(&tasks).expect("the threads of the process");
            threads.flatten().all(|thread| is_stopped(&thread.path()))
        })
        .await;
    }

    /// Lets a frozen process go on.
    pub(crate) fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn process_id(&self) -> u32 {
        let process = self.process.as_ref().expect("a process");
        process.child.id().expect("a process that runs")
    }

    /// Ends the process at once and waits until it is gone.
    pub(crate) async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.ended().await;
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        let process = self.process.as_mut().expect("a process");
        process
            .child
            .wait()
            .await
            .expect("a process that was started")
    }

    /// Tells how the process ended; `None` while it runs.
    pub(crate) fn exit(&mut self) -> Option<ExitStatus> {
        let process = self.process.as_mut()?;
        process
            .child
            .try_wait()
            .expect("a process that was started")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.log().show(&self.id().to_string());
        }
    }
}

impl Log {
    /// Returns the lines so far.
    pub(crate) fn lines(&self) -> Vec<Value> {
        let lines = self.0.lock();
        lines.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tells whether a line of this message says this of its member.
    pub(crate) fn says(&self, message: &str, member: &str, value: &str) -> bool {
        let lines = self.lines();
        let mut said = lines.iter().filter(|line| line["msg"] == message);
        said.any(|line| {
            line[member]
                .as_str()
                .is_some_and(|text| text.contains(value))
        })
    }

    async fn read(self, from: impl AsyncRead + Unpin) {
        let mut lines = BufReader::new(from).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
            let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(line);
        }
    }

    fn show(&self, daemon: &str) {
        let lines = self.lines();
        let told = |line: &&Value| line["msg"] != "decision" && line["msg"] != "request";
        let lines: Vec<_> = lines.iter().filter(told).collect();
        for line in lines.iter().skip(lines.len().saturating_sub(SHOWN)) {
            eprintln!("{daemon} {line}");
        }
    }
}

/// Tells whether a thread is stopped, from its line in the process table.
fn is_stopped(thread: &Path) -> bool {
    let stat = std::fs::read_to_string(thread.join("stat")).unwrap_or_default();
    // The state comes after the name, which is in parentheses.
    stat.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
}

/// Returns the binary, which is built into the directory above that of the test's.
///
/// # Panics
///
/// Panics where it isn't there: building the tests of this package alone does not build it.
fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("a path of the test's executable");
    let profile = own.ancestors().nth(2).expect("target/PROFILE/deps/TEST");
    let binary = profile.join(BINARY);
    assert!(
        binary.exists(),
        "{} is missing: run `cargo build -p monsoonring-daemon` or `cargo test --workspace`",
        binary.display()
    );
    binary
}
