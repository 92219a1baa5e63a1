//! Implements the peer-facing part of a graceful stop.
//!
//! The caller-facing part becomes unready, waits for the load balancer, closes its port and drains
//! its requests. This part first announces the stop to the members, so that they forward no new
//! requests here; then it drains the forwarded requests and hands the ledger over to a successor.

use super::Node;
use super::forward::context;
use monsoonring_decision::idempotency::{Fence, Handover};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement;
use slog::{info, warn};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Interval between checks whether the forwarded requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of the ledger's handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Hash key for the choice of the successor; any constant works.
const SUCCESSOR_KEY: &str = "successor";

/// Whether the daemon is stopping, and the number of forwarded requests in progress.
#[derive(Debug, Default)]
pub(super) struct StopState {
    is_stopping: AtomicBool,
    forwarded: AtomicUsize,
}

impl StopState {
    /// Returns the reason as an error if the daemon accepts no new requests.
    pub(super) fn check_ready(&self) -> Result<(), &'static str> {
        match self.is_stopping.load(Ordering::Acquire) {
            true => Err("stopping"),
            false => Ok(()),
        }
    }
}

/// Counts a forwarded request as in progress until it is dropped.
pub(crate) struct InFlight<'a>(&'a StopState);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.forwarded.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Counts a forwarded request as in progress until the guard is dropped.
    pub(crate) fn track_forwarded(&self) -> InFlight<'_> {
        self.stopping.forwarded.fetch_add(1, Ordering::AcqRel);
        InFlight(&self.stopping)
    }

    /// Announces to the members that this daemon is stopping, and the successor for its keys.
    pub(super) fn begin_stop(&self) {
        self.stopping.is_stopping.store(true, Ordering::Release);
        let successor = self.successor();
        info!(self.log, "stop"; "what" => "leave", "successor" => format!("{successor:?}"));
        self.control.leave(successor);
    }

    /// Drains the forwarded requests and hands the ledger over.
    pub(super) async fn finish_stop(&self) {
        // From now on the ledger refuses executions and records their keys as not run, so that the
        // successor gets a complete ledger.
        self.ledger.ledger().drain();
        while self.stopping.forwarded.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
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
        let handover = self.prepare_handover(to)?;
        let client = self.peers.client(successor).await.ok()?;
        let context = context(Instant::now() + HANDOVER_TIMEOUT);
        let receipt = client.take_over(context, handover).await.ok()??;
        self.ledger.ledger().acknowledge(receipt);
        Some(())
    }

    fn prepare_handover(&self, to: Fence) -> Option<Handover> {
        let now = self.clock.now();
        self.ledger.ledger().hand_over(to, now).ok()
    }

    /// Returns the member that takes over the ledger, preferably in this data centre.
    fn successor(&self) -> Option<MemberId> {
        let view = self.control.view();
        let others = view
            .members
            .iter()
            .filter(|member| member.id != self.own.id);
        let (near, remote): (Vec<_>, Vec<_>) = others
            .cloned()
            .partition(|member| member.data_centre == self.own.data_centre);
        let candidates = if near.is_empty() { remote } else { near };
        placement::select(SUCCESSOR_KEY, &candidates, 1)
            .first()
            .copied()
    }

    /// Takes over the ledger of a daemon that is stopping.
    pub(crate) fn take_over(
        &self,
        handover: Handover,
    ) -> Option<monsoonring_decision::idempotency::Receipt> {
        let from = handover.from;
        let result = self.ledger.ledger().inherit(handover, self.clock.now());
        match result {
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
