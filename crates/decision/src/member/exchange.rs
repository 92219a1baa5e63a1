//! What members tell each other, and how a table takes it in.

use super::event::{Action, BucketRange, Digest, Message, Page};
use super::record::ADDRESS_BYTES;
use super::roster::BUCKETS;
use super::settings::retransmits;
use super::table::{ISOLATION_WINDOW, Table};
use super::{Change, MemberId, State};
use crate::Time;
use rand::Rng;
use std::collections::BTreeSet;

/// Size of the smallest change in bytes; with less room left nothing fits.
const SMALLEST: usize = ADDRESS_BYTES + 8 + 4 + 4 + 8;

impl Message {
    /// Number of bytes without the attachment: the fields in bincode's fixed layout.
    pub fn size(&self) -> usize {
        let changes: usize = self.changes.iter().map(Change::size).sum();
        let sender = ADDRESS_BYTES + 8 + 4 + 8 + self.data_centre.len();
        let digest = 1 + 8;
        sender + digest + 8 + changes
    }
}

impl Page {
    /// Number of bytes: the fields in bincode's fixed layout.
    pub fn size(&self) -> usize {
        8 + self.changes.iter().map(Change::size).sum::<usize>() + 3
    }
}

impl Table {
    /// Returns a message to a member, for a probe on behalf of another.
    pub fn message(&mut self, to: MemberId) -> Message {
        let bucket = self.rng.random_range(0..BUCKETS);
        self.message_on(to, bucket, Vec::new())
    }

    /// Returns as many whole buckets of the span as fit into a page, and one at least.
    pub fn page(&self, span: BucketRange) -> Page {
        let (mut changes, mut bytes) = (Vec::new(), 0);
        let last = span.last.min(BUCKETS - 1);
        for bucket in span.first..=last {
            let more: Vec<Change> = self.roster.bucket(bucket).cloned().collect();
            bytes += more.iter().map(Change::size).sum::<usize>();
            if bucket > span.first && bytes > self.settings.page_bytes {
                let first = bucket;
                let rest = Some(BucketRange { first, last });
                return Page { changes, rest };
            }
            changes.extend(more);
        }
        let rest = None;
        Page { changes, rest }
    }

    /// Answers a probe. What the sender had wrong goes into the answer first.
    pub(super) fn probed(&mut self, message: Message, now: Time) {
        let (from, bucket) = (message.from, message.digest.bucket);
        let corrections = self.heard_with_corrections(message, now);
        let reply = self.message_on(from, bucket, corrections);
        self.out.push(Action::Reply(reply));
    }

    pub(super) fn heard(&mut self, message: Message, now: Time) {
        self.heard_with_corrections(message, now);
    }

    /// Takes in what another says. Returns the saying that stands against it.
    ///
    /// A death told about a member that serves here is taken for a suspicion: each buries by its own
    /// time. One member that was
    /// cut off, or late, would otherwise have the whole fleet drop healthy members before these
    /// could refute; one would see members dead everywhere for seconds that answer every probe.
    fn declare(&mut self, change: &Change, tell: bool, now: Time) -> Option<Change> {
        if change.id == self.own {
            return self.answer_for_itself(change, now);
        }
        let known = self.get(change.id);
        let serving = known.is_some_and(|known| {
            known.state.is_serving() && known.incarnation.start == change.incarnation.start
        });
        if serving && change.state == State::Dead && self.waiting.is_none() {
            let state = State::Suspect;
            return self.conclude(
                &Change {
                    state,
                    ..change.clone()
                },
                tell,
                now,
            );
        }
        self.conclude(change, tell, now)
    }

    /// Records a saying, and passes it on if `tell`. Returns the saying that stands against it.
    pub(super) fn conclude(&mut self, change: &Change, tell: bool, now: Time) -> Option<Change> {
        let (id, state) = (change.id, change.state);
        match self.roster.insert(change.clone(), now) {
            Err(standing) if standing.change == *change => None,
            Err(standing) => Some(standing.change.clone()),
            Ok(before) => {
                if tell {
                    self.broadcast.push(id);
                }
                let served = before.is_some_and(State::is_serving);
                if state.is_serving() && !served {
                    self.join_round(id);
                }
                if before != Some(state) {
                    self.note(change, before);
                }
                None
            }
        }
    }

    pub(super) fn pulled(&mut self, from: MemberId, page: Page, now: Time) {
        let copying = self.copying.filter(|(peer, _)| *peer == from);
        // A member that copies a whole table does not pass it on: everybody else knows it.
        let tell = self.waiting.is_none();
        let buried = self.is_buried(from);
        for change in page.changes {
            if change.id == self.own || !(buried && is_verdict(&change)) {
                self.declare(&change, tell, now);
            }
        }
        if copying.is_none() {
            self.repairing = None;
            return;
        }
        self.copying = page.rest.map(|rest| (from, rest));
        if self.pages < self.settings.pages_at_once {
            self.copy();
        }
        if page.rest.is_none() && self.waiting.take().is_some() {
            let serving = self.serving();
            self.log(
                "current",
                self.own,
                format!("copied from {from}, {serving} serving"),
            );
        }
    }

    pub(super) fn pull_failed(&mut self, from: MemberId) {
        if self.repairing == Some(from) {
            self.repairing = None;
        }
        if let Some((peer, span)) = self.copying {
            if peer == from {
                let other = self.pick(1, from).first().copied();
                self.copying = other.map(|other| (other, span));
            }
        }
    }

    /// Asks for the next page while the table is being copied. Past the first ones, one a period bounds the bytes.
    pub(super) fn copy(&mut self) {
        if self.waiting.is_none() {
            return;
        }
        if self.copying.is_none() && self.last_heard > self.waiting.unwrap_or_default() {
            let peer = self.pick(1, self.own).first().copied();
            self.copying = peer.map(|peer| (peer, Self::whole()));
        }
        if let Some((peer, span)) = self.copying {
            self.pages += 1;
            self.out.push(Action::Pull(peer, span));
        }
    }

    fn heard_with_corrections(&mut self, message: Message, now: Time) -> Vec<Change> {
        self.last_heard = now;
        if self.unspoken.contains(&message.from) {
            let unspoken = std::mem::take(&mut self.unspoken);
            self.take_back(unspoken, now);
        }
        let sender = Change {
            id: message.from,
            incarnation: message.incarnation,
            state: State::Alive,
            data_centre: message.data_centre,
        };
        self.declare(&sender, true, now);
        let mut corrections = Vec::new();
        let buried = self.is_buried(message.from);
        for change in message.changes {
            if change.id != self.own && buried && is_verdict(&change) {
                continue;
            }
            corrections.extend(self.declare(&change, true, now));
        }
        if !buried {
            self.compare(message.from, message.digest, now);
        }
        if self.copying.is_none() {
            self.copy();
        }
        corrections
    }

    /// Changes get lost, and a bounded number of sendings reaches nearly all, not all. Without a
    /// comparison two tables could differ for ever; here the bucket that differs is asked for;
    /// one a period, which bounds the bytes while much changes.
    fn compare(&mut self, peer: MemberId, digest: Digest, now: Time) {
        let same = self.roster.hash(digest.bucket) == digest.hash;
        if same || digest.bucket >= BUCKETS || self.waiting.is_some() || self.repairing.is_some() {
            return;
        }
        if now < self.due_repair {
            return;
        }
        self.due_repair = now + self.settings.period;
        self.repairing = Some(peer);
        let (first, last) = (digest.bucket, digest.bucket);
        self.out
            .push(Action::Pull(peer, BucketRange { first, last }));
    }

    fn message_on(&mut self, to: MemberId, bucket: u8, corrections: Vec<Change>) -> Message {
        let mut changes = self.first_changes(to, corrections);
        let used: usize = changes.iter().map(Change::size).sum();
        let left = self.settings.message_bytes.saturating_sub(used);
        let limit = retransmits(self.settings.retransmit_factor, self.serving());
        let roster = &self.roster;
        let size = |id: &MemberId| roster.get(*id).map(|record| record.change.size());
        for id in self.broadcast.take(left, limit, SMALLEST, size) {
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

    /// What the receiver has to know before all else: that it is doubted, or what it had wrong.
    fn first_changes(&self, to: MemberId, corrections: Vec<Change>) -> Vec<Change> {
        let doubted = self.get(to).filter(|change| change.state != State::Alive);
        let (mut changes, mut left) = (Vec::new(), self.settings.message_bytes);
        for change in doubted.cloned().into_iter().chain(corrections) {
            if change.size() <= left && !changes.contains(&change) {
                left -= change.size();
                changes.push(change);
            }
        }
        changes
    }

    /// Somebody speaks of this process. A suspicion or death is refuted with a higher incarnation;
    /// a higher start number means that this process is the one that was replaced.
    fn answer_for_itself(&mut self, change: &Change, now: Time) -> Option<Change> {
        let own = self.get(self.own)?.clone();
        let theirs = change.incarnation;
        if theirs.start > own.incarnation.start {
            if !self.superseded {
                self.superseded = true;
                let why = format!("start {} has this address", theirs.start);
                self.log("superseded", self.own, why);
            }
            return None;
        }
        if !change.supersedes(&own) {
            return (*change != own).then_some(own);
        }
        if change.state == State::Dead {
            // Who was buried was cut off, and has buried others for the same reason.
            let since = now.saturating_sub(ISOLATION_WINDOW);
            let buried = self.roster.deaths_since(since).collect();
            self.take_back(buried, now);
        }
        let mut refuted = own;
        refuted.incarnation.refutation = theirs.refutation.saturating_add(1);
        let _ = self.roster.insert(refuted.clone(), now);
        self.broadcast.push(self.own);
        self.burst(now);
        self.log("refute", self.own, format!("was called {:?}", change.state));
        Some(refuted)
    }

    /// A member that was cut off comes back with its verdicts over all whom it could not hear.
    /// Passed on, they would make the whole fleet refute at once; one would see every member
    /// suspected after the partition of a single rack. It takes them back instead, and finds the
    /// really dead again by its own probes and its peers' corrections.
    fn take_back(&mut self, ids: BTreeSet<MemberId>, now: Time) {
        for id in ids {
            let condemned = |change: &Change| is_verdict(change);
            if !self.get(id).is_some_and(condemned) {
                continue;
            }
            self.broadcast.remove(&id);
            self.roster.revert(id, now);
            self.join_round(id);
            self.log("taken_back", id, "this member was cut off".to_owned());
            self.out.push(Action::Changed(id, State::Alive));
        }
    }

    /// Tells whether a peer was declared dead and has not refuted; its verdicts are not believed.
    fn is_buried(&self, peer: MemberId) -> bool {
        self.get(peer)
            .is_some_and(|change| change.state == State::Dead)
    }

    fn note(&mut self, change: &Change, before: Option<State>) {
        let what = match change.state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left { .. } => "left",
        };
        let incarnation = change.incarnation;
        let why = format!(
            "was {before:?}; start {} refutation {}",
            incarnation.start, incarnation.refutation
        );
        self.log(what, change.id, why);
        self.out.push(Action::Changed(change.id, change.state));
    }
}

fn is_verdict(change: &Change) -> bool {
    matches!(change.state, State::Suspect | State::Dead)
}
