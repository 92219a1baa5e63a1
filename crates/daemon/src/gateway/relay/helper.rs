//! Taking in the searches of other hosts, and their questions for what was read of the store.

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

/// Searches of others that a host of one core takes on at once. One takes 2 ms of a core, and up to 300 ms where servers have much
/// to do, so that this many use up a core. With fewer slots searches are decline while servers are short of room, and hosts
/// that know little of the servers' load fan them out instead of refusing them.
const SEARCHES_PER_CORE: f64 = 150.0;

/// Answers the searches of other hosts.
pub(in crate::gateway) struct Helper<I> {
    pub(in crate::gateway) front: Front<I>,
    /// What this host read of the store, for those that ask.
    mirror: Arc<Mirror>,
    /// Places for them.
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
        // A search comes under a version. Without this look at it a client that sends the header of a question
        // would have its search answered as one.
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
        if let Some(only_keys) = OnlyKeys::take_out(request.headers_mut()) {
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
