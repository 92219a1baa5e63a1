//! One connection to a backend server.

#[cfg(test)]
mod tests;

use super::codec::{Answer, Codec};
use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{ConnectFailure, ConnectionId, Failure};
use monsoonring_decision::content::Content;
use monsoonring_decision::home::Event;
use monsoonring_decision::home::action::Send;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Largest reply of a backend server, in bytes. A longer one is a fault of the server and would
/// otherwise fill the daemon's memory.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Time that a connect may take. A server answers in a round trip of about a millisecond; one that
/// is dark never does, and would hold its place among the connections being opened for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Time within which a server that has too many connections ends a new one: a few round trips.
const REJECTION_WINDOW: Duration = Duration::from_millis(3);

/// Attempts that may wait for one connection: the home puts one at a time on it.
const QUEUED_JOBS: usize = 1;

/// Returns what the failure to open a connection tells of the server.
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

/// An attempt for the connection to carry out.
pub(crate) type Job<K> = Send<<K as Codec>::Content>;

/// Where a connection reports what happens to it.
pub(crate) type EventSender<C> = mpsc::UnboundedSender<Event<C>>;

type Sender = client::Sender<Full<Bytes>>;
type Driver<T> = http1::Connection<TokioIo<T>, Full<Bytes>>;

/// Handle of a connection's task. Dropping it closes the connection at once.
#[derive(Debug)]
pub(crate) struct Connection<K: Codec> {
    jobs: mpsc::Sender<Job<K>>,
    task: AbortHandle,
}

impl<K: Codec> Connection<K> {
    /// Puts an attempt on the connection; gives it back where the connection has ended.
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

/// Starts a connection; it reports `Opened`, or `Closed` where it can't be made.
pub(crate) fn spawn<K: Codec>(
    id: ConnectionId,
    backend_server: BackendServerId,
    clock: Clock,
    codec: K,
    report: EventSender<K::Content>,
) -> Connection<K> {
    let (jobs, queue) = mpsc::channel(QUEUED_JOBS);
    let task = tokio::spawn(async move {
        let ended = match timeout(CONNECT_TIMEOUT, client::open(backend_server)).await {
            Ok(Ok((sender, driver))) => match wait_for_rejection(driver).await {
                Some(driver) => {
                    let _ = report.send(Event::Opened(id));
                    serve(sender, driver, queue, clock, &codec, &report).await;
                    Event::Closed(id)
                }
                None => Event::ConnectFailed(id, ConnectFailure::Closed),
            },
            Ok(Err(error)) => Event::ConnectFailed(id, connect_failure(&error)),
            Err(_) => Event::ConnectFailed(id, ConnectFailure::TimedOut),
        };
        let _ = report.send(ended);
    });
    Connection {
        jobs,
        task: task.abort_handle(),
    }
}

/// Waits for a moment in which a server that has too many connections ends a new one; returns none
/// if it did. A request that was put on it at once would be lost with it, and one that may not run
/// twice would end in doubt although it never reached the server.
async fn wait_for_rejection<T: AsyncRead + AsyncWrite + Unpin>(
    mut driver: Driver<T>,
) -> Option<Driver<T>> {
    let ended = timeout(REJECTION_WINDOW, &mut driver).await;
    ended.is_err().then_some(driver)
}

/// Carries out one attempt after the other until the connection ends. An attempt that was put on it
/// after that is reported as not sent.
async fn serve<T: AsyncRead + AsyncWrite + Unpin, K: Codec>(
    mut sender: Sender,
    driver: Driver<T>,
    mut queue: mpsc::Receiver<Job<K>>,
    clock: Clock,
    codec: &K,
    report: &EventSender<K::Content>,
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
        let exchange = exchange(&mut sender, &job, clock, codec);
        tokio::pin!(exchange);
        let (answer, open) = tokio::select! {
            biased;
            answer = &mut exchange => (answer, true),
            // The driver ends with the connection; the exchange then ends by itself, and knows
            // better how far the request got.
            _ = &mut driver => (exchange.await, false),
        };
        let reusable = open && is_reusable(&answer);
        let _ = report.send(event(attempt, answer));
        if !reusable {
            break;
        }
    }
    fail_queued::<K::Content>(&mut queue, report).await;
}

/// Reports attempts that were put on a connection which had ended: none of their bytes left.
///
/// The home puts the next attempt on a connection as soon as it sees the reply, which may be before
/// the connection has come to its end here. Without this, such an attempt would only be seen as
/// lost: a repair ticket that never left would end as unknown, and the server be taken for crashed.
async fn fail_queued<C: Content>(queue: &mut mpsc::Receiver<Send<C>>, report: &EventSender<C>) {
    queue.close();
    while let Some(job) = queue.recv().await {
        let _ = report.send(Event::Failed(job.attempt, Failure::NotSent));
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
) -> Answer<K::Content> {
    if sender.ready().await.is_err() {
        return Answer::Failed(Failure::NotSent);
    }
    // A process that was paused here wakes up with a request whose time is over. Sending it could
    // run it after its caller was told that it did not run.
    let Some(remaining) = job.deadline.checked_sub(clock.now()) else {
        return Answer::Failed(Failure::NotSent);
    };
    let Ok(request) = codec.request(job, remaining) else {
        return Answer::Failed(Failure::NotSent);
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // The library hands the request back only where it has not written any of it.
        Err(error) if error.message().is_some() => return Answer::Failed(Failure::NotSent),
        Err(_) => return Answer::Failed(Failure::Lost),
    };
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_REPLY_BYTES).collect().await {
        Ok(body) => codec.answer(job, &head, body.to_bytes()),
        Err(_) => Answer::Failed(Failure::Mismatched),
    }
}
