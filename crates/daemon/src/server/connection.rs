//! Serves one connection.

use super::socket::{Activity, Socket};
use super::stop::Stage;
use super::{Handler, LimitStatus, Server};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::debug;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time that an idle connection stays open after accepting has ended, for requests that were
/// already on their way.
const LINGER: Duration = Duration::from_millis(250);

/// Serves the requests of a connection in turn until either side closes it or a stop ends it.
pub(super) async fn serve<H: Handler>(
    stream: TcpStream,
    server: &Server<H>,
    limit_status: LimitStatus,
) {
    let limits = &server.limits;
    let activity = Arc::new(Activity::default());
    let socket = Socket::new(stream, activity.clone(), limits);
    let handle = service_fn(|request| handle(request, server, limit_status, &activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout())
        .max_buf_size(limits.max_header_bytes)
        .serve_connection(TokioIo::new(socket), handle);
    let mut connection = pin!(connection);
    let mut draining = server.stop.clone();
    let mut cut = server.stop.clone();
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = draining.reached(Stage::Draining) => {}
        }
        if let Ok(ended) = tokio::time::timeout(LINGER, connection.as_mut()).await {
            return ended;
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    let ended = tokio::select! {
        ended = serving => ended,
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

async fn handle<H: Handler>(
    request: Request<Incoming>,
    server: &Server<H>,
    limit_status: LimitStatus,
    activity: &Activity,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _guard = activity.begin_request();
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
