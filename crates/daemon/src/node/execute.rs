//! Non-idempotent requests: at most once, by the incarnation that a key names.
//!
//! The decisions are the ledger's ([`monsoonring_decision::idempotency`]); here its answers are carried
//! out. A run goes on when its caller leaves: its outcome belongs to the key, not to the connection.

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
use monsoonring_wire::message::{Declined, Send, Sent};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Members asked about a key at most. Nobody is asked at all in ordinary work; after a loss, more
/// answers only turn an honest "unknown" into a known outcome.
const MAX_ASKED: usize = 32;

/// Time that one member may take to say what it knows.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Homes that are asked to run a request, as long as each declines it unrun.
const MAX_HOMES: usize = 3;

/// The ledger, and the sends that wait for a run of another send.
pub(super) struct SharedLedger {
    ledger: Mutex<Ledger>,
    joined: Mutex<HashMap<RequestId, oneshot::Sender<Outcome>>>,
}

impl SharedLedger {
    pub(super) fn new(ledger: Ledger) -> Self {
        Self {
            ledger: Mutex::new(ledger),
            joined: Mutex::default(),
        }
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn joined(&self) -> MutexGuard<'_, HashMap<RequestId, oneshot::Sender<Outcome>>> {
        self.joined.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the outcome to the sends that joined, and returns it.
    fn tell(&self, ended: Completion) -> Outcome {
        let outcome = Outcome::from(ended.outcome);
        let mut joined = self.joined();
        for request in ended.joined {
            if let Some(sender) = joined.remove(&request) {
                let _ = sender.send(outcome.clone());
            }
        }
        outcome
    }
}

impl Node {
    pub(super) async fn mint_call(&self, call: Call) -> Result<String, Outcome> {
        if self.control.ready().is_err() {
            return Err(unavailable());
        }
        let entry = self.routes.get(&call.route.name).ok_or_else(unavailable)?;
        let home = self.choose(&entry, call.request, &[]);
        if let Some(choice) = home.filter(|choice| choice.home != self.own.id) {
            self.note(&call, "fetch key", Some(choice.home), &choice.why);
            if let Some(key) = self.mint_at(choice.home, &call).await {
                return Ok(key.to_string());
            }
        }
        // No home answers: this daemon issues the key itself, and passes the run on later.
        let key = self.mint_here(&call);
        key.map(|key| key.to_string())
            .map_err(|refusal| refusal.outcome().into())
    }

    async fn mint_at(&self, home: MemberId, call: &Call) -> Option<Key> {
        let client = self.peers.client(home).await.ok()?;
        let answer = client.mint(context(call.deadline), self.passed(call)).await;
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
            Sent::Ended(outcome @ Outcome::NotRun { .. }) if fenced => {
                self.offer(call, outcome).await
            }
            Sent::Ended(outcome) => outcome.into(),
            Sent::Conflict => conflict(),
            Sent::Refused(Refusal::Unmarked) => {
                let outcome = Outcome::from(Refusal::Unmarked.outcome());
                self.offer(call, outcome).await
            }
            Sent::Refused(refusal) => Execution::from(Outcome::from(refusal.outcome())),
        }
    }

    /// Offers a fresh key with an outcome that leaves the caller's key without use: one that did not
    /// run is used up, and an own key without its count of sends is never run.
    async fn offer(self: &Arc<Self>, call: Call, outcome: Outcome) -> Execution {
        let offered_key = self.mint_call(call).await.ok();
        Execution {
            outcome,
            offered_key,
            conflict: false,
        }
    }

    /// Takes one send of a non-idempotent request, from a caller or passed on by a peer.
    pub(crate) async fn send(
        self: &Arc<Self>,
        call: Call,
        key: Key,
        send: Option<u32>,
        passed_on: bool,
    ) -> Sent {
        let request = Request {
            id: call.request,
            caller: call.caller.clone(),
            route: call.route.name.clone(),
            fingerprint: call.fingerprint,
            deadline: self.clock.time(call.deadline),
            send,
            passed_on,
        };
        // Before the ledger is asked: the run that this send joins may end at once.
        let (joiner, joined) = oneshot::channel();
        self.ledger.joined().insert(call.request, joiner);
        let decision = self.ledger.ledger().begin(&key, &request, self.clock.now());
        if !matches!(decision, Decision::Join) {
            self.ledger.joined().remove(&call.request);
        }
        let (what, home, why) = describe(&decision);
        self.metrics.node.decided(what);
        self.note(&call, what, home, &why);
        match decision {
            Decision::Run(permit) => Sent::Ended(self.run(permit, call, &key).await),
            Decision::Join => Sent::Ended(self.join(joined, &call).await),
            Decision::Replay(outcome) => Sent::Ended(outcome.into()),
            Decision::Refuse(Refusal::Mismatch) => Sent::Conflict,
            Decision::Refuse(refusal) => Sent::Refused(refusal),
            // A send that waited in the socket of a paused process may be far beyond its deadline, which
            // another daemon could not know. Its caller finds out by sending again.
            Decision::ForwardTo(_) | Decision::LookUp if self.control.ready().is_err() => {
                Sent::Ended(Outcome::Unknown {
                    reason: Reason::Unavailable,
                })
            }
            Decision::ForwardTo(fence) => self.pass_to(fence, call, key, send).await,
            Decision::LookUp => {
                let question = Lookup::Own {
                    caller: call.caller.clone(),
                    key: key.to_string().into(),
                    fingerprint: call.fingerprint,
                };
                self.ask(question, call, key, send).await
            }
        }
    }

    /// Waits for the run that this send joined, at most until the send's own deadline.
    async fn join(&self, joined: oneshot::Receiver<Outcome>, call: &Call) -> Outcome {
        let outcome = tokio::time::timeout_at(call.deadline.into(), joined).await;
        self.ledger.joined().remove(&call.request);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unknown {
                reason: Reason::Deadline,
            },
        }
    }

    /// Runs a request that the ledger has recorded.
    async fn run(self: &Arc<Self>, permit: Permit<Unsent>, call: Call, key: &Key) -> Outcome {
        // A process that was paused, or has just started, may hold old facts: whom to send to, which
        // servers are leaving. The key is recorded as not run, so that this stays true.
        if self.control.ready().is_err() {
            return self.conclude(AnyPermit::Unsent(permit), unavailable());
        }
        let (run, may) = AnyPermit::Unsent(permit).mark_sent(self.clock.now());
        if !may {
            let outcome = Outcome::NotRun {
                reason: Reason::Deadline,
                retry_after: None,
            };
            return self.conclude(run, outcome);
        }
        let node = self.clone();
        let key: Arc<str> = key.to_string().into();
        // A task of its own: a caller that goes away must not take the run with it, else nobody
        // would know the outcome that its next send asks for.
        let running = tokio::spawn(async move {
            let outcome = node.run_at_home(&call, &key).await;
            // A home says "not run" only where that is proven, so the permit goes back.
            let run = match &outcome {
                Outcome::NotRun { .. } => run.on_failure(&Failure::NotSent),
                _ => run,
            };
            node.conclude(run, outcome)
        });
        running.await.unwrap_or(Outcome::Unknown {
            reason: Reason::Lost,
        })
    }

    fn conclude(&self, run: AnyPermit, outcome: Outcome) -> Outcome {
        let ended = self
            .ledger
            .ledger()
            .conclude(run, outcome, self.clock.now());
        self.ledger.tell(ended)
    }

    /// Brings a request to a home, and to another only where the first declined it unrun.
    async fn run_at_home(&self, call: &Call, key: &Arc<str>) -> Outcome {
        let Some(entry) = self.routes.get(&call.route.name) else {
            return unavailable();
        };
        let mut tried = Vec::new();
        while tried.len() < MAX_HOMES {
            let Some(Choice { home, why }) = self.choose(&entry, call.request, &tried) else {
                break;
            };
            tried.push(home);
            if home == self.own.id {
                let Some(handle) = &entry.handle else {
                    continue;
                };
                return handle.run(self.local(call, Some(key.clone()))).await;
            }
            self.note(call, "pass on", Some(home), &why);
            let Ok(client) = self.peers.client(home).await else {
                continue;
            };
            let answer = client.run(context(call.deadline), self.passed(call), key.to_string());
            let answer = answer.await;
            self.metrics.node.hopped(match &answer {
                Ok(Ok(_)) => "answered",
                Ok(Err(_)) => "declined",
                Err(_) => "lost",
            });
            match answer {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(Declined::NotHome | Declined::Ledger(_))) => {}
                Err(_) => {
                    return Outcome::Unknown {
                        reason: Reason::Lost,
                    };
                }
            }
        }
        unavailable()
    }

    /// Runs a request at this home, for the incarnation that holds its permit.
    pub(crate) async fn run_forwarded(&self, call: Call, key: String) -> Result<Outcome, Declined> {
        self.rested()?;
        let entry = self.routes.get(&call.route.name).ok_or(Declined::NotHome)?;
        let handle = entry.handle.ok_or(Declined::NotHome)?;
        Ok(handle.run(self.local(&call, Some(key.into()))).await)
    }

    /// Passes a send to the incarnation that its key names, or to who holds its fence now.
    async fn pass_to(
        self: &Arc<Self>,
        fence: Fence,
        call: Call,
        key: Key,
        send: Option<u32>,
    ) -> Sent {
        // Only a member, be it one that has left: the address comes from the caller, and a made-up
        // one would have this daemon call any host and port that it can reach.
        let sent = match self.control.start(fence.member).await {
            Some(_) => self.send_to(fence.member, &call, &key, send).await,
            None => None,
        };
        match sent {
            Some(Sent::Refused(Refusal::Moved(to))) => {
                let sent = self.send_to(to.member, &call, &key, send).await;
                sent.unwrap_or(unknown())
            }
            Some(Sent::Refused(Refusal::Gone)) | None => {
                self.ask(Lookup::Fence(fence), call, key, send).await
            }
            Some(sent) => sent,
        }
    }

    /// Passes a send to a member; `None` where it can't be reached, so that nothing arrived there.
    async fn send_to(
        &self,
        member: MemberId,
        call: &Call,
        key: &Key,
        send: Option<u32>,
    ) -> Option<Sent> {
        let client = self.peers.client(member).await.ok()?;
        let message = Send {
            request: self.passed(call),
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

    /// Asks members what they know of a key, and does what follows.
    async fn ask(
        self: &Arc<Self>,
        question: Lookup,
        call: Call,
        key: Key,
        send: Option<u32>,
    ) -> Sent {
        let members = self.asked(&call);
        let mut poll = Poll::new(members.iter().copied());
        let mut conclusion = poll.resolve();
        let asking = members.into_iter().map(|member| {
            let answer = self.ask_member(member, question.clone(), call.deadline);
            async move { (member, answer.await) }
        });
        // All at once: one after the other, a few members that are down would use up the deadline.
        let mut asking: FuturesUnordered<_> = asking.collect();
        while conclusion.is_none() {
            let Some((member, answer)) = asking.next().await else {
                break;
            };
            conclusion = poll.record_reply(member, answer);
        }
        drop(asking);
        match conclusion {
            Some(Resolution::ForwardTo(member)) => {
                let sent = self.send_to(member, &call, &key, send).await;
                sent.unwrap_or(unknown())
            }
            Some(Resolution::Replay(outcome)) => Sent::Ended(outcome.into()),
            Some(Resolution::Mismatch) => Sent::Conflict,
            Some(Resolution::Unknown) | None => unknown(),
        }
    }

    /// Members to be asked: homes of the route first, since they are who issues keys.
    fn asked(&self, call: &Call) -> Vec<MemberId> {
        let entry = self.routes.get(&call.route.name);
        let mut asked: Vec<MemberId> = entry
            .map(|entry| entry.homes.iter().map(|home| home.id).collect())
            .unwrap_or_default();
        let view = self.control.view();
        let others: Vec<_> = view.members.iter().map(|member| member.id).collect();
        asked.extend(
            others
                .into_iter()
                .filter(|id| !asked.contains(id))
                .collect::<Vec<_>>(),
        );
        asked.retain(|id| *id != self.own.id);
        asked.truncate(MAX_ASKED);
        asked
    }

    async fn ask_member(
        &self,
        member: MemberId,
        question: Lookup,
        deadline: Instant,
    ) -> Option<Finding> {
        let deadline = deadline.min(Instant::now() + ASK_TIMEOUT);
        let asking = async {
            let client = self.peers.client(member).await.ok()?;
            client.ask(context(deadline), question).await.ok()
        };
        tokio::time::timeout_at(deadline.into(), asking)
            .await
            .ok()?
    }

    /// Answers a peer's question from the ledger.
    pub(crate) fn answer(&self, question: &Lookup) -> Finding {
        self.ledger.ledger().answer(question)
    }

    /// Measures the ledger.
    pub(super) fn measure(&self) {
        let ledger = self.ledger.ledger();
        self.metrics
            .node
            .set_keys(ledger.recorded(), ledger.running());
    }

    /// Drops what has expired from the ledger.
    pub(super) fn tick_ledger(&self, now: Time) {
        self.ledger.ledger().tick(now);
    }
}

fn unknown() -> Sent {
    Sent::Ended(Outcome::Unknown {
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
