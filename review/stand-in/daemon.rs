//! Processes of the daemon, started with the command of the deploy file.

use crate::{client, http};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/monsoonringd";
const ARGUMENT: &str = "platform";

/// Port of the metrics, as the deploy file has it.
const METRICS_PORT: u16 = 9464;

/// Time that a daemon has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time until daemons that started together know each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// A running daemon. Dropping it ends the process.
pub struct Daemon {
    pub front: SocketAddr,
    process: Child,
}

/// Addresses of one machine.
#[derive(Clone, Copy)]
struct Machine {
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
}

impl Machine {
    /// Finds a loopback address and free ports for a machine.
    fn find(index: u8) -> Self {
        let process = std::process::id();
        for attempt in 0..200_u32 {
            let mixed = process.wrapping_mul(31).wrapping_add(attempt * 977);
            let ip = Ipv4Addr::new(
                127,
                16 + (mixed % 200) as u8,
                (mixed / 200 % 250) as u8,
                1 + index,
            );
            if TcpListener::bind((ip, METRICS_PORT)).is_err() {
                continue;
            }
            let listeners: Vec<TcpListener> = (0..3)
                .filter_map(|_| TcpListener::bind((ip, 0)).ok())
                .collect();
            let ports: Vec<SocketAddr> = listeners
                .iter()
                .filter_map(|listener| listener.local_addr().ok())
                .collect();
            if let [front, ready, control] = ports[..] {
                return Self {
                    front,
                    ready,
                    control,
                };
            }
        }
        panic!("no free loopback address");
    }

    /// Probes the readiness until it is a 200. Returns whether that came in time.
    fn wait_until_ready(&self) -> bool {
        let headers = [("Host", "ready"), ("Connection", "close")];
        let request = http::encode("GET /monsoonring/readyz HTTP/1.1", &headers, b"");
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            let reply = client::exchange(self.ready, &request, Duration::from_secs(1));
            if reply.is_ok_and(|reply| reply.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Starts a daemon on each of `count` machines and waits until they are ready and know each other. Returns `None` if
/// one of them does not become ready.
pub fn start_all(count: u8, store: SocketAddr, folder: &Path) -> Option<Vec<Daemon>> {
    let machines: Vec<Machine> = (0..count).map(Machine::find).collect();
    let start = |index| Daemon::start(index, &machines, store, folder);
    let daemons: Vec<Daemon> = (0..machines.len()).map(start).collect();
    if !machines.iter().all(Machine::wait_until_ready) {
        return None;
    }
    thread::sleep(DISCOVERY_TIME);
    Some(daemons)
}

impl Daemon {
    /// Starts the daemon of one of the machines, and adds its process id to the file `pids` of the folder.
    fn start(index: usize, machines: &[Machine], store: SocketAddr, folder: &Path) -> Self {
        let settings = settings(index, machines, store);
        let path = folder.join(format!("boot-{index}.conf"));
        std::fs::write(&path, settings).expect("the folder is writable");
        let log = std::fs::File::create(folder.join(format!("daemon-{index}.log")));
        let process = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("MONSOONRING_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.expect("the folder is writable"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon is built");
        let pids = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        writeln!(pids.expect("the folder is writable"), "{}", process.id()).expect("as above");
        Self {
            front: machines[index].front,
            process,
        }
    }
}

impl Daemon {
    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        let command = format!("kill -TERM {}", self.process.id());
        let status = Command::new("bash").args(["-c", &command]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "the process takes signals"
        );
    }

    /// Waits until the process has ended, for `limit` at most. Returns whether it has.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.process.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Returns the settings file of a machine of a small deployment.
fn settings(index: usize, machines: &[Machine], store: SocketAddr) -> String {
    let machine = machines[index];
    let seeds = machines
        .iter()
        .take(3)
        .map(|machine| machine.control.to_string());
    let seeds: Vec<String> = seeds.collect();
    format!(
        "nodeName=edge-hall-a-{index}\nrole=query-tier\nmachineClass=edge\nserves=edge,control_plane\n\
         ip={}\nzone=hall-a\nregion=north\nzones.hall-a=north\nlisten.front={}\nlisten.readinessAddr={}\n\
         listen.control={}\nportRange=7740,7755\nseeds={}\nbootstrap=true\ninTolerance=false\n\
         limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
         limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
         contracts=base,drain,config,cost,retry,recover,scatter,platform\nfaultTolerance.machines=2\n\
         faultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseDelayS=2\n\
         bounds.stableWindowMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=3000\n\
         bounds.graceS=6\nbounds.lostMs=200\nbounds.configMs=3000\nbounds.backMs=250\n\
         bounds.maxSkewMs=12000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=58\n\
         bounds.recoverS=12\nplatform.address={store}\nplatform.form=read\nplatform.writesPerS=400\n\
         platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n",
        machine.front.ip(),
        machine.front,
        machine.ready,
        machine.control,
        seeds.join(",")
    )
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error means that the process has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
