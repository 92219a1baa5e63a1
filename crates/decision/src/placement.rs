//! Which members are the homes of a route, and what each may take of the backend servers.
//!
//! Every daemon computes this from its own view of the members, without a word to the others, so
//! views may differ for a while. Rendezvous hashing keeps the difference small: a member that comes
//! or goes moves few homes. The connection limit holds by construction: the homes of one view
//! together take at most half of the limit ([`share`]), so that two views that have nothing in
//! common, the two sides of a partition, still fit. Half is enough, because a backend server takes
//! about ten connections for each request that it can work on.

mod difference;

pub use difference::Difference;

use crate::RequestId;
use crate::member::MemberId;
use monsoonring_configuration::document::Capacity;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Views of the members that may be acted on at the same time without exceeding the limit.
pub const CONCURRENT_VIEWS: u32 = 2;

/// Connections of a home to each backend server beside those for attempts: the one that reports are
/// read and attempts are cancelled over, which must not wait behind an attempt.
pub const CONTROL_CONNECTIONS: u32 = 1;

/// Connections that a home keeps ready at each backend server beyond those lately in use at once.
pub const SPARE_CONNECTIONS: usize = 1;

/// Groups that one home is meant to drive before a route gets more homes.
pub const GROUPS_PER_HOME: usize = 16;

/// Most homes of a route, whatever its backend servers would take.
pub const MAX_HOMES: usize = 32;

/// Outstanding queries by which a home in another data centre counts as busier than it is.
pub const REMOTE_PENALTY: u32 = 4;

/// Hosts in a data centre that are reckoned with until more are known, where every host is a home. The
/// users' deployments have one to three in each.
const ASSUMED_HOSTS: usize = 3;

/// Time over which owners bound extra attempts where they don't say.
const WINDOW: Duration = Duration::from_secs(10);

/// Returns the hosts that are reckoned with in so many data centres until more are known.
pub fn assumed_hosts(data_centres: usize) -> Homes {
    Homes {
        all: data_centres.max(1) * ASSUMED_HOSTS,
        near: ASSUMED_HOSTS,
        ..Homes::from(0)
    }
}

/// Share of a server's connections that may be kept ready without need. After a loss of power of all
/// homes a server counts those that they had until it finds them idle, and has to have room for as
/// many again.
const IDLE_SHARE: f64 = 0.45;

/// Share of a server's connections, and of the extra attempts beyond the ratio, for the homes that fan out
/// for others; the rest is for those that do so when none of them answers.
const STRONG_CONNECTIONS: f64 = 0.5;
const STRONG_SLACK: f64 = 0.75;

/// Views of the members that may be acted on at the same time without exceeding what a cold server max_rate.
const COLD_VIEWS: f64 = 2.0;

/// Time for which a connection without need is held at most.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// The homes that share backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Homes {
    /// All of them.
    pub all: usize,
    /// Those in one's own data centre.
    pub near: usize,
    /// Those of the near ones that fan out for others.
    pub strong: usize,
    /// What this one does.
    pub role: Role,
    /// Its place among the near ones that do the same.
    pub rank: usize,
}

/// What a home does for others, or others for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// All homes do the same.
    #[default]
    Even,
    /// It fans out for others.
    Strong,
    /// Others fan out for it; it does so itself only where none of them answers.
    Weak,
}

impl Homes {
    /// Returns the homes that fan out for others, here and elsewhere, if data centres are alike.
    ///
    /// Where they are not, each overrates or underrates the others by as much as itself, so that the
    /// parts still make up the whole: a data centre of `near` homes divides `near / all` of it.
    fn all_strong(&self) -> f64 {
        self.strong.max(1) as f64 * self.all as f64 / self.near.max(1) as f64
    }
}

impl From<usize> for Homes {
    /// Takes all homes for near ones, and all for alike.
    fn from(homes: usize) -> Self {
        Self {
            all: homes,
            near: homes,
            strong: 0,
            role: Role::Even,
            rank: 0,
        }
    }
}

/// How much of the backend servers one home may take beside the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Homes that share the backend servers.
    homes: Homes,
    views: u32,
    control: u32,
    /// Connections kept ready at each backend server beyond those lately in use at once.
    pub spare: usize,
    /// Connections kept ready at each backend server without any need.
    pub min_idle: usize,
    /// Extra attempts that all homes together may make at each group beyond a share of the first
    /// ones, where that is bounded.
    slack: Option<f64>,
    /// Time over which they are counted.
    window: Duration,
}

impl Division {
    /// Divides among the homes of a route, which two views of the members may choose differently.
    pub fn among(homes: usize) -> Self {
        Self {
            homes: homes.max(1).into(),
            views: CONCURRENT_VIEWS,
            control: CONTROL_CONNECTIONS,
            spare: SPARE_CONNECTIONS,
            min_idle: 1,
            slack: None,
            window: WINDOW,
        }
    }

    /// Divides among all `hosts`, none of which makes calls beside its attempts. Views can't choose
    /// different homes where everyone is one. `slack` is the number of extra attempts that all
    /// hosts together may make at each group beyond a share of the first ones.
    ///
    /// Nothing is kept to spare. When hosts lose power, a server goes on counting the connections
    /// that they had until it finds them idle, and they come back to a server that is half full:
    /// with one to spare, 361 of 900 connects in the first second were ended at once.
    pub fn among_all_hosts(hosts: impl Into<Homes>, slack: f64) -> Self {
        Self {
            homes: hosts.into(),
            views: 1,
            control: 0,
            spare: 0,
            min_idle: 1,
            slack: Some(slack),
            window: WINDOW,
        }
    }

    /// Bounds the extra attempts over this time.
    #[must_use]
    pub fn with_window(self, window: Duration) -> Self {
        Self { window, ..self }
    }

    /// Keeps no connection ready without need. Where another home here has the same backend servers,
    /// both would hold some: servers that several routes lead to in different sets were left with
    /// no room for hosts that came back after a loss of power, for eight seconds.
    #[must_use]
    pub fn on_demand(self) -> Self {
        Self {
            min_idle: 0,
            ..self
        }
    }

    /// Returns the connections that a home may hold to a backend server which takes `limit`.
    pub fn connections(&self, limit: u32) -> usize {
        let homes = u32::try_from(self.count()).unwrap_or(u32::MAX);
        let own = limit / self.views / homes;
        let even = own.saturating_sub(self.control).max(1) as usize;
        match self.homes.role {
            Role::Even | Role::Weak => even,
            Role::Strong => {
                let most = f64::from(limit) * STRONG_CONNECTIONS;
                even.max((most / self.homes.all_strong()) as usize)
            }
        }
    }

    /// Returns the time for which a connection to a backend server that takes `limit` is held without
    /// need: the longer, the fewer of the homes further away could hold one each beside those nearby.
    ///
    /// A server counts connections of homes that lost power until it finds them idle. Where 89 homes
    /// held each for five seconds, servers that take 76 had no room for those that came back, and half
    /// of the searches were refused for eight seconds.
    pub fn idle_time(&self, limit: u32) -> Duration {
        let near = self.homes.near as f64;
        let far = self.count() as f64 - near;
        if far < 1.0 || self.homes.role == Role::Strong {
            return MAX_IDLE_TIME;
        }
        let most = f64::from(limit) * IDLE_SHARE - near;
        MAX_IDLE_TIME.mul_f64((most / far).clamp(0.0, 1.0))
    }

    /// Returns the share of the homes in a server's data centre that keep a connection to it ready
    /// without need, from 0 to 1.
    pub fn idle_share(&self, limit: u32) -> f64 {
        let most = f64::from(limit) * IDLE_SHARE;
        match self.homes.role {
            Role::Even => (most / self.homes.near.max(1) as f64).min(1.0),
            Role::Strong => 1.0,
            Role::Weak => 0.0,
        }
    }

    /// Returns the extra attempts that a home may make at one group beyond its share of the first
    /// ones, where that is bounded.
    pub fn slack(&self) -> Option<f64> {
        let strong = self.homes.all_strong();
        let part = match self.homes.role {
            Role::Even => 1.0 / self.count() as f64,
            Role::Strong => STRONG_SLACK / strong,
            Role::Weak => (1.0 - STRONG_SLACK) / (self.count() as f64 - strong).max(1.0),
        };
        self.slack.map(|slack| slack * part)
    }

    /// Returns the requests that a home may send in any second to a cold backend server in its own data centre, which
    /// `max_rate` so many from all homes.
    ///
    /// The homes of the server's data centre divide half of it, so that two views of the members that have nothing in
    /// common still fit. Those that fan out for others have the larger part. Where there are more homes than
    /// requests, some of them may send one each: others for each server, so that all servers of a home are not shut
    /// at once.
    pub fn cold_quota(&self, max_rate: f64, server: BackendServerId) -> usize {
        if self.min_idle == 0 {
            // Another home here has the same servers, and all of this.
            return 0;
        }
        let Homes { near, strong, .. } = self.homes;
        let (part, homes) = match self.homes.role {
            Role::Even => (1.0, near),
            Role::Strong => (STRONG_SLACK, strong),
            Role::Weak => (1.0 - STRONG_SLACK, near.saturating_sub(strong)),
        };
        let homes = homes.max(1);
        let all = (max_rate * part / COLD_VIEWS) as usize;
        let turn = xxh3_64(server.to_string().as_bytes()) as usize;
        let place = turn.wrapping_add(self.homes.rank) % homes;
        all / homes + usize::from(place < all % homes)
    }

    /// Returns how many homes are likely to ask a server as often as this one.
    pub fn similar_homes(&self) -> f64 {
        match self.homes.role {
            Role::Even | Role::Weak => self.count() as f64,
            Role::Strong => self.homes.all_strong(),
        }
    }

    /// Returns the number of homes that share the backend servers, this one included.
    fn count(&self) -> usize {
        self.homes.all.max(1)
    }

    /// Returns the homes that share the backend servers.
    pub fn homes(&self) -> Homes {
        self.homes
    }

    /// Returns the time over which extra attempts are bounded.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Divides the same among another number of homes.
    #[must_use]
    pub fn with_homes(self, homes: impl Into<Homes>) -> Self {
        Self {
            homes: homes.into(),
            ..self
        }
    }
}

/// What a home takes, and where the backend servers are.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Its part beside the other homes.
    pub division: Division,
    /// The backend servers in other data centres than its own.
    pub far: BTreeSet<BackendServerId>,
}

impl<T: Into<Division>> From<T> for Allocation {
    fn from(division: T) -> Self {
        Self {
            division: division.into(),
            far: BTreeSet::new(),
        }
    }
}

impl From<usize> for Division {
    fn from(homes: usize) -> Self {
        Self::among(homes)
    }
}

/// A serving member, as far as placement is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Peer address.
    pub id: MemberId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// What a daemon knows of a home that it could pass a query on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeLoad {
    /// The home.
    pub id: MemberId,
    /// Whether it is in the daemon's own data centre.
    pub near: bool,
    /// Whether it is suspected of being dead.
    pub suspect: bool,
    /// Queries passed on to it and not yet answered.
    pub outstanding: u32,
}

/// Returns the number of homes of a route.
///
/// With room to spare each home can keep all slots of a backend server busy on its own, so that
/// the slots are shared well whichever home the work lands on:
/// `roomy = limit / CONCURRENT_VIEWS / (slots + CONTROL_CONNECTIONS)`. A route with many groups gets more homes, down to
/// one connection for attempts each: `wanted = groups / GROUPS_PER_HOME`, at most
/// `limit / CONCURRENT_VIEWS / (1 + CONTROL_CONNECTIONS)`. Never more than [`MAX_HOMES`] or the members; all members when
/// they are few.
pub fn homes(capacity: &Capacity, groups: usize, members: usize) -> usize {
    let usable = capacity.connections / CONCURRENT_VIEWS;
    let most = (usable / (1 + CONTROL_CONNECTIONS)).max(1) as usize;
    let roomy = (usable / (capacity.slots.max(1) + CONTROL_CONNECTIONS)).max(1) as usize;
    let wanted = groups.div_ceil(GROUPS_PER_HOME).min(most);
    roomy.max(wanted).min(MAX_HOMES).min(members)
}

/// Returns the connections for attempts that each of `homes` may hold to one backend server, beside
/// [`CONTROL_CONNECTIONS`] others.
///
/// Bound: homes of one view hold at most `limit / CONCURRENT_VIEWS` together; hence the sum over any two
/// views, whatever they differ by, is at most `limit`. With more views at once, any set of
/// `2 * homes` distinct daemons fits, so views that moved at most `homes` homes in all do. Only a
/// limit below `CONCURRENT_VIEWS * (1 + CONTROL_CONNECTIONS)` can't be shared so: then the one home has one connection for
/// attempts all the same.
pub fn share(limit: u32, homes: usize) -> u32 {
    Division::among(homes).connections(limit) as u32
}

/// Returns the homes of a route, best first: `count` members by rendezvous hashing, at most
/// `count / data centres`, rounded up, in one data centre while there are enough elsewhere.
pub fn select(route: &str, members: &[Member], count: usize) -> Vec<MemberId> {
    let by_data_centre = best_by_data_centre(route, members, count);
    let cap = count.div_ceil(by_data_centre.len().max(1));
    let (mut chosen, mut rest) = (Vec::new(), Vec::new());
    for ranked in by_data_centre.into_values() {
        let (within, beyond) = ranked.split_at(cap.min(ranked.len()));
        chosen.extend_from_slice(within);
        rest.extend_from_slice(beyond);
    }
    chosen.sort_unstable_by(|a, b| b.cmp(a));
    rest.sort_unstable_by(|a, b| b.cmp(a));
    chosen.extend(rest);
    chosen.truncate(count);
    chosen.into_iter().map(|(_, id)| id).collect()
}

/// Returns the home that a query goes to: the daemon itself if it is one; else one that is not
/// suspected, with the fewest outstanding queries, the near ones first. Ties are broken by the
/// request, so that daemons without load don't all choose the same home.
pub fn choose(own: MemberId, request: RequestId, homes: &[HomeLoad]) -> Option<MemberId> {
    if homes.iter().any(|home| home.id == own) {
        return Some(own);
    }
    let seed = xxh3_64(&request.to_be_bytes());
    homes
        .iter()
        .min_by_key(|home| {
            let distance = if home.near { 0 } else { REMOTE_PENALTY };
            let busy = home.outstanding.saturating_add(distance);
            (home.suspect, busy, hash(seed, home.id))
        })
        .map(|home| home.id)
}

/// Rendezvous score of a member for a name; the highest comes first.
pub(crate) fn score(name: &str, id: MemberId) -> u64 {
    hash(xxh3_64(name.as_bytes()), id)
}

/// Returns a number from 0 to 1 that is drawn for a home and a backend server, always the same.
pub(crate) fn uniform_hash(home: u64, server: BackendServerId) -> f64 {
    hash(home, server) as f64 / u64::MAX as f64
}

fn hash(seed: u64, id: MemberId) -> u64 {
    let mut bytes = [0; 18];
    match id.ip() {
        std::net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&id.port().to_be_bytes());
    xxh3_64_with_seed(&bytes, seed)
}

type Ranked = Vec<(u64, MemberId)>;

/// The best `count` of each data centre, best first. One pass keeps the cost linear in the members.
fn best_by_data_centre<'a>(
    route: &str,
    members: &'a [Member],
    count: usize,
) -> BTreeMap<&'a str, Ranked> {
    let seed = xxh3_64(route.as_bytes());
    let mut best: BTreeMap<&str, Ranked> = BTreeMap::new();
    for member in members {
        let ranked = best.entry(&member.data_centre).or_default();
        ranked.push((hash(seed, member.id), member.id));
        if ranked.len() >= 2 * count.max(1) {
            keep_best(ranked, count);
        }
    }
    for ranked in best.values_mut() {
        keep_best(ranked, count);
    }
    best
}

fn keep_best(ranked: &mut Ranked, count: usize) {
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
}
