//! What goes wrong, one thing at a time, and how it is taken back. Faults overlap with what the ones before
//! them left behind: processes that start, servers that are cold, histories that are read anew.

use super::check::Violation;
use super::host::{Host, data_centre};
use super::support::server::Behaviour;
use super::{BEARS, Result, World};
use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::sleep;

/// Time over which a cold server counts what it gets.
const COUNTED: Duration = Duration::from_secs(1);

/// Something that goes wrong, or is planned. Hosts and servers are named by number.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Pause(usize, Duration),
    Stop(usize),
    HangUp(usize),
    StoreDown(Duration),
    StoreForgets,
    Misbehave(usize, Behaviour, Duration),
    Drain(usize, Duration),
    Configure,
    /// Operators empty a data centre.
    Empty(usize, Duration),
    /// All servers of a service and a data centre say that they are cold.
    Cool(usize, Duration),
    /// The store is away for a time and comes back from a copy of some faults ago.
    StoreGoesBack(usize, Duration),
}

impl Fault {
    pub(crate) fn draw(rng: &mut ChaCha8Rng, hosts: usize, servers: usize) -> Self {
        let host = rng.random_range(0..hosts);
        let server = rng.random_range(0..servers);
        let time = Duration::from_millis(rng.random_range(50..900));
        match rng.random_range(0..15) {
            0 => Self::Kill(host),
            1 => Self::Pause(host, time),
            2 => Self::Stop(host),
            3 => Self::HangUp(host),
            4 => Self::StoreDown(time),
            5 => Self::StoreForgets,
            6 => Self::Misbehave(server, Behaviour::Slow(time), time),
            7 => Self::Misbehave(server, Behaviour::Shed, time),
            8 => Self::Misbehave(server, Behaviour::Reset, time),
            9 => Self::Misbehave(server, Behaviour::AnswerTwice, time),
            10 => Self::Drain(server, time),
            11 => Self::Empty(host, time),
            12 => Self::Cool(server, time),
            13 => Self::StoreGoesBack(rng.random_range(1..4), time),
            _ => Self::Configure,
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Kill(_) => "process killed",
            Self::Pause(..) => "process paused",
            Self::Stop(_) => "process stopped as planned",
            Self::HangUp(_) => "settings read again",
            Self::StoreDown(_) => "store down",
            Self::StoreForgets => "store forgets its history",
            Self::Misbehave(_, Behaviour::Slow(_), _) => "server slow",
            Self::Misbehave(_, Behaviour::Shed, _) => "server turns away",
            Self::Misbehave(_, Behaviour::Reset, _) => "server breaks off",
            Self::Misbehave(_, Behaviour::AnswerTwice, _) => "server answers twice",
            Self::Misbehave(_, Behaviour::Answer, _) => "server well",
            Self::Drain(..) => "server drains and comes back",
            Self::Configure => "configuration changed",
            Self::Empty(..) => "data centre emptied",
            Self::Cool(..) => "server cold",
            Self::StoreGoesBack(..) => "store goes back",
        }
    }

    /// Brings the fault about, and takes back what lasts. Returns the promise that broke at once, if one did.
    pub(crate) async fn inject(
        self,
        world: &mut World,
        hosts: &mut [Host],
    ) -> Result<Option<Violation>> {
        match self {
            Self::Kill(host) => {
                hosts[host].kill()?;
                sleep(Duration::from_millis(100)).await;
                hosts[host].run()?;
            }
            Self::Pause(host, time) => {
                hosts[host].signal(Signal::SIGSTOP)?;
                sleep(time).await;
                hosts[host].signal(Signal::SIGCONT)?;
            }
            Self::Stop(host) => {
                let code = hosts[host].stop().await?;
                hosts[host].kill()?;
                hosts[host].run()?;
                return Ok((code != Some(0)).then(|| cut_off(host, code)));
            }
            Self::HangUp(host) => hosts[host].signal(Signal::SIGHUP)?,
            Self::StoreDown(time) => {
                world.store.set_down(true);
                sleep(time).await;
                world.store.set_down(false);
            }
            Self::StoreForgets => world.store.lose_history_during(|_| {}),
            Self::Misbehave(server, habit, time) => {
                world.servers[server].set_behaviour(habit);
                sleep(time).await;
                world.servers[server].set_behaviour(Behaviour::Answer);
            }
            Self::Drain(server, time) => {
                world.servers[server].register(&world.store, "draining");
                sleep(time).await;
                world.servers[server].register(&world.store, "ready");
            }
            Self::Configure => world.configure(),
            Self::Empty(number, time) => return Ok(empty(world, number, time).await),
            Self::Cool(server, time) => return Ok(cool(world, server, time).await),
            Self::StoreGoesBack(ago, time) => {
                world.store.set_down(true);
                world.go_back(ago);
                sleep(time).await;
                world.store.set_down(false);
                // Operators and servers write again what they had written.
                sleep(time).await;
                world.write_again();
            }
        }
        Ok(None)
    }
}

/// Time within which an order, and what a server says of itself, is known at hosts that reach the store: two thirds of
/// the bound of three seconds.
const KNOWN: Duration = Duration::from_secs(2);

/// Empties a data centre, and gives it back. Its servers are to get nothing from when the order is known.
async fn empty(world: &World, number: usize, time: Duration) -> Option<Violation> {
    let data_centre = data_centre(number);
    world.store.evacuate(data_centre);
    sleep(KNOWN).await;
    let before = world.ran_in(data_centre);
    sleep(time).await;
    let after = world.ran_in(data_centre);
    world.store.withdraw_evacuation(data_centre);
    let new = after
        .iter()
        .zip(&before)
        .flat_map(|(after, before)| &after[before.len()..]);
    let new: Vec<&String> = new.collect();
    (!new.is_empty()).then(|| Violation {
        promise: "nothing new in an emptied data centre",
        id: data_centre.to_owned(),
        seen: format!("after {KNOWN:?}: {new:?}"),
    })
}

/// Lets a server be cold. It is not to get more than it bears, from when that is known.
async fn cool(world: &World, server: usize, time: Duration) -> Option<Violation> {
    let server = &world.servers[server];
    server.register_cold(&world.store, KNOWN + COUNTED + time);
    sleep(KNOWN).await;
    let before = server.arrivals().len();
    sleep(COUNTED).await;
    let got = server.arrivals().len() - before;
    server.register_cold(&world.store, Duration::ZERO);
    (got > BEARS).then(|| Violation {
        promise: "no more than a cold server bears",
        id: server.address.to_string(),
        seen: format!("{got} requests in {COUNTED:?}"),
    })
}

fn cut_off(host: usize, code: Option<i32>) -> Violation {
    Violation {
        promise: "planned stops cut nothing off",
        id: format!("edge-{host}"),
        seen: format!("exit code {code:?}"),
    }
}

/// Takes everything back that a fault may have left.
///
/// # Errors
///
/// A signal could not be sent.
pub(crate) fn lift_all(world: &mut World, hosts: &mut [Host]) -> Result<()> {
    world.store.set_down(false);
    for server in &world.servers {
        server.set_behaviour(Behaviour::Answer);
        server.register_cold(&world.store, Duration::ZERO);
    }
    for host in hosts {
        host.signal(Signal::SIGCONT)?;
    }
    Ok(())
}
