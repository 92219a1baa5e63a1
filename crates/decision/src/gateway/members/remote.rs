//! Discovery of helpers in the data centres that this host's searches go to.
//!
//! Every [`REFRESH_INTERVAL`], one host of each data centre is asked, a different one each time.
//! Every host knows the strong hosts of its own data centre, so the traffic doesn't depend on the
//! number of hosts.

use super::{Action, Datagram, Members};
use crate::Time;
use crate::gateway::helper::{Candidate, Remote};
use crate::member::MemberId;
use crate::placement;
use monsoonring_configuration::id::DataCentreId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between requests to a data centre. Failed helpers are skipped when a search is handed
/// over, so this only has to find new ones.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before an unanswered request is sent to another host; doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Maximum number of hosts in an answer, enough to spread the searches of one host.
const MAX_CANDIDATES: usize = 8;

/// State of the discovery in one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Discovery {
    /// Requests sent since the last answer.
    tries: u32,
    /// Offset of the next host in the list; advances with every request.
    offset: usize,
    /// Host that was last asked, and when.
    pending: Option<(MemberId, Time)>,
    /// Time of the next request.
    next: Time,
}

impl Members {
    /// Sets the data centres in which helpers are discovered.
    pub(super) fn set_remote_data_centres(
        &mut self,
        data_centres: &BTreeSet<DataCentreId>,
        now: Time,
    ) {
        self.discoveries
            .retain(|data_centre, _| data_centres.contains(data_centre));
        for data_centre in data_centres {
            let new = Discovery {
                tries: 0,
                offset: 0,
                pending: None,
                next: now,
            };
            self.discoveries.entry(data_centre.clone()).or_insert(new);
        }
    }

    /// Sends the requests that are due.
    pub(super) fn ask_candidates(&mut self, now: Time) {
        let due = self
            .discoveries
            .iter()
            .filter(|(_, discovery)| discovery.next <= now);
        let due: Vec<DataCentreId> = due.map(|(data_centre, _)| data_centre.clone()).collect();
        if due.is_empty() {
            return;
        }
        let members = self.table.members();
        for data_centre in due {
            let hosts = members
                .iter()
                .filter(|member| member.data_centre == data_centre);
            let hosts: Vec<MemberId> = hosts.map(|member| member.id).collect();
            self.ask_candidates_in(&data_centre, &hosts, now);
        }
    }

    /// Asks one host of a data centre. Hosts start at different offsets and advance with each
    /// request, so a host with an outdated table is not asked repeatedly.
    fn ask_candidates_in(&mut self, data_centre: &DataCentreId, hosts: &[MemberId], now: Time) {
        let start = placement::score(data_centre, self.table.own()) as usize;
        let Some(discovery) = self.discoveries.get_mut(data_centre) else {
            return;
        };
        let index = start
            .wrapping_add(discovery.offset)
            .checked_rem(hosts.len());
        let to = index.map(|index| hosts[index]);
        discovery.pending = to.map(|to| (to, now));
        discovery.next = now + RETRY_DELAY * 2_u32.pow(discovery.tries.min(MAX_RETRY_DOUBLINGS));
        discovery.tries += 1;
        discovery.offset = discovery.offset.wrapping_add(1);
        if let Some(to) = to {
            self.send(to, Datagram::AskCandidates);
        }
    }

    /// Returns the hosts that fan out in this data centre to the sender: the strong ones, or any if
    /// all are alike. The selection depends on the sender.
    pub(super) fn send_candidates(&mut self, to: MemberId) {
        let strong: BTreeSet<MemberId> = self.strong().collect();
        let is_advertised = |host: &MemberId| strong.is_empty() || strong.contains(host);
        let advertised = self
            .strengths
            .iter()
            .filter(|(host, _)| is_advertised(host));
        let mut candidates: Vec<Candidate> = advertised
            .map(|(&host, &strength)| Candidate { host, strength })
            .collect();
        let key = to.to_string();
        candidates
            .sort_by_key(|candidate| std::cmp::Reverse(placement::score(&key, candidate.host)));
        candidates.truncate(MAX_CANDIDATES);
        self.send(to, Datagram::Candidates(candidates));
    }

    /// Processes the hosts that fan out in another data centre.
    pub(super) fn receive_candidates(
        &mut self,
        from: MemberId,
        candidates: Vec<Candidate>,
        now: Time,
    ) {
        let is_pending =
            |discovery: &Discovery| discovery.pending.is_some_and(|(host, _)| host == from);
        let matching = self
            .discoveries
            .iter_mut()
            .find(|(_, discovery)| is_pending(discovery));
        let Some((data_centre, discovery)) = matching else {
            return;
        };
        let Some((_, at)) = discovery.pending.take() else {
            return;
        };
        discovery.tries = 0;
        discovery.next = now + REFRESH_INTERVAL;
        let remote = Remote {
            data_centre: data_centre.clone(),
            candidates,
            round_trip: now.saturating_sub(at),
        };
        self.actions.push(Action::Remote(remote));
    }
}
