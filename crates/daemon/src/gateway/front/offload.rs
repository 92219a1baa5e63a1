//! Offloads searches, or parts of them, to other hosts.

use super::{Context, Front, HomeOutcome, empty_response};
use crate::gateway::Ingress;
use crate::gateway::content::Opaque;
use crate::gateway::front::Origin;
use crate::gateway::relay::{self, DelegationResult, PendingDelegation};
use crate::metrics::label::OutcomeLabel;
use crate::route;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request;
use hyper::{Response, StatusCode};
use monsoonring_decision::gateway::table::Target;
use monsoonring_decision::home::event::{self, Event};
use monsoonring_decision::member::MemberId;
use slog::{Logger, info};
use std::ops::ControlFlow;
use std::pin::pin;
use std::time::Duration;

/// Maximum number of helpers tried before this host fans a search out itself. Each one that declines costs a round
/// trip.
const MAX_HELPERS_TRIED: usize = 3;

/// Extra delivery margin of a delegated part: the round trip between data centres of a region, with processing.
const DELEGATION_MARGIN: Duration = Duration::from_millis(4);

impl<I: Ingress> Front<I> {
    /// Has another host answer a search, if one accepts. Requests that may run only once are not offloaded: they need
    /// few servers, and one more connection would be one more point at which it is unknown whether they ran.
    ///
    /// A host that declines has run nothing, so the next one is tried. A host with another version of the configuration
    /// declines until it has caught up, which may take seconds.
    pub(super) async fn offload(
        &self,
        head: &request::Parts,
        body: &Bytes,
        context: &Context<'_>,
    ) -> Option<Response<Full<Bytes>>> {
        let is_search = matches!(context.route.target, Target::FanOut(_));
        if self.origin == Origin::Peer || !is_search {
            return None;
        }
        for _ in 0..MAX_HELPERS_TRIED {
            if let ControlFlow::Break(response) = self.try_helper(head, body, context).await {
                return response;
            }
        }
        None
    }

    /// Tries one helper. Breaks with its response, or with `None` if no other helper is to be tried.
    async fn try_helper(
        &self,
        head: &request::Parts,
        body: &Bytes,
        context: &Context<'_>,
    ) -> ControlFlow<Option<Response<Full<Bytes>>>> {
        let timeout = context.timeout();
        let Some(remaining) = timeout.checked_sub(context.arrived.elapsed()) else {
            return ControlFlow::Break(None);
        };
        let mut head = head.clone();
        self.ingress.set_timeout(&mut head.headers, remaining);
        relay::set_delivery_margin(&mut head.headers, self.delivery_margin);
        let mut line = AbandonLine {
            log: &self.log,
            context,
            written: false,
        };
        let result = self.relay.search(&head, body, context.version, remaining);
        let result = self.unless_ending(result).await;
        line.written = true;
        let Some(result) = result else {
            info!(self.log, "relay"; "id" => &context.info.id,
                "took_us" => context.arrived.elapsed().as_micros(),
                "outcome" => "not answered", "why" => "this host is stopping");
            return ControlFlow::Break(Some(empty_response(StatusCode::BAD_GATEWAY)));
        };
        let Some((host, answer)) = result else {
            return ControlFlow::Break(None);
        };
        let took = context.arrived.elapsed();
        let response = match answer {
            Ok(response) => response,
            Err(error) => {
                self.metrics.front.record_delegation("not answered");
                info!(self.log, "relay"; "id" => &context.info.id, "helper" => %host,
                    "took_us" => took.as_micros(), "outcome" => "not answered",
                    "why" => %error);
                if !error.may_have_started() {
                    return ControlFlow::Continue(());
                }
                let is_late = took >= timeout;
                let status = match is_late {
                    true => StatusCode::GATEWAY_TIMEOUT,
                    false => StatusCode::BAD_GATEWAY,
                };
                return ControlFlow::Break(Some(empty_response(status)));
            }
        };
        self.metrics.front.record_delegation("answered");
        info!(self.log, "relay"; "id" => &context.info.id, "helper" => %host,
            "route" => &*context.route.name, "configuration" => context.version,
            "took_us" => took.as_micros(), "outcome" => "answered",
            "status" => response.status().as_u16());
        ControlFlow::Break(Some(response))
    }

    /// Has another host run a part of a search.
    pub(super) async fn delegate(
        &self,
        delegation: PendingDelegation<'_>,
        mut head: request::Parts,
        body: Bytes,
        context: &Context<'_>,
        delivery_margin: Duration,
    ) -> relay::DelegatedReply {
        let remaining = context.timeout().saturating_sub(context.arrived.elapsed());
        self.ingress.set_timeout(&mut head.headers, remaining);
        relay::set_delivery_margin(&mut head.headers, delivery_margin + DELEGATION_MARGIN);
        let max_missing = match &context.route.target {
            Target::FanOut(fan_out) => fan_out.dispensable() / 2,
            Target::Split(_) => 0,
        };
        let mut line = DelegationLine {
            log: &self.log,
            context,
            helper: delegation.host(),
            shards: delegation.keys().len(),
            written: false,
        };
        let part = delegation.send(head, body, context.version, max_missing as u64, remaining);
        let DelegationResult { reply, reason } = part.await;
        let (outcome, label) = match reply {
            Ok(_) => ("answered", "part answered"),
            Err(_) => ("not answered", "part not answered"),
        };
        self.metrics.front.record_delegation(label);
        line.write(outcome, reason);
        reply
    }
}

/// Runs a search of which another host runs a part, and sends the reply for that part to the home.
pub(super) async fn run_with_part(
    home: &route::Handle<Opaque>,
    home_request: event::Request<Opaque>,
    part: impl Future<Output = relay::DelegatedReply>,
) -> HomeOutcome {
    let id = home_request.id;
    let mut search = pin!(home.run(home_request));
    let mut part = pin!(part);
    let mut is_pending = true;
    loop {
        tokio::select! {
            // The home must know the search before it receives the reply.
            biased;
            outcome = &mut search => return outcome,
            reply = &mut part, if is_pending => {
                is_pending = false;
                home.send(match reply {
                    Ok(reply) => Event::DelegatedReply(id, reply),
                    Err(progress) => Event::DelegationFailed(id, progress),
                });
            }
        }
    }
}

/// Log line of a delegated part. If the search ends before the reply arrives, it is dropped and its line is written
/// then, which explains why the part is missing from the answer.
struct DelegationLine<'a> {
    log: &'a Logger,
    context: &'a Context<'a>,
    helper: MemberId,
    shards: u64,
    written: bool,
}

impl DelegationLine<'_> {
    fn write(&mut self, outcome: &'static str, reason: Option<String>) {
        self.written = true;
        info!(self.log, "part"; "id" => &self.context.info.id, "helper" => %self.helper,
            "shards" => self.shards, "took_us" => self.context.arrived.elapsed().as_micros(),
            "outcome" => outcome, "why" => reason);
    }
}

impl Drop for DelegationLine<'_> {
    fn drop(&mut self) {
        if !self.written {
            self.write("not waited for", None);
        }
    }
}

/// Logs that the client disconnected if it is dropped while a helper runs the search.
struct AbandonLine<'a> {
    log: &'a Logger,
    context: &'a Context<'a>,
    written: bool,
}

impl Drop for AbandonLine<'_> {
    fn drop(&mut self) {
        if !self.written {
            info!(self.log, "relay"; "id" => &self.context.info.id,
                "took_us" => self.context.arrived.elapsed().as_micros(),
                "outcome" => OutcomeLabel::Abandoned.to_string(), "why" => "the client disconnected");
        }
    }
}
