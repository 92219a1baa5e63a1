//! Handing a search, or a part of one, to another host.

use super::{Asking, Ending, Front, plain};
use crate::gateway::Ingress;
use crate::gateway::content::Opaque;
use crate::gateway::front::Passing;
use crate::gateway::relay::{self, Shared, Sharing};
use crate::metrics::label::Ended;
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

/// Hosts that a search is handed to, one after the other, before this one fans it out. Each that declines costs a
/// round trip, a fifth of a millisecond within a data centre; a data centre has three readers of the store, and
/// seldom more strong hosts.
const HELPERS_ASKED: usize = 3;

/// Time that the answer for a part of a search takes from the host that looked through it, beside the time that the
/// whole one takes from here: a millisecond each way between data centres of a region, with work at both ends.
const PART_HOP: Duration = Duration::from_millis(4);

impl<I: Ingress> Front<I> {
    /// Has another host answer a search, if one does. A request that may run once is not handed on: its
    /// servers are few, and whether it ran would depend on one more connection.
    ///
    /// A host that declines has run nothing and says so within a round trip, so the next one is asked. Hosts with
    /// another version of the configuration decline for as long as the store turns them away. Where the one that
    /// came first did so for nine seconds, all weak hosts of its data centre fanned out by themselves, 253 of 1,360
    /// searches of 195 hosts, although two others there had the version.
    pub(super) async fn pass_on(
        &self,
        head: &request::Parts,
        body: &Bytes,
        asking: &Asking<'_>,
    ) -> Option<Response<Full<Bytes>>> {
        let is_search = matches!(asking.route.target, Target::FanOut(_));
        if self.passing == Passing::Back || !is_search {
            return None;
        }
        for _ in 0..HELPERS_ASKED {
            if let ControlFlow::Break(end) = self.ask_helper(head, body, asking).await {
                return end;
            }
        }
        None
    }

    /// Asks one other host. Breaks with its answer, or with none where nobody else is to be asked.
    async fn ask_helper(
        &self,
        head: &request::Parts,
        body: &Bytes,
        asking: &Asking<'_>,
    ) -> ControlFlow<Option<Response<Full<Bytes>>>> {
        let patience = asking.patience();
        let Some(left) = patience.checked_sub(asking.arrived.elapsed()) else {
            return ControlFlow::Break(None);
        };
        let mut head = head.clone();
        self.ingress.set_patience(&mut head.headers, left);
        relay::set_on_the_way(&mut head.headers, self.on_the_way);
        let mut leaves = Leaving {
            log: &self.log,
            asking,
            ended: false,
        };
        let asked = self.relay.ask(&head, body, asking.version, left).await;
        leaves.ended = true;
        let Some((host, answer)) = asked else {
            return ControlFlow::Break(None);
        };
        let took = asking.arrived.elapsed();
        let response = match answer {
            Ok(response) => response,
            Err(error) => {
                self.metrics.front.relayed("not answered");
                info!(self.log, "relay"; "id" => &asking.ask.id, "helper" => %host,
                    "took_us" => took.as_micros(), "outcome" => "not answered",
                    "why" => %error);
                if !error.may_have_begun() {
                    return ControlFlow::Continue(());
                }
                let is_late = took >= patience;
                let status = match is_late {
                    true => StatusCode::GATEWAY_TIMEOUT,
                    false => StatusCode::BAD_GATEWAY,
                };
                return ControlFlow::Break(Some(plain(status)));
            }
        };
        self.metrics.front.relayed("answered");
        info!(self.log, "relay"; "id" => &asking.ask.id, "helper" => %host,
            "route" => &*asking.route.name, "configuration" => asking.version,
            "took_us" => took.as_micros(), "outcome" => "answered",
            "status" => response.status().as_u16());
        ControlFlow::Break(Some(response))
    }

    /// Has another host look through a part of a search.
    pub(super) async fn ask_part(
        &self,
        sharing: Sharing<'_>,
        mut head: request::Parts,
        body: Bytes,
        asking: &Asking<'_>,
        on_the_way: Duration,
    ) -> relay::Part {
        let left = asking.patience().saturating_sub(asking.arrived.elapsed());
        self.ingress.set_patience(&mut head.headers, left);
        relay::set_on_the_way(&mut head.headers, on_the_way + PART_HOP);
        let tolerable = match &asking.route.target {
            Target::FanOut(gather) => gather.dispensable() / 2,
            Target::Split(_) => 0,
        };
        let mut line = PartLine {
            log: &self.log,
            asking,
            helper: sharing.host(),
            shards: sharing.keys().len(),
            ended: false,
        };
        let part = sharing.ask(head, body, asking.version, tolerable as u64, left);
        let Shared { reply, why } = part.await;
        let (outcome, counted) = match reply {
            Ok(_) => ("answered", "part answered"),
            Err(_) => ("not answered", "part not answered"),
        };
        self.metrics.front.relayed(counted);
        line.write(outcome, why);
        reply
    }
}

/// Runs a search of which another host looks through a part, and tells the home what came of that.
pub(super) async fn run_beside(
    home: &route::Handle<Opaque>,
    asked: event::Request<Opaque>,
    part: impl Future<Output = relay::Part>,
) -> Ending {
    let id = asked.id;
    let mut run = pin!(home.run(asked));
    let mut part = pin!(part);
    let mut is_pending = true;
    loop {
        tokio::select! {
            // The home has to know the search before it hears of the part.
            biased;
            outcome = &mut run => return outcome,
            reply = &mut part, if is_pending => {
                is_pending = false;
                home.send(match reply {
                    Ok(reply) => Event::DelegatedReply(id, reply),
                    Err(begun) => Event::DelegationFailed(id, begun),
                });
            }
        }
    }
}

/// The line of a part that another host was asked for. Where the search ends before its answer, it is dropped and says
/// so: without that nobody could tell why the answer lacks the part.
struct PartLine<'a> {
    log: &'a Logger,
    asking: &'a Asking<'a>,
    helper: MemberId,
    shards: u64,
    ended: bool,
}

impl PartLine<'_> {
    fn write(&mut self, outcome: &'static str, why: Option<String>) {
        self.ended = true;
        info!(self.log, "part"; "id" => &self.asking.ask.id, "helper" => %self.helper,
            "shards" => self.shards, "took_us" => self.asking.arrived.elapsed().as_micros(),
            "outcome" => outcome, "why" => why);
    }
}

impl Drop for PartLine<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.write("not waited for", None);
        }
    }
}

/// Says that a client left while another host was asked.
struct Leaving<'a> {
    log: &'a Logger,
    asking: &'a Asking<'a>,
    ended: bool,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if !self.ended {
            info!(self.log, "relay"; "id" => &self.asking.ask.id,
                "took_us" => self.asking.arrived.elapsed().as_micros(),
                "outcome" => Ended::Abandoned.to_string(), "why" => "the client left");
        }
    }
}
