//! Exchange of changes between members: building messages and pages, and applying received ones.

use super::event::{Action, BucketRange, Digest, Message, Page};
use super::record::ADDRESS_BYTES;
use super::roster::BUCKETS;
use super::settings::transmit_limit;
use super::table::{ISOLATION_WINDOW, Table};
use super::{Change, MemberId, State};
use crate::Time;
use rand::Rng;
use std::collections::BTreeSet;

/// Encoded size of the smallest change. With less space left in a message, no change fits.
const MIN_CHANGE_BYTES: usize = ADDRESS_BYTES + 8 + 4 + 4 + 8;

impl Message {
    /// Returns the encoded size in bytes without the attachment (bincode with fixed-width integers).
    pub fn size(&self) -> usize {
        let changes: usize = self.changes.iter().map(Change::size).sum();
        let sender = ADDRESS_BYTES + 8 + 4 + 8 + self.data_centre.len();
        let digest = 1 + 8;
        sender + digest + 8 + changes
    }
}

impl Page {
    /// Returns the encoded size in bytes (bincode with fixed-width integers).
    pub fn size(&self) -> usize {
        8 + self.changes.iter().map(Change::size).sum::<usize>() + 3
    }
}

impl Table {
    /// Builds the message with which to probe a member on behalf of another.
    pub fn message(&mut self, to: MemberId) -> Message {
        let bucket = self.rng.random_range(0..BUCKETS);
        self.build_message(to, bucket, Vec::new())
    }

    /// Returns a page with as many whole buckets of the range as fit, at least one.
    pub fn page(&self, range: BucketRange) -> Page {
        let (mut changes, mut bytes) = (Vec::new(), 0);
        let last = range.last.min(BUCKETS - 1);
        for bucket in range.first..=last {
            let more: Vec<Change> = self.roster.bucket(bucket).cloned().collect();
            bytes += more.iter().map(Change::size).sum::<usize>();
            if bucket > range.first && bytes > self.settings.page_bytes {
                let first = bucket;
                let rest = Some(BucketRange { first, last });
                return Page { changes, rest };
            }
            changes.extend(more);
        }
        let rest = None;
        Page { changes, rest }
    }

    /// Handles a probe and answers it. The answer starts with corrections of the sender's changes.
    pub(super) fn on_probe(&mut self, message: Message, now: Time) {
        let (from, bucket) = (message.from, message.digest.bucket);
        let corrections = self.apply_message(message, now);
        let reply = self.build_message(from, bucket, corrections);
        self.actions.push(Action::Reply(reply));
    }

    pub(super) fn on_message(&mut self, message: Message, now: Time) {
        self.apply_message(message, now);
    }

    /// Applies a change received from another member. Returns the record that outranks it, if any.
    ///
    /// The death of a member that is serving here is recorded as a suspicion, so that each member
    /// declares deaths by its own timeout. Otherwise one isolated or delayed member could make the whole
    /// fleet drop healthy members before they can refute.
    fn apply(&mut self, change: &Change, gossip: bool, now: Time) -> Option<Change> {
        if change.id == self.own {
            return self.refute(change, now);
        }
        let known = self.get(change.id);
        let serving = known.is_some_and(|known| {
            known.state.is_serving() && known.incarnation.start == change.incarnation.start
        });
        if serving && change.state == State::Dead && self.refreshing_since.is_none() {
            let state = State::Suspect;
            return self.record_change(
                &Change {
                    state,
                    ..change.clone()
                },
                gossip,
                now,
            );
        }
        self.record_change(change, gossip, now)
    }

    /// Records a change and gossips it if `gossip` is set. Returns the record that outranks it, if any.
    pub(super) fn record_change(
        &mut self,
        change: &Change,
        gossip: bool,
        now: Time,
    ) -> Option<Change> {
        let (id, state) = (change.id, change.state);
        match self.roster.insert(change.clone(), now) {
            Err(current) if current.change == *change => None,
            Err(current) => Some(current.change.clone()),
            Ok(before) => {
                if gossip {
                    self.broadcast.push(id);
                }
                let served = before.is_some_and(State::is_serving);
                if state.is_serving() && !served {
                    self.join_round(id);
                }
                if before != Some(state) {
                    self.report_change(change, before);
                }
                None
            }
        }
    }

    pub(super) fn on_page(&mut self, from: MemberId, page: Page, now: Time) {
        let copying = self.copying.filter(|(peer, _)| *peer == from);
        // Changes from copying a whole table are not gossiped, as the other members know them.
        let gossip = self.refreshing_since.is_none();
        let is_dead = self.is_declared_dead(from);
        for change in page.changes {
            if change.id == self.own || !(is_dead && is_verdict(&change)) {
                self.apply(&change, gossip, now);
            }
        }
        if copying.is_none() {
            self.repairing = None;
            return;
        }
        self.copying = page.rest.map(|rest| (from, rest));
        if self.pages_requested < self.settings.pages_at_once {
            self.request_page();
        }
        if page.rest.is_none() && self.refreshing_since.take().is_some() {
            let serving = self.serving();
            self.log(
                "current",
                self.own,
                format!("copied the table of {from}, {serving} serving"),
            );
        }
    }

    pub(super) fn on_pull_failed(&mut self, from: MemberId) {
        if self.repairing == Some(from) {
            self.repairing = None;
        }
        if let Some((peer, range)) = self.copying {
            if peer == from {
                let other = self.pick_random(1, from).first().copied();
                self.copying = other.map(|other| (other, range));
            }
        }
    }

    /// Requests the next page while a peer's table is being copied to refresh this one.
    pub(super) fn request_page(&mut self) {
        if self.refreshing_since.is_none() {
            return;
        }
        if self.copying.is_none() && self.last_heard > self.refreshing_since.unwrap_or_default() {
            let peer = self.pick_random(1, self.own).first().copied();
            self.copying = peer.map(|peer| (peer, Self::all_buckets()));
        }
        if let Some((peer, range)) = self.copying {
            self.pages_requested += 1;
            self.actions.push(Action::Pull(peer, range));
        }
    }

    fn apply_message(&mut self, message: Message, now: Time) -> Vec<Change> {
        self.last_heard = now;
        if self.unpublished.contains(&message.from) {
            let unpublished = std::mem::take(&mut self.unpublished);
            self.withdraw_verdicts(unpublished, now);
        }
        let sender = Change {
            id: message.from,
            incarnation: message.incarnation,
            state: State::Alive,
            data_centre: message.data_centre,
        };
        self.apply(&sender, true, now);
        let mut corrections = Vec::new();
        let is_dead = self.is_declared_dead(message.from);
        for change in message.changes {
            if change.id != self.own && is_dead && is_verdict(&change) {
                continue;
            }
            corrections.extend(self.apply(&change, true, now));
        }
        if !is_dead {
            self.compare_digest(message.from, message.digest, now);
        }
        if self.copying.is_none() {
            self.request_page();
        }
        corrections
    }

    /// Compares a peer's digest with the same bucket here and requests the bucket if they differ
    /// (anti-entropy). Gossip reaches nearly all members but not all, so tables could otherwise differ
    /// forever. At most one bucket is requested per period, which bounds the bandwidth.
    fn compare_digest(&mut self, peer: MemberId, digest: Digest, now: Time) {
        let same = self.roster.hash(digest.bucket) == digest.hash;
        if same
            || digest.bucket >= BUCKETS
            || self.refreshing_since.is_some()
            || self.repairing.is_some()
        {
            return;
        }
        if now < self.next_repair {
            return;
        }
        self.next_repair = now + self.settings.period;
        self.repairing = Some(peer);
        let (first, last) = (digest.bucket, digest.bucket);
        self.actions
            .push(Action::Pull(peer, BucketRange { first, last }));
    }

    fn build_message(&mut self, to: MemberId, bucket: u8, corrections: Vec<Change>) -> Message {
        let mut changes = self.priority_changes(to, corrections);
        let used: usize = changes.iter().map(Change::size).sum();
        let remaining = self.settings.message_bytes.saturating_sub(used);
        let limit = transmit_limit(self.settings.retransmit_factor, self.serving());
        let roster = &self.roster;
        let size = |id: &MemberId| roster.get(*id).map(|record| record.change.size());
        for id in self
            .broadcast
            .take(remaining, limit, MIN_CHANGE_BYTES, size)
        {
            let known = changes.iter().any(|change| change.id == id);
            if let Some(record) = roster.get(id).filter(|_| !known) {
                changes.push(record.change.clone());
            }
        }
        let own = self.roster.get(self.own).map(|record| &record.change);
        Message {
            from: self.own,
            incarnation: own.map(|change| change.incarnation).unwrap_or_default(),
            data_centre: own
                .map(|change| change.data_centre.clone())
                .unwrap_or_default(),
            digest: Digest {
                bucket,
                hash: self.roster.hash(bucket),
            },
            changes,
            attachment: super::event::Attachment::default(),
        }
    }

    /// Returns the changes that go first into a message: the receiver's own state if it is not alive, so
    /// that it can refute, and corrections of the changes it sent.
    fn priority_changes(&self, to: MemberId, corrections: Vec<Change>) -> Vec<Change> {
        let not_alive = self.get(to).filter(|change| change.state != State::Alive);
        let (mut changes, mut remaining) = (Vec::new(), self.settings.message_bytes);
        for change in not_alive.cloned().into_iter().chain(corrections) {
            if change.size() <= remaining && !changes.contains(&change) {
                remaining -= change.size();
                changes.push(change);
            }
        }
        changes
    }

    /// Handles a change about this member. A suspicion or death is refuted with a higher incarnation. A
    /// higher start number means that another process has replaced this one.
    fn refute(&mut self, change: &Change, now: Time) -> Option<Change> {
        let own = self.get(self.own)?.clone();
        let theirs = change.incarnation;
        if theirs.start > own.incarnation.start {
            if !self.superseded {
                self.superseded = true;
                let reason = format!("a process with start {} has this address", theirs.start);
                self.log("superseded", self.own, reason);
            }
            return None;
        }
        if !change.supersedes(&own) {
            return (*change != own).then_some(own);
        }
        if change.state == State::Dead {
            // This member was probably isolated, so its own recent verdicts are unreliable.
            let since = now.saturating_sub(ISOLATION_WINDOW);
            let declared_dead = self.roster.deaths_since(since).collect();
            self.withdraw_verdicts(declared_dead, now);
        }
        let mut refuted = own;
        refuted.incarnation.refutation = theirs.refutation.saturating_add(1);
        let _ = self.roster.insert(refuted.clone(), now);
        self.broadcast.push(self.own);
        self.burst(now);
        self.log(
            "refute",
            self.own,
            format!("was reported as {:?}", change.state),
        );
        Some(refuted)
    }

    /// Withdraws this member's own verdicts about others after it was isolated. Gossiped, they would make
    /// the whole fleet refute at once. Members that are really dead are detected again by probes and by
    /// peers' corrections.
    fn withdraw_verdicts(&mut self, ids: BTreeSet<MemberId>, now: Time) {
        for id in ids {
            let has_verdict = |change: &Change| is_verdict(change);
            if !self.get(id).is_some_and(has_verdict) {
                continue;
            }
            self.broadcast.remove(&id);
            self.roster.revert(id, now);
            self.join_round(id);
            self.log("taken_back", id, "this member was isolated".to_owned());
            self.actions.push(Action::Changed(id, State::Alive));
        }
    }

    /// Returns whether a peer is declared dead and has not refuted. Its verdicts are ignored.
    fn is_declared_dead(&self, peer: MemberId) -> bool {
        self.get(peer)
            .is_some_and(|change| change.state == State::Dead)
    }

    fn report_change(&mut self, change: &Change, before: Option<State>) {
        let label = match change.state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left { .. } => "left",
        };
        let incarnation = change.incarnation;
        let reason = format!(
            "was {before:?}; start {} refutation {}",
            incarnation.start, incarnation.refutation
        );
        self.log(label, change.id, reason);
        self.actions.push(Action::Changed(change.id, change.state));
    }
}

fn is_verdict(change: &Change) -> bool {
    matches!(change.state, State::Suspect | State::Dead)
}
