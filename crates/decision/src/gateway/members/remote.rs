//! Who fans out for others in data centres that this host's searches go to.
//!
//! One host hosts is asked, another one each time: each knows who is strong in its own data centre. So a question and
//! an answer of some 250 bytes each [`REFRESH_INTERVAL`] are all that a data centre costs, whatever the number of hosts.

use super::{Action, Datagram, Members};
use crate::Time;
use crate::gateway::helper::{Candidate, Remote};
use crate::member::MemberId;
use crate::placement;
use monsoonring_configuration::id::DataCentreId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after an answer until it is asked again. A host that has died is left alone by who hands searches on, so
/// that this only has to find new ones.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a question without an answer is put to another host; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Hosts that are named at most. More are not needed to spread the searches of one host.
const MAX_CANDIDATES: usize = 8;

/// The discovery for candidates in one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Discovery {
    /// Questions put since the last answer.
    tries: u32,
    /// Questions put in all.
    next_index: usize,
    /// When the last question was put, and to whom.
    pending: Option<(MemberId, Time)>,
    /// When the next one is.
    next: Time,
}

impl Members {
    /// Takes over where candidates are looked for.
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
                next_index: 0,
                pending: None,
                next: now,
            };
            self.discoveries.entry(data_centre.clone()).or_insert(new);
        }
    }

    /// Asks where it is due.
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

    /// Asks one of the hosts in a data centre. Hosts begin with different ones, and each goes on to the next: one whose
    /// own table is out of date is not asked again and again.
    fn ask_candidates_in(&mut self, data_centre: &DataCentreId, hosts: &[MemberId], now: Time) {
        let begin = placement::score(data_centre, self.table.own()) as usize;
        let Some(discovery) = self.discoveries.get_mut(data_centre) else {
            return;
        };
        let index = begin
            .wrapping_add(discovery.next_index)
            .checked_rem(hosts.len());
        let to = index.map(|index| hosts[index]);
        discovery.pending = to.map(|to| (to, now));
        discovery.next = now + RETRY_DELAY * 2_u32.pow(discovery.tries.min(MAX_RETRY_DOUBLINGS));
        discovery.tries += 1;
        discovery.next_index = discovery.next_index.wrapping_add(1);
        if let Some(to) = to {
            self.send(to, Datagram::AskCandidates);
        }
    }

    /// Names those who fan out here: the strong ones, or where all are alike any. Askers are told different ones.
    pub(super) fn send_candidates(&mut self, to: MemberId) {
        let strong: BTreeSet<MemberId> = self.strong().collect();
        let is_named = |host: &MemberId| strong.is_empty() || strong.contains(host);
        let named = self.strengths.iter().filter(|(host, _)| is_named(host));
        let mut candidates: Vec<Candidate> = named
            .map(|(&host, &strength)| Candidate { host, strength })
            .collect();
        let key = to.to_string();
        candidates
            .sort_by_key(|candidate| std::cmp::Reverse(placement::score(&key, candidate.host)));
        candidates.truncate(MAX_CANDIDATES);
        self.send(to, Datagram::Candidates(candidates));
    }

    /// Takes in who fans out in another data centre.
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
