//! The daemon under test: the program and arguments of the deploy file, as a process of its own.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Port of the metrics endpoint, which the settings don't name.
const METRICS_PORT: u16 = 9464;

/// All processes that were started.
static CHILDREN: Mutex<Vec<Weak<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let children = CHILDREN.lock().expect("the lock is not poisoned");
    for child in children.iter().filter_map(Weak::upgrade) {
        let _ = child.lock().expect("the lock is not poisoned").kill();
    }
}

/// A running daemon. Dropping it ends the process and deletes its temporary folder.
pub struct Daemon {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Child>>,
    folder: PathBuf,
}

/// Addresses of a daemon, on a loopback address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl Addresses {
    /// Picks a loopback address where the metrics port is free, and free ports on it.
    pub fn pick() -> Result<Self, String> {
        let seed = std::process::id();
        for attempt in 0..200 {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 7 + next()) % 60_000;
            let ip = format!("127.77.{}.{}", number / 250 + 1, number % 250 + 2);
            let free = |port| {
                let listener = TcpListener::bind(format!("{ip}:{port}")).ok()?;
                listener.local_addr().ok()
            };
            if free(METRICS_PORT).is_none() {
                continue;
            }
            if let (Some(front), Some(ready), Some(control)) = (free(0), free(0), free(0)) {
                if front != ready && ready != control && front != control {
                    return Ok(Self {
                        front,
                        ready,
                        control,
                    });
                }
            }
        }
        Err("no free loopback address".to_owned())
    }
}

fn next() -> u32 {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    NUMBER.fetch_add(1_009, Ordering::Relaxed)
}

impl Daemon {
    /// Starts a daemon with the settings of a small deployment, and waits until it is ready.
    pub fn start(
        name: &str,
        addresses: Addresses,
        seeds: &[Addresses],
        store: SocketAddr,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).map_err(text)?;
        let boot = folder.join("boot.conf");
        fs::write(&boot, settings(name, addresses, seeds, store)).map_err(text)?;
        let output = File::create(folder.join("log")).map_err(text)?;
        let program = Path::new("target/release/monsoonringd");
        let child = Command::new(program)
            .arg("platform")
            .env_clear()
            .env("MONSOONRING_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let child = Arc::new(Mutex::new(child));
        let mut children = CHILDREN.lock().expect("the lock is not poisoned");
        children.push(Arc::downgrade(&child));
        drop(children);
        let daemon = Self {
            front: addresses.front,
            ready: addresses.ready,
            child,
            folder,
        };
        daemon.wait_until_ready()?;
        Ok(daemon)
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("the lock is not poisoned");
        matches!(child.try_wait(), Ok(Some(_)))
    }

    fn is_ready(&self) -> bool {
        crate::client::get(self.ready, "/monsoonring/readyz") == Some(200)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.has_ended() {
                return Err("a daemon ended at its start".to_owned());
            }
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("a daemon did not become ready".to_owned())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("the lock is not poisoned");
        let _ = child.kill();
        let _ = child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(name: &str, addresses: Addresses, seeds: &[Addresses], store: SocketAddr) -> String {
    let Addresses {
        front,
        ready,
        control,
    } = addresses;
    let ip = front.ip();
    let seeds: Vec<String> = seeds.iter().map(|seed| seed.control.to_string()).collect();
    let seeds = seeds.join(",");
    format!(
        "nodeName={name}
role=query-tier
machineClass=edge
serves=edge,control_plane
ip={ip}
zone=hall-a
region=north
zones.hall-a=north
listen.front={front}
listen.readinessAddr={ready}
listen.control={control}
portRange=7740,7755
seeds={seeds}
bootstrap=true
inTolerance=false
limits.cpuShare=0.25
limits.cores=1
limits.memoryMb=260
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseDelayS=2
bounds.stableWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lostMs=200
bounds.configMs=3000
bounds.backMs=250
bounds.maxSkewMs=12000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=58
bounds.warmupOverage=1.5
bounds.warmupSlack=5
bounds.recoverS=12
platform.address={store}
platform.form=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"
    )
}
