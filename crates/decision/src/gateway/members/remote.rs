//! Who fans out for others in data centres that this host's searches go to.
//!
//! One host there is asked, another one each time: each knows who is strong in its own data centre. So a question and
//! an answer of some 250 bytes each [`AGAIN`] are all that a data centre costs, whatever the number of hosts.

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
const AGAIN: Duration = Duration::from_secs(5);

/// Time after which a question without an answer is put to another host; it doubles with each further one.
const UNANSWERED: Duration = Duration::from_millis(300);
const UNANSWERED_DOUBLINGS: u32 = 4;

/// Hosts that are named at most. More are not needed to spread the searches of one host.
const NAMED: usize = 8;

/// The search for candidates in one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search {
    /// Questions put since the last answer.
    tries: u32,
    /// Questions put in all.
    turn: usize,
    /// When the last question was put, and to whom.
    asked: Option<(MemberId, Time)>,
    /// When the next one is.
    next: Time,
}

impl Members {
    /// Takes over where candidates are looked for.
    pub(super) fn seek(&mut self, data_centres: &BTreeSet<DataCentreId>, now: Time) {
        self.sought.retain(|one, _| data_centres.contains(one));
        for data_centre in data_centres {
            let new = Search {
                tries: 0,
                turn: 0,
                asked: None,
                next: now,
            };
            self.sought.entry(data_centre.clone()).or_insert(new);
        }
    }

    /// Asks where it is due.
    pub(super) fn ask_candidates(&mut self, now: Time) {
        let due = self.sought.iter().filter(|(_, search)| search.next <= now);
        let due: Vec<DataCentreId> = due.map(|(data_centre, _)| data_centre.clone()).collect();
        if due.is_empty() {
            return;
        }
        let members = self.table.members();
        for data_centre in due {
            let there = members.iter().filter(|one| one.data_centre == data_centre);
            let there: Vec<MemberId> = there.map(|one| one.id).collect();
            self.ask_candidates_in(&data_centre, &there, now);
        }
    }

    /// Asks one of the hosts in a data centre. Hosts begin with different ones, and each goes on to the next: one whose
    /// own table is out of date is not asked again and again.
    fn ask_candidates_in(&mut self, data_centre: &DataCentreId, there: &[MemberId], now: Time) {
        let begin = placement::score(data_centre, self.table.own()) as usize;
        let Some(search) = self.sought.get_mut(data_centre) else {
            return;
        };
        let index = begin.wrapping_add(search.turn).checked_rem(there.len());
        let to = index.map(|index| there[index]);
        search.asked = to.map(|to| (to, now));
        search.next = now + UNANSWERED * 2_u32.pow(search.tries.min(UNANSWERED_DOUBLINGS));
        search.tries += 1;
        search.turn = search.turn.wrapping_add(1);
        if let Some(to) = to {
            self.send(to, Datagram::AskCandidates);
        }
    }

    /// Names those who fan out here: the strong ones, or where all are alike any. Askers are told different ones.
    pub(super) fn tell_candidates(&mut self, to: MemberId) {
        let strong: BTreeSet<MemberId> = self.strong().collect();
        let is_named = |host: &MemberId| strong.is_empty() || strong.contains(host);
        let named = self.strengths.iter().filter(|(host, _)| is_named(host));
        let mut candidates: Vec<Candidate> = named
            .map(|(&host, &strength)| Candidate { host, strength })
            .collect();
        let rank = to.to_string();
        candidates.sort_by_key(|one| std::cmp::Reverse(placement::score(&rank, one.host)));
        candidates.truncate(NAMED);
        self.send(to, Datagram::Candidates(candidates));
    }

    /// Takes in who fans out in another data centre.
    pub(super) fn candidates(&mut self, from: MemberId, candidates: Vec<Candidate>, now: Time) {
        let is_asked = |search: &Search| search.asked.is_some_and(|(host, _)| host == from);
        let asked = self.sought.iter_mut().find(|(_, search)| is_asked(search));
        let Some((data_centre, search)) = asked else {
            return;
        };
        let Some((_, at)) = search.asked.take() else {
            return;
        };
        search.tries = 0;
        search.next = now + AGAIN;
        let remote = Remote {
            data_centre: data_centre.clone(),
            candidates,
            round_trip: now.saturating_sub(at),
        };
        self.actions.push(Action::Remote(remote));
    }
}
