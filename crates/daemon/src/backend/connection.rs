//! A connection to a backend server.

#[cfg(test)]
mod tests;

use super::codec::{Answer, Codec};
use crate::body::{Memory, read_response};
use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{ConnectFailure, ConnectionId, Failure};
use monsoonring_decision::content::Content;
use monsoonring_decision::home::Event;
use monsoonring_decision::home::action::Send;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Limit on a connect. An unreachable server would otherwise hold its place among the connections
/// being opened for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Time within which a server at its connection limit closes a new connection: a few round trips.
const REJECTION_WINDOW: Duration = Duration::from_millis(3);

/// Attempts queued for one connection; the home assigns one at a time.
const QUEUED_JOBS: usize = 1;

/// Maps the error of an open to the failure reported to the home.
fn connect_failure(error: &client::Error) -> ConnectFailure {
    match error {
        client::Error::Connect { source, .. } => match source.kind() {
            ErrorKind::ConnectionRefused => ConnectFailure::Refused,
            ErrorKind::ConnectionReset => ConnectFailure::Closed,
            _ => ConnectFailure::TimedOut,
        },
        client::Error::Handshake { .. } => ConnectFailure::Closed,
    }
}

/// An attempt to carry out.
pub(crate) type Job<K> = Send<<K as Codec>::Content>;

/// Channel for the events of a connection.
pub(crate) type EventSender<C> = mpsc::UnboundedSender<Event<C>>;

type Sender = client::Sender<Full<Bytes>>;
type Driver<T> = client::Connection<T, Full<Bytes>>;

/// Handle of a connection's task. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection<K: Codec> {
    jobs: mpsc::Sender<Job<K>>,
    task: AbortHandle,
}

impl<K: Codec> Connection<K> {
    /// Queues an attempt; returns it if the connection has closed.
    pub(crate) fn send(&self, job: Job<K>) -> std::result::Result<(), Box<Job<K>>> {
        self.jobs
            .try_send(job)
            .map_err(|error| Box::new(error.into_inner()))
    }
}

impl<K: Codec> Drop for Connection<K> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a connection's task, which reports `Opened`, and `Closed` or `ConnectFailed` at its end.
pub(crate) fn spawn<K: Codec>(
    id: ConnectionId,
    backend_server: BackendServerId,
    clock: Clock,
    codec: K,
    memory: Arc<Memory>,
    events: EventSender<K::Content>,
) -> Connection<K> {
    let (jobs, queue) = mpsc::channel(QUEUED_JOBS);
    let task = tokio::spawn(async move {
        let last_event = match timeout(CONNECT_TIMEOUT, client::open(backend_server)).await {
            Ok(Ok((sender, driver))) => match wait_for_rejection(driver).await {
                Some(driver) => {
                    let _ = events.send(Event::Opened(id));
                    serve(sender, driver, queue, clock, &codec, &memory, &events).await;
                    Event::Closed(id)
                }
                None => Event::ConnectFailed(id, ConnectFailure::Closed),
            },
            Ok(Err(error)) => Event::ConnectFailed(id, connect_failure(&error)),
            Err(_) => Event::ConnectFailed(id, ConnectFailure::TimedOut),
        };
        let _ = events.send(last_event);
    });
    Connection {
        jobs,
        task: task.abort_handle(),
    }
}

/// Waits until a server at its connection limit would have closed the connection; returns `None`
/// if it did. A request written at once would be lost with the connection, and a non-idempotent one
/// would end as unknown although it never reached the server.
async fn wait_for_rejection<T: AsyncRead + AsyncWrite + Unpin>(
    mut driver: Driver<T>,
) -> Option<Driver<T>> {
    let ended = timeout(REJECTION_WINDOW, &mut driver).await;
    ended.is_err().then_some(driver)
}

/// Carries out attempts in turn until the connection closes. Attempts queued after that are
/// reported as not sent.
async fn serve<T: AsyncRead + AsyncWrite + Unpin, K: Codec>(
    mut sender: Sender,
    driver: Driver<T>,
    mut queue: mpsc::Receiver<Job<K>>,
    clock: Clock,
    codec: &K,
    memory: &Arc<Memory>,
    events: &EventSender<K::Content>,
) {
    let mut driver = std::pin::pin!(driver);
    loop {
        let job = tokio::select! {
            biased;
            _ = &mut driver => break,
            job = queue.recv() => job,
        };
        let Some(job) = job else { return };
        let attempt = job.attempt;
        let exchange = exchange(&mut sender, &job, clock, codec, memory);
        tokio::pin!(exchange);
        let (answer, open) = tokio::select! {
            biased;
            answer = &mut exchange => (answer, true),
            // The driver ends with the connection; `exchange` then ends too, and its result says
            // how far the request got.
            _ = &mut driver => (exchange.await, false),
        };
        let reusable = open && is_reusable(&answer);
        let _ = events.send(event(attempt, answer));
        if !reusable {
            break;
        }
    }
    fail_queued::<K::Content>(&mut queue, events).await;
}

/// Reports attempts queued on a closed connection as not sent.
///
/// The home queues the next attempt as soon as it sees the reply, possibly before this task notices
/// that the connection has closed. Without this report a non-idempotent request that was never sent
/// would end as unknown, and the server would count as crashed.
async fn fail_queued<C: Content>(queue: &mut mpsc::Receiver<Send<C>>, events: &EventSender<C>) {
    queue.close();
    while let Some(job) = queue.recv().await {
        let _ = events.send(Event::Failed(job.attempt, Failure::NotSent));
    }
}

fn is_reusable<C: Content>(answer: &Answer<C>) -> bool {
    !matches!(answer, Answer::Failed(Failure::Lost | Failure::Mismatched))
}

fn event<C: Content>(attempt: u64, answer: Answer<C>) -> Event<C> {
    match answer {
        Answer::Reply(reply) => Event::Reply(attempt, reply),
        Answer::Executed(value, report) => Event::Executed(attempt, value, report),
        Answer::Failed(failure) => Event::Failed(attempt, failure),
    }
}

async fn exchange<K: Codec>(
    sender: &mut Sender,
    job: &Job<K>,
    clock: Clock,
    codec: &K,
    memory: &Arc<Memory>,
) -> Answer<K::Content> {
    if sender.ready().await.is_err() {
        return Answer::Failed(Failure::NotSent);
    }
    // After a pause of the process the deadline may have passed, and the caller may already have
    // been told that the request did not run.
    let Some(remaining) = job.deadline.checked_sub(clock.now()) else {
        return Answer::Failed(Failure::NotSent);
    };
    let Ok(request) = codec.request(job, remaining) else {
        return Answer::Failed(Failure::NotSent);
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // hyper returns the request only if it has written none of it.
        Err(error) if error.message().is_some() => return Answer::Failed(Failure::NotSent),
        Err(_) if sender.is_limit_exceeded() => return Answer::Failed(Failure::Mismatched),
        Err(_) => return Answer::Failed(Failure::Lost),
    };
    // Neither the outcome nor a refusal is believed: the server is in trouble.
    if !client::is_final(response.status()) {
        return Answer::Failed(Failure::Mismatched);
    }
    match read_response(response, memory).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            codec.answer(job, &head, body)
        }
        Err(_) => Answer::Failed(Failure::Mismatched),
    }
}
