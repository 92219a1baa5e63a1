//! Handles searches and polls of other hosts.

use super::{OnlyKeys, VERSION, decline, take_relay_headers};
use crate::gateway::Ingress;
use crate::gateway::front::{DeliveryMargin, Front};
use crate::gateway::mirror::Mirror;
use crate::server::{Handler, LimitStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use monsoonring_decision::gateway::helper::Centicores;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Concurrent searches accepted per core. Searches take long while backend servers are overloaded, so a lower
/// limit would decline them then, and the other hosts, which know less about the load, would fan them out instead of
/// refusing them.
const SEARCHES_PER_CORE: f64 = 150.0;

/// Answers searches of other hosts.
pub(in crate::gateway) struct Helper<I> {
    pub(in crate::gateway) front: Front<I>,
    /// State read from the store, for hosts that poll this one.
    mirror: Arc<Mirror>,
    /// Limits concurrent searches.
    slots: Semaphore,
}

impl<I> Helper<I> {
    pub(in crate::gateway) fn new(
        front: Front<I>,
        strength: Centicores,
        mirror: Arc<Mirror>,
    ) -> Self {
        let slots = f64::from(strength) / 100.0 * SEARCHES_PER_CORE;
        Self {
            front,
            mirror,
            slots: Semaphore::new(slots as usize),
        }
    }
}

impl<I: Ingress> Handler for Helper<I> {
    async fn handle(
        &self,
        mut request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> Response<Full<Bytes>> {
        // Only searches carry a version. The check keeps a client that sets the headers of a poll from having its
        // search answered as a poll.
        let is_search = request.headers().contains_key(VERSION);
        if !is_search {
            if let Some(response) = self.mirror.answer(request.headers()).await {
                return response;
            }
        }
        let Ok(_slot) = self.slots.try_acquire() else {
            return decline("full house");
        };
        let (version, delivery_margin) = take_relay_headers(request.headers_mut());
        if let Some(only_keys) = OnlyKeys::take(request.headers_mut()) {
            request.extensions_mut().insert(only_keys);
        }
        if let Some(time) = delivery_margin {
            request.extensions_mut().insert(DeliveryMargin(time));
        }
        let own = self.front.state.view().map(|view| view.table.version);
        if own.is_none() || version != own {
            let mut response = decline("another configuration");
            if let Some(own) = own {
                response.headers_mut().insert(VERSION, own.into());
            }
            return response;
        }
        self.front.answer(request, limit_status).await
    }
}
