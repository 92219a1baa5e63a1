//! Selects the homes of a route and divides the backend servers' capacity among them.
//!
//! Every daemon computes this from its own view of the membership without coordination, so views may
//! differ for a while. Rendezvous hashing keeps the difference small: a member that joins or leaves
//! moves few homes. The connection limit of a backend server holds by construction: the homes of one
//! view together use at most half of it ([`share`]), so two disjoint views, such as the two sides of a
//! partition, still fit. Half is enough because a backend server accepts about ten connections for each
//! request slot.

mod difference;

pub use difference::Difference;

use crate::RequestId;
use crate::backend::Ledger;
use crate::member::MemberId;
use monsoonring_configuration::document::Capacity;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of different membership views that daemons may act on at the same time without exceeding the
/// connection limit.
pub const CONCURRENT_VIEWS: u32 = 2;

/// Control connections of a home to each backend server. Load reports and cancellations use a separate
/// connection so that they never wait behind an attempt.
pub const CONTROL_CONNECTIONS: u32 = 1;

/// Idle connections that a home keeps to each backend server beyond its recent peak of concurrent use.
pub const SPARE_CONNECTIONS: usize = 1;

/// Number of groups per home above which a route gets more homes.
pub const GROUPS_PER_HOME: usize = 16;

/// Maximum number of homes of a route.
pub const MAX_HOMES: usize = 32;

/// Outstanding queries added to the load of a home in another data centre when a home is chosen.
pub const REMOTE_PENALTY: u32 = 4;

/// Number of hosts assumed in each data centre until more are discovered, where every host is a home.
const ASSUMED_HOSTS_PER_DATA_CENTRE: usize = 3;

/// Default length of the window in which extra attempts are bounded.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Returns the hosts assumed in this number of data centres until more are discovered.
pub fn assumed_hosts(data_centres: usize) -> Homes {
    Homes {
        all: data_centres.max(1) * ASSUMED_HOSTS_PER_DATA_CENTRE,
        near: ASSUMED_HOSTS_PER_DATA_CENTRE,
        ..Homes::from(0)
    }
}

/// Share of a server's connection limit that may be idle connections. After a power loss of all homes a
/// server still counts their old connections until its idle timeout, and must have room for new ones.
const IDLE_CONNECTION_SHARE: f64 = 0.45;

/// Share of a server's connections that goes to strong homes. The rest is for weak homes, which fan out
/// themselves when no strong home answers.
const STRONG_CONNECTION_SHARE: f64 = 0.5;
/// Share of the slack for extra attempts, and of the request rate of a cold server, that goes to strong
/// homes.
const STRONG_SLACK_SHARE: f64 = 0.75;

/// Number of different membership views that daemons may act on at the same time without exceeding the
/// request rate of a cold server.
const COLD_VIEWS: f64 = 2.0;

/// Maximum time for which an idle connection is kept.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// The homes that share backend servers, as seen by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Homes {
    /// Number of homes in all data centres.
    pub all: usize,
    /// Number of homes in this home's data centre.
    pub near: usize,
    /// Number of strong homes in this home's data centre.
    pub strong: usize,
    /// Role of this home.
    pub role: Role,
    /// Position of this home among those with the same role in its data centre.
    pub rank: usize,
}

/// Whether a home fans out searches for other homes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Every home fans out its own searches.
    #[default]
    Even,
    /// The home also fans out searches for weak homes.
    Strong,
    /// Strong homes fan out for this home; it fans out itself only if none of them answers.
    Weak,
}

impl Homes {
    /// Returns the number of strong homes in all data centres, assuming the same ratio of strong homes
    /// everywhere.
    ///
    /// If the ratio differs, the shares still add up: the homes of a data centre together get
    /// `near / all` of the total.
    fn estimated_strong(&self) -> f64 {
        self.strong.max(1) as f64 * self.all as f64 / self.near.max(1) as f64
    }
}

impl From<usize> for Homes {
    /// Treats all homes as being in the same data centre, with the same role.
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

/// Division of the backend servers' capacity among homes, from which one home computes its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Homes that share the backend servers.
    homes: Homes,
    views: u32,
    control: u32,
    /// Idle connections kept to each backend server beyond the recent peak of concurrent use.
    pub spare: usize,
    /// Connections kept to each backend server even if unused.
    pub min_idle: usize,
    /// Extra attempts that all homes together may make at each group in a window, in addition to a
    /// share of the first attempts; `None` if these are not bounded.
    slack: Option<f64>,
    /// Length of that window.
    window: Duration,
}

impl Division {
    /// Divides among the homes of a route, leaving room for the homes of a second membership view.
    pub fn among(homes: usize) -> Self {
        Self {
            homes: homes.max(1).into(),
            views: CONCURRENT_VIEWS,
            control: CONTROL_CONNECTIONS,
            spare: SPARE_CONNECTIONS,
            min_idle: 1,
            slack: None,
            window: DEFAULT_WINDOW,
        }
    }

    /// Divides among all `hosts`, where every host is a home. Membership views then can't select
    /// different homes, and there are no control connections. `slack` is the number of extra attempts
    /// that all hosts together may make at each group in a window, in addition to a share of the first
    /// attempts.
    ///
    /// No spare connections are kept: after a power loss a server still counts the old connections of
    /// the hosts until its idle timeout, and would reject many of the new ones.
    pub fn among_all_hosts(hosts: impl Into<Homes>, slack: f64) -> Self {
        Self {
            homes: hosts.into(),
            views: 1,
            control: 0,
            spare: 0,
            min_idle: 1,
            slack: Some(slack),
            window: DEFAULT_WINDOW,
        }
    }

    /// Sets the length of the window in which extra attempts are bounded.
    #[must_use]
    pub fn with_window(self, window: Duration) -> Self {
        Self { window, ..self }
    }

    /// Keeps no idle connections. Used if another home in this process has the same backend servers:
    /// if both kept some, the servers could lack room for hosts that return after a power loss.
    #[must_use]
    pub fn on_demand(self) -> Self {
        Self {
            min_idle: 0,
            ..self
        }
    }

    /// Returns the maximum number of connections for attempts from this home to a backend server that
    /// accepts `limit` connections.
    pub fn connections(&self, limit: u32) -> usize {
        let homes = u32::try_from(self.count()).unwrap_or(u32::MAX);
        let own = limit / self.views / homes;
        let even = own.saturating_sub(self.control).max(1) as usize;
        match self.homes.role {
            Role::Even | Role::Weak => even,
            Role::Strong => {
                let strong_total = f64::from(limit) * STRONG_CONNECTION_SHARE;
                even.max((strong_total / self.homes.estimated_strong()) as usize)
            }
        }
    }

    /// Returns the time for which this home keeps an idle connection to a backend server that accepts
    /// `limit` connections.
    ///
    /// The time is shorter the more remote homes compete for the idle connections that nearby homes
    /// leave. After a power loss a server still counts the old connections until its idle timeout; too
    /// many of them leave no room for the homes that return.
    pub fn idle_time(&self, limit: u32) -> Duration {
        let near = self.homes.near as f64;
        let remote = self.count() as f64 - near;
        if remote < 1.0 || self.homes.role == Role::Strong {
            return MAX_IDLE_TIME;
        }
        let max_idle = f64::from(limit) * IDLE_CONNECTION_SHARE - near;
        MAX_IDLE_TIME.mul_f64((max_idle / remote).clamp(0.0, 1.0))
    }

    /// Returns the fraction of the homes in a server's data centre that keep an idle connection to it,
    /// from 0 to 1, if it accepts `limit` connections.
    pub fn idle_share(&self, limit: u32) -> f64 {
        let max_idle = f64::from(limit) * IDLE_CONNECTION_SHARE;
        match self.homes.role {
            Role::Even => (max_idle / self.homes.near.max(1) as f64).min(1.0),
            Role::Strong => 1.0,
            Role::Weak => 0.0,
        }
    }

    /// Returns the extra attempts that this home may make at one group in a window, in addition to a
    /// share of its first attempts; `None` if these are not bounded.
    pub fn slack(&self) -> Option<f64> {
        let strong = self.homes.estimated_strong();
        let share = match self.homes.role {
            Role::Even => 1.0 / self.count() as f64,
            Role::Strong => STRONG_SLACK_SHARE / strong,
            Role::Weak => (1.0 - STRONG_SLACK_SHARE) / (self.count() as f64 - strong).max(1.0),
        };
        self.slack.map(|slack| slack * share)
    }

    /// Returns the number of requests per second that the homes of a process may together send to a cold
    /// backend server in their data centre that accepts `max_rate` requests per second from all homes.
    ///
    /// The homes of the data centre share half of the rate, so that two disjoint membership views still
    /// fit; strong homes get the larger part. If there are more homes than requests, some homes get one
    /// request and the others none. Which homes these are differs by server, so that a home is not
    /// excluded from all cold servers at the same time.
    pub fn cold_quota(&self, max_rate: f64, server: BackendServerId) -> usize {
        let Homes { near, strong, .. } = self.homes;
        let (share, count) = match self.homes.role {
            Role::Even => (1.0, near),
            Role::Strong => (STRONG_SLACK_SHARE, strong),
            Role::Weak => (1.0 - STRONG_SLACK_SHARE, near.saturating_sub(strong)),
        };
        let count = count.max(1);
        let all = (max_rate * share / COLD_VIEWS) as usize;
        let offset = xxh3_64(server.to_string().as_bytes()) as usize;
        let position = offset.wrapping_add(self.homes.rank) % count;
        all / count + usize::from(position < all % count)
    }

    /// Returns the number of homes, this one included, that are likely to send a server as many requests
    /// as this home.
    pub fn similar_homes(&self) -> f64 {
        match self.homes.role {
            Role::Even | Role::Weak => self.count() as f64,
            Role::Strong => self.homes.estimated_strong(),
        }
    }

    /// Returns the number of homes that share the backend servers, including this one.
    fn count(&self) -> usize {
        self.homes.all.max(1)
    }

    /// Returns the homes that share the backend servers.
    pub fn homes(&self) -> Homes {
        self.homes
    }

    /// Returns the length of the window in which extra attempts are bounded.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Divides the same capacity among other homes.
    #[must_use]
    pub fn with_homes(self, homes: impl Into<Homes>) -> Self {
        Self {
            homes: homes.into(),
            ..self
        }
    }
}

/// Capacity allocated to a home, and which backend servers are remote.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Division of the capacity among the homes.
    pub division: Division,
    /// Backend servers outside the home's data centre.
    pub remote_servers: BTreeSet<BackendServerId>,
    /// Attempts that the homes of the process send to cold backend servers.
    pub cold: Ledger,
}

impl<T: Into<Division>> From<T> for Allocation {
    fn from(division: T) -> Self {
        Self {
            division: division.into(),
            remote_servers: BTreeSet::new(),
            cold: Ledger::default(),
        }
    }
}

impl From<usize> for Division {
    fn from(homes: usize) -> Self {
        Self::among(homes)
    }
}

/// A serving member that may become a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Peer address.
    pub id: MemberId,
    /// Data centre of the member.
    pub data_centre: DataCentreId,
}

/// Load and reachability of a home to which a daemon can forward a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeLoad {
    /// Peer address of the home.
    pub id: MemberId,
    /// Whether the home is in the daemon's data centre.
    pub near: bool,
    /// Whether the failure detector suspects the home.
    pub suspect: bool,
    /// Number of queries forwarded to the home by this daemon and not yet answered.
    pub outstanding: u32,
}

/// Returns the number of homes of a route.
///
/// Preferably each home has enough connections to use all slots of a backend server on its own, so that
/// slots are well used however the load is spread over the homes:
/// `preferred = limit / CONCURRENT_VIEWS / (slots + CONTROL_CONNECTIONS)`. A route with many groups gets
/// more homes, each with at least one connection for attempts: `wanted = groups / GROUPS_PER_HOME`, at
/// most `limit / CONCURRENT_VIEWS / (1 + CONTROL_CONNECTIONS)`. The result never exceeds [`MAX_HOMES`] or
/// the number of members.
pub fn homes(capacity: &Capacity, groups: usize, members: usize) -> usize {
    let usable = capacity.connections / CONCURRENT_VIEWS;
    let max_homes = (usable / (1 + CONTROL_CONNECTIONS)).max(1) as usize;
    let preferred = (usable / (capacity.slots.max(1) + CONTROL_CONNECTIONS)).max(1) as usize;
    let wanted = groups.div_ceil(GROUPS_PER_HOME).min(max_homes);
    preferred.max(wanted).min(MAX_HOMES).min(members)
}

/// Returns the number of connections for attempts that each of `homes` may open to one backend server,
/// in addition to [`CONTROL_CONNECTIONS`].
///
/// The homes of one view together open at most `limit / CONCURRENT_VIEWS` connections, so those of any two
/// views open at most `limit`. With more than two views the bound holds as long as they contain at most
/// `2 * homes` distinct daemons. A limit below `CONCURRENT_VIEWS * (1 + CONTROL_CONNECTIONS)` can't be
/// divided this way; the single home then still gets one connection for attempts.
pub fn share(limit: u32, homes: usize) -> u32 {
    Division::among(homes).connections(limit) as u32
}

/// Returns the homes of a route, best first: `count` members by rendezvous hashing, with at most
/// `count / data centres` (rounded up) in one data centre as long as others have enough members.
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

/// Returns the home to which a query is sent: the daemon itself if it is a home, otherwise the
/// unsuspected home with the fewest outstanding queries, preferring homes in the same data centre
/// ([`REMOTE_PENALTY`]). Ties are broken by a hash of the request id, so that idle daemons don't all
/// choose the same home.
pub fn choose(own: MemberId, request: RequestId, homes: &[HomeLoad]) -> Option<MemberId> {
    if homes.iter().any(|home| home.id == own) {
        return Some(own);
    }
    let seed = xxh3_64(&request.to_be_bytes());
    homes
        .iter()
        .min_by_key(|home| {
            let penalty = if home.near { 0 } else { REMOTE_PENALTY };
            let load = home.outstanding.saturating_add(penalty);
            (home.suspect, load, hash(seed, home.id))
        })
        .map(|home| home.id)
}

/// Returns the rendezvous hashing score of a member for a name; the highest ranks first.
pub(crate) fn score(name: &str, id: MemberId) -> u64 {
    hash(xxh3_64(name.as_bytes()), id)
}

/// Returns a pseudo-random number from 0 to 1 that is fixed for a home and a backend server.
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

/// Returns the best `count` members of each data centre, best first, in time linear in the members.
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
