//! Executes non-idempotent requests at most once per idempotency key.
//!
//! The ledger ([`monsoonring_decision::idempotency`]) of the incarnation that issued the key
//! decides; this module carries its decisions out. An execution continues after its caller
//! disconnects, because a resend of the key must get its outcome.

use super::Node;
use super::decision::describe;
use super::forward::context;
use super::search::{Choice, unavailable};
use crate::service::{Call, Execution};
use futures::stream::{FuturesUnordered, StreamExt};
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::idempotency::ledger::Completion;
use monsoonring_decision::idempotency::lookup::{Finding, Lookup, Resolution};
use monsoonring_decision::idempotency::{
    AnyPermit, Decision, Fence, Key, Ledger, Permit, Poll, Refusal, Request, Unsent,
};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::{RequestId, Time};
use monsoonring_wire::message::{Rejection, Send, SendReply};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Maximum number of members that are queried about a key. Queries are needed only after a daemon
/// was lost; with more replies, fewer outcomes are reported as unknown.
const MAX_QUERIED: usize = 32;

/// Timeout of the query to one member.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of homes that a request is sent to while each declines it without running it.
const MAX_HOMES: usize = 3;

/// The ledger, and the duplicate sends that wait for the execution of their key.
pub(super) struct SharedLedger {
    ledger: Mutex<Ledger>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<Outcome>>>,
}

impl SharedLedger {
    pub(super) fn new(ledger: Ledger) -> Self {
        Self {
            ledger: Mutex::new(ledger),
            waiters: Mutex::default(),
        }
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, oneshot::Sender<Outcome>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the outcome to the waiting duplicates and returns it.
    fn notify_waiters(&self, completion: Completion) -> Outcome {
        let outcome = Outcome::from(completion.outcome);
        let mut waiters = self.waiters();
        for request in completion.joined {
            if let Some(sender) = waiters.remove(&request) {
                let _ = sender.send(outcome.clone());
            }
        }
        outcome
    }
}

impl Node {
    pub(super) async fn mint_call(&self, call: Call) -> Result<String, Outcome> {
        if self.control.check_ready().is_err() {
            return Err(unavailable());
        }
        let entry = self.routes.get(&call.route.name).ok_or_else(unavailable)?;
        let home = self.choose(&entry, call.request, &[]);
        if let Some(choice) = home.filter(|choice| choice.home != self.own.id) {
            self.log_decision(&call, "fetch key", Some(choice.home), &choice.reason);
            if let Some(key) = self.mint_at(choice.home, &call).await {
                return Ok(key.to_string());
            }
        }
        // No home issued a key, so this daemon does; it forwards the execution to a home later.
        let key = self.mint_here(&call);
        key.map(|key| key.to_string())
            .map_err(|refusal| refusal.outcome().into())
    }

    async fn mint_at(&self, home: MemberId, call: &Call) -> Option<Key> {
        let client = self.peers.client(home).await.ok()?;
        let answer = client
            .mint(context(call.deadline), self.wire_request(call))
            .await;
        answer.ok()?.ok()
    }

    pub(crate) fn mint_here(&self, call: &Call) -> Result<Key, Refusal> {
        let now = self.clock.now();
        let mut ledger = self.ledger.ledger();
        let key = ledger.mint(&call.caller, &call.route.name, now)?;
        self.metrics.node.keys_issued.inc();
        Ok(key)
    }

    pub(super) async fn execute_call(
        self: &Arc<Self>,
        call: Call,
        key: String,
        send: Option<u32>,
    ) -> Execution {
        let Ok(key) = key.parse::<Key>() else {
            return Outcome::NotRun {
                reason: Reason::Fence,
                retry_after: None,
            }
            .into();
        };
        let fenced = matches!(key, Key::Fenced(_));
        match self.send(call.clone(), key, send, false).await {
            SendReply::Ended(outcome @ Outcome::NotRun { .. }) if fenced => {
                self.offer_key(call, outcome).await
            }
            SendReply::Ended(outcome) => outcome.into(),
            SendReply::Conflict => conflict(),
            SendReply::Refused(Refusal::Unmarked) => {
                let outcome = Outcome::from(Refusal::Unmarked.outcome());
                self.offer_key(call, outcome).await
            }
            SendReply::Refused(refusal) => Execution::from(Outcome::from(refusal.outcome())),
        }
    }

    /// Adds a new key to an outcome after which the caller's key can't be used: an issued key that
    /// was recorded as not run, or a caller's own key sent without its send number.
    async fn offer_key(self: &Arc<Self>, call: Call, outcome: Outcome) -> Execution {
        let offered_key = self.mint_call(call).await.ok();
        Execution {
            outcome,
            offered_key,
            conflict: false,
        }
    }

    /// Handles one send of a non-idempotent request, from a caller or forwarded by a peer.
    pub(crate) async fn send(
        self: &Arc<Self>,
        call: Call,
        key: Key,
        send: Option<u32>,
        passed_on: bool,
    ) -> SendReply {
        let request = Request {
            id: call.request,
            caller: call.caller.clone(),
            route: call.route.name.clone(),
            fingerprint: call.fingerprint,
            deadline: self.clock.time(call.deadline),
            send,
            passed_on,
        };
        // Registered before the ledger decides, because the execution that this send joins may
        // finish at any time.
        let (sender, receiver) = oneshot::channel();
        self.ledger.waiters().insert(call.request, sender);
        let decision = self.ledger.ledger().begin(&key, &request, self.clock.now());
        if !matches!(decision, Decision::Join) {
            self.ledger.waiters().remove(&call.request);
        }
        let (label, home, reason) = describe(&decision);
        self.metrics.node.record_key_decision(label);
        self.log_decision(&call, label, home, &reason);
        match decision {
            Decision::Run(permit) => SendReply::Ended(self.run(permit, call, &key).await),
            Decision::Join => SendReply::Ended(self.join(receiver, &call).await),
            Decision::Replay(outcome) => SendReply::Ended(outcome.into()),
            Decision::Refuse(Refusal::Mismatch) => SendReply::Conflict,
            Decision::Refuse(refusal) => SendReply::Refused(refusal),
            // A request that waited in the socket of a paused process may be long past its
            // deadline, and a peer could not tell. The caller learns the outcome with a resend.
            Decision::ForwardTo(_) | Decision::LookUp if self.control.check_ready().is_err() => {
                SendReply::Ended(Outcome::Unknown {
                    reason: Reason::Unavailable,
                })
            }
            Decision::ForwardTo(fence) => self.forward_to(fence, call, key, send).await,
            Decision::LookUp => {
                let lookup = Lookup::Own {
                    caller: call.caller.clone(),
                    key: key.to_string().into(),
                    fingerprint: call.fingerprint,
                };
                self.look_up(lookup, call, key, send).await
            }
        }
    }

    /// Waits for the execution that this send joined, until the send's own deadline.
    async fn join(&self, receiver: oneshot::Receiver<Outcome>, call: &Call) -> Outcome {
        let outcome = tokio::time::timeout_at(call.deadline.into(), receiver).await;
        self.ledger.waiters().remove(&call.request);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unknown {
                reason: Reason::Deadline,
            },
        }
    }

    /// Executes a request whose key the ledger has recorded.
    async fn run(self: &Arc<Self>, permit: Permit<Unsent>, call: Call, key: &Key) -> Outcome {
        // A process that was paused or has just started may have outdated homes and facts. The key
        // is recorded as not run, so that no later send runs it.
        if self.control.check_ready().is_err() {
            return self.conclude(AnyPermit::Unsent(permit), unavailable());
        }
        let (permit, may_run) = AnyPermit::Unsent(permit).mark_sent(self.clock.now());
        if !may_run {
            let outcome = Outcome::NotRun {
                reason: Reason::Deadline,
                retry_after: None,
            };
            return self.conclude(permit, outcome);
        }
        let node = self.clone();
        let key: Arc<str> = key.to_string().into();
        // Runs in a separate task: if the caller disconnects, the execution must continue and its
        // outcome be recorded for the next send.
        let task = tokio::spawn(async move {
            let outcome = node.run_at_home(&call, &key).await;
            // A home returns "not run" only with proof, so the permit is given back unused.
            let permit = match &outcome {
                Outcome::NotRun { .. } => permit.on_failure(&Failure::NotSent),
                _ => permit,
            };
            node.conclude(permit, outcome)
        });
        task.await.unwrap_or(Outcome::Unknown {
            reason: Reason::Lost,
        })
    }

    fn conclude(&self, permit: AnyPermit, outcome: Outcome) -> Outcome {
        let completion = self
            .ledger
            .ledger()
            .conclude(permit, outcome, self.clock.now());
        self.ledger.notify_waiters(completion)
    }

    /// Sends a request to a home, and to another only if the first declined it without running it.
    async fn run_at_home(&self, call: &Call, key: &Arc<str>) -> Outcome {
        let Some(entry) = self.routes.get(&call.route.name) else {
            return unavailable();
        };
        let mut tried = Vec::new();
        while tried.len() < MAX_HOMES {
            let Some(Choice { home, reason }) = self.choose(&entry, call.request, &tried) else {
                break;
            };
            tried.push(home);
            if home == self.own.id {
                let Some(handle) = &entry.handle else {
                    continue;
                };
                return handle.run(self.home_request(call, Some(key.clone()))).await;
            }
            self.log_decision(call, "pass on", Some(home), &reason);
            let Ok(client) = self.peers.client(home).await else {
                continue;
            };
            let answer = client.run(
                context(call.deadline),
                self.wire_request(call),
                key.to_string(),
            );
            let answer = answer.await;
            self.metrics.node.record_forward(match &answer {
                Ok(Ok(_)) => "answered",
                Ok(Err(_)) => "declined",
                Err(_) => "lost",
            });
            match answer {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(Rejection::NotHome | Rejection::Ledger(_))) => {}
                Err(_) => {
                    return Outcome::Unknown {
                        reason: Reason::Lost,
                    };
                }
            }
        }
        unavailable()
    }

    /// Runs a request at this home for the peer that holds its permit.
    pub(crate) async fn run_forwarded(
        &self,
        call: Call,
        key: String,
    ) -> Result<Outcome, Rejection> {
        self.check_ready()?;
        let entry = self
            .routes
            .get(&call.route.name)
            .ok_or(Rejection::NotHome)?;
        let handle = entry.handle.ok_or(Rejection::NotHome)?;
        Ok(handle.run(self.home_request(&call, Some(key.into()))).await)
    }

    /// Forwards a send to the incarnation that issued its key, or to the one that took over its
    /// fence.
    async fn forward_to(
        self: &Arc<Self>,
        fence: Fence,
        call: Call,
        key: Key,
        send: Option<u32>,
    ) -> SendReply {
        // Only to a known member, including one that has left. The address comes from the caller; a
        // forged one could make this daemon connect to any host and port.
        let sent = match self.control.start(fence.member).await {
            Some(_) => self.send_to(fence.member, &call, &key, send).await,
            None => None,
        };
        match sent {
            Some(SendReply::Refused(Refusal::Moved(to))) => {
                let sent = self.send_to(to.member, &call, &key, send).await;
                sent.unwrap_or(unknown())
            }
            Some(SendReply::Refused(Refusal::Gone)) | None => {
                self.look_up(Lookup::Fence(fence), call, key, send).await
            }
            Some(sent) => sent,
        }
    }

    /// Forwards a send to a member; returns `None` if the connection failed, so that nothing was
    /// sent.
    async fn send_to(
        &self,
        member: MemberId,
        call: &Call,
        key: &Key,
        send: Option<u32>,
    ) -> Option<SendReply> {
        let client = self.peers.client(member).await.ok()?;
        let message = Send {
            request: self.wire_request(call),
            key: key.clone(),
            send,
        };
        match client.send(context(call.deadline), message).await {
            Ok(sent) => Some(sent),
            Err(_) => {
                self.peers.forget(member);
                Some(unknown())
            }
        }
    }

    /// Queries members about a key and acts on the result.
    async fn look_up(
        self: &Arc<Self>,
        lookup: Lookup,
        call: Call,
        key: Key,
        send: Option<u32>,
    ) -> SendReply {
        let members = self.members_to_query(&call);
        let mut poll = Poll::new(members.iter().copied());
        let mut resolution = poll.resolve();
        let queries = members.into_iter().map(|member| {
            let answer = self.query_member(member, lookup.clone(), call.deadline);
            async move { (member, answer.await) }
        });
        // In parallel, because sequential queries to a few members that are down would use up the
        // deadline.
        let mut queries: FuturesUnordered<_> = queries.collect();
        while resolution.is_none() {
            let Some((member, answer)) = queries.next().await else {
                break;
            };
            resolution = poll.record_reply(member, answer);
        }
        drop(queries);
        match resolution {
            Some(Resolution::ForwardTo(member)) => {
                let sent = self.send_to(member, &call, &key, send).await;
                sent.unwrap_or(unknown())
            }
            Some(Resolution::Replay(outcome)) => SendReply::Ended(outcome.into()),
            Some(Resolution::Mismatch) => SendReply::Conflict,
            Some(Resolution::Unknown) | None => unknown(),
        }
    }

    /// Returns the members to query: homes of the route first, because they issue the keys.
    fn members_to_query(&self, call: &Call) -> Vec<MemberId> {
        let entry = self.routes.get(&call.route.name);
        let mut queried: Vec<MemberId> = entry
            .map(|entry| entry.homes.iter().map(|home| home.id).collect())
            .unwrap_or_default();
        let view = self.control.view();
        let others: Vec<_> = view.members.iter().map(|member| member.id).collect();
        queried.extend(
            others
                .into_iter()
                .filter(|id| !queried.contains(id))
                .collect::<Vec<_>>(),
        );
        queried.retain(|id| *id != self.own.id);
        queried.truncate(MAX_QUERIED);
        queried
    }

    async fn query_member(
        &self,
        member: MemberId,
        lookup: Lookup,
        deadline: Instant,
    ) -> Option<Finding> {
        let deadline = deadline.min(Instant::now() + QUERY_TIMEOUT);
        let query = async {
            let client = self.peers.client(member).await.ok()?;
            client.ask(context(deadline), lookup).await.ok()
        };
        tokio::time::timeout_at(deadline.into(), query).await.ok()?
    }

    /// Answers a peer's lookup from the ledger.
    pub(crate) fn answer(&self, lookup: &Lookup) -> Finding {
        self.ledger.ledger().answer(lookup)
    }

    /// Updates the metrics of recorded and running keys.
    pub(super) fn update_key_metrics(&self) {
        let ledger = self.ledger.ledger();
        self.metrics
            .node
            .set_keys(ledger.recorded(), ledger.running());
    }

    /// Removes expired keys from the ledger.
    pub(super) fn expire_keys(&self, now: Time) {
        self.ledger.ledger().tick(now);
    }
}

fn unknown() -> SendReply {
    SendReply::Ended(Outcome::Unknown {
        reason: Reason::Fence,
    })
}

fn conflict() -> Execution {
    let outcome = Refusal::Mismatch.outcome().into();
    Execution {
        outcome,
        offered_key: None,
        conflict: true,
    }
}
