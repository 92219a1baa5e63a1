//! One host: a real process, and the signals that it gets.

use super::Result;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Port of each host's address for clients; the next two are those for readiness and for other hosts.
const FRONT: u16 = 18_226;

/// Time that a planned stop may take beyond its grace time.
const STOP_SLACK: Duration = Duration::from_secs(3);

/// Grace time of a planned stop, in seconds: short, as a soak has many.
const GRACE_S: u64 = 2;

/// A host and its process.
pub(crate) struct Host {
    pub(crate) front: SocketAddr,
    pub(crate) metrics: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Port of the metrics, which is the same on every host.
const METRICS: u16 = 9_464;

/// Returns the data centre of the host or service with this number: there are two.
pub(crate) fn data_centre(number: usize) -> &'static str {
    if number % 2 == 0 { "hall" } else { "yard" }
}

/// Returns the address of a host's port. Each has an address of its own, as the port of the metrics is the
/// same everywhere, and so have runs of the soak beside each other.
fn address(number: u8, port: u16) -> SocketAddr {
    let run = (std::process::id() % 250) as u8;
    SocketAddr::from(([127, 8, run, number + 1], port))
}

impl Host {
    /// Writes the settings of host `number` of `count`, and starts it. Two of three hosts are stronger, so that each
    /// data centre has some.
    pub(crate) fn start(
        (number, count): (u8, u8),
        store: SocketAddr,
        binary: &Path,
        folder: &Path,
    ) -> Result<Self> {
        let seeds: Vec<String> = (0..count.min(3))
            .map(|seed| address(seed, FRONT + 2).to_string())
            .collect();
        let cores = if number % 3 == 0 { 0.12 } else { 0.5 };
        let data_centre = data_centre(usize::from(number));
        let (front, ready, hosts) = (FRONT, FRONT + 1, FRONT + 2);
        let text = format!(
            "nodeName=edge-{number}\nzone={data_centre}\nzones.hall=tunis\nzones.yard=tunis\nserves=edge\n\
             listen.front={}\nlisten.readinessAddr={}\nlisten.control={}\nseeds={}\n\
             platform.address={store}\nlimits.maxFds=4100\nlimits.cpuShare={cores}\n\
             bounds.graceS={GRACE_S}\nbounds.retrySlack=58\n",
            address(number, front),
            address(number, ready),
            address(number, hosts),
            seeds.join(",")
        );
        let settings = folder.join(format!("edge-{number}.conf"));
        std::fs::write(&settings, text)?;
        let mut host = Self {
            front: address(number, front),
            metrics: address(number, METRICS),
            binary: binary.to_owned(),
            settings,
            log: folder.join(format!("edge-{number}.log")),
            process: None,
        };
        host.run()?;
        Ok(host)
    }

    /// Starts the process; its log goes on where it was.
    pub(crate) fn run(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(&self.binary)
            .arg("platform")
            .env("MONSOONRING_BOOT", &self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, signal: Signal) -> Result<()> {
        if let Some(process) = &self.process {
            kill(Pid::from_raw(i32::try_from(process.id())?), signal)?;
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) -> Result<()> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// Stops the process as planned. Returns its exit code, none where it did not end in time.
    pub(crate) async fn stop(&mut self) -> Result<Option<i32>> {
        self.signal(Signal::SIGTERM)?;
        let until = Instant::now() + Duration::from_secs(GRACE_S) + STOP_SLACK;
        while let Some(process) = &mut self.process {
            if let Some(status) = process.try_wait()? {
                self.process = None;
                return Ok(status.code());
            }
            if Instant::now() > until {
                return Ok(None);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(None)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // A process that is left would take the addresses of the next run.
        if let Err(error) = self.kill() {
            eprintln!("a host could not be ended: {error}");
        }
    }
}
