//! Serves one connection.

use super::clients::Intake;
use super::socket::{Activity, Socket};
use super::stop::Stage;
use super::{Connection, Handler, LimitStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use monsoonring_decision::client::Shed;
use slog::{debug, info};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time that an idle connection stays open after accepting has ended, for requests that were
/// already on their way.
const LINGER: Duration = Duration::from_millis(250);

/// Time after which a connection above the limit is closed.
const EXCESS_TIME: Duration = Duration::from_secs(1);

/// Serves the requests of a connection in turn until either side closes it, a stop ends it, or its
/// resources are needed for others.
pub(super) async fn serve<H: Handler>(stream: TcpStream, connection: &Connection<H>) {
    let server = &connection.shared.server;
    let activity = Arc::new(Activity::new(connection.ticket.clone()));
    let mut cut = server.stop.clone();
    let ended = tokio::select! {
        ended = serve_requests(stream, connection, &activity) => ended,
        () = cut.reached(Stage::Cut) => {
            if activity.is_write_stalled() {
                server.handler.response_cut();
            }
            Ok(())
        }
    };
    if let Err(error) = ended {
        debug!(server.log, "connection ended"; "error" => %error);
    }
}

async fn serve_requests<H: Handler>(
    stream: TcpStream,
    connection: &Connection<H>,
    activity: &Arc<Activity>,
) -> hyper::Result<()> {
    let server = &connection.shared.server;
    let ticket = &connection.ticket;
    let socket = Socket::new(stream, activity.clone(), &server.limits);
    // Boxed because hyper keeps room for the future in each connection, also in idle ones.
    let handle = service_fn(|request| Box::pin(handle(request, connection, activity)));
    let exchange = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(server.limits.idle_timeout())
        .max_buf_size(server.limits.max_header_bytes)
        .serve_connection(TokioIo::new(socket), handle);
    let mut exchange = pin!(exchange);
    let mut draining = server.stop.clone();
    let drained = async {
        draining.reached(Stage::Draining).await;
        tokio::time::sleep(LINGER).await;
    };
    let excess = async {
        match ticket.is_excess() {
            true => tokio::time::sleep(EXCESS_TIME).await,
            false => std::future::pending().await,
        }
    };
    tokio::select! {
        ended = exchange.as_mut() => return ended,
        () = drained => exchange.as_mut().graceful_shutdown(),
        () = excess => return Ok(()),
        reason = ticket.shed() => {
            record_shed(connection, reason);
            match reason {
                Shed::Connection if ticket.is_working() => exchange.as_mut().graceful_shutdown(),
                // The kernel delivers the end of the last answer.
                Shed::Connection => return Ok(()),
                Shed::Request | Shed::Answer => {
                    activity.discard();
                    return Ok(());
                }
            }
        }
    }
    // What is left to write may still need to be released.
    tokio::select! {
        ended = exchange => ended,
        reason = ticket.shed_for_memory() => {
            record_shed(connection, reason);
            activity.discard();
            Ok(())
        }
    }
}

fn record_shed<H: Handler>(connection: &Connection<H>, reason: Shed) {
    let server = &connection.shared.server;
    server.record_shed(reason);
    info!(server.log, "connection"; "what" => "closed for others", "why" => ?reason,
        "side" => %server.side, "peer" => %connection.peer,
        "last_request" => connection.ticket.last_request());
}

async fn handle<H: Handler>(
    mut request: Request<Incoming>,
    connection: &Connection<H>,
    activity: &Activity,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let server = &connection.shared.server;
    let limit_status = match connection.ticket.is_excess() {
        true => LimitStatus::Exceeded,
        false => LimitStatus::Within,
    };
    let _guard = activity.begin_request();
    let intake = Intake(connection.ticket.clone());
    request.extensions_mut().insert(intake);
    let mut response = server.handler.handle(request, limit_status).await;
    // A caller that reused its connection during a stop could send a request just as the connection
    // closes, and could not tell whether it ran.
    if limit_status == LimitStatus::Exceeded || server.stop.stage() > Stage::Serving {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
