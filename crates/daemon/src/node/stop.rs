//! A planned stop, as far as peers are concerned.
//!
//! The front has its own part: it stops being ready, waits for the balancer, closes the callers'
//! port and lets their requests finish. Here the members are told first, so that nothing new is
//! passed on to this daemon; then what was passed on finishes; then the ledger goes to a successor.

use super::Node;
use super::forward::context;
use monsoonring_decision::idempotency::{Fence, Handover};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement;
use slog::{info, warn};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time between two looks at whether what was passed on has finished.
const POLL: Duration = Duration::from_millis(10);

/// Time that the handover of the ledger may take.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Name under which the successor is chosen; any fixed text serves.
const SUCCESSION: &str = "successor";

/// Whether the daemon stops, and how many requests of peers it still works on.
#[derive(Debug, Default)]
pub(super) struct Flag {
    stopping: AtomicBool,
    forwarded: AtomicUsize,
}

impl Flag {
    /// Returns why no new work may be taken, if that is so.
    pub(super) fn ready(&self) -> Result<(), &'static str> {
        match self.stopping.load(Ordering::Acquire) {
            true => Err("stopping"),
            false => Ok(()),
        }
    }
}

/// A request of a peer in progress.
pub(crate) struct InFlight<'a>(&'a Flag);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.forwarded.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Counts a peer's request as in flight until the guard is dropped.
    pub(crate) fn track_forwarded(&self) -> InFlight<'_> {
        self.stopping.forwarded.fetch_add(1, Ordering::AcqRel);
        InFlight(&self.stopping)
    }

    /// Tells the members that this daemon stops, and who will answer for its keys.
    pub(super) fn begin_stop(&self) {
        self.stopping.stopping.store(true, Ordering::Release);
        let successor = self.successor();
        info!(self.log, "stop"; "what" => "leave", "successor" => format!("{successor:?}"));
        self.control.leave(successor);
    }

    /// Waits for what peers passed on, and hands the ledger over.
    pub(super) async fn finish_stop(&self) {
        // From here on a send of a key is refused, and recorded as not run, so that the ledger that
        // goes to the successor is complete.
        self.ledger.ledger().drain();
        while self.stopping.forwarded.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(POLL).await;
        }
        let Some(successor) = self.successor() else {
            return;
        };
        let limit = HANDOVER_TIMEOUT;
        match tokio::time::timeout(limit, self.hand_over(successor)).await {
            Ok(Some(())) => info!(self.log, "stop"; "what" => "handed over", "to" => %successor),
            _ => warn!(self.log, "stop"; "what" => "handover failed", "to" => %successor),
        }
    }

    async fn hand_over(&self, successor: MemberId) -> Option<()> {
        let start = self.control.start(successor).await?;
        let to = Fence {
            member: successor,
            start,
        };
        let handover = self.close(to)?;
        let client = self.peers.client(successor).await.ok()?;
        let deadline = context(Instant::now() + HANDOVER_TIMEOUT);
        let receipt = client.take_over(deadline, handover).await.ok()??;
        self.ledger.ledger().acknowledge(receipt);
        Some(())
    }

    fn close(&self, to: Fence) -> Option<Handover> {
        let now = self.clock.now();
        self.ledger.ledger().hand_over(to, now).ok()
    }

    /// Returns the member that takes the ledger: in this data centre if there is one.
    fn successor(&self) -> Option<MemberId> {
        let view = self.control.view();
        let others = view
            .members
            .iter()
            .filter(|member| member.id != self.own.id);
        let (near, far): (Vec<_>, Vec<_>) = others
            .cloned()
            .partition(|member| member.data_centre == self.own.data_centre);
        let pool = if near.is_empty() { far } else { near };
        placement::select(SUCCESSION, &pool, 1).first().copied()
    }

    /// Takes the ledger of a daemon that stops.
    pub(crate) fn take_over(
        &self,
        handover: Handover,
    ) -> Option<monsoonring_decision::idempotency::Receipt> {
        let from = handover.from;
        let taken = self.ledger.ledger().inherit(handover, self.clock.now());
        match taken {
            Ok(receipt) => {
                info!(self.log, "stop"; "what" => "took over", "from" => %from);
                Some(receipt)
            }
            Err(error) => {
                warn!(self.log, "stop"; "what" => "take over", "error" => %error);
                None
            }
        }
    }
}
