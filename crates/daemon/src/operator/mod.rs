//! HTTP interface for operators: health, metrics, state, explanations and the console.

mod console;
mod query;
pub(crate) mod render;

use crate::metrics::Metrics;
use crate::server::{Handler, LimitStatus};
use crate::service::Service;
use bytes::Bytes;
use console::Console;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Path that serves the metrics.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Path that serves the daemon's state as JSON.
pub(crate) const STATE_PATH: &str = "/state";

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// Handles the requests of operators.
pub(crate) struct Front {
    service: Arc<dyn Service>,
    metrics: Arc<Metrics>,
    console: Console,
}

impl Handler for Front {
    async fn handle(&self, request: Request<Incoming>, _: LimitStatus) -> Response<Full<Bytes>> {
        let is_console = [console::PATH, console::DOCUMENT_PATH].contains(&request.uri().path());
        if is_console && [Method::GET, Method::POST].contains(request.method()) {
            return self.console.handle(request).await;
        }
        if request.method() != Method::GET {
            let mut response = text(
                StatusCode::METHOD_NOT_ALLOWED,
                "only GET is allowed on this path",
            );
            let headers = response.headers_mut();
            headers.insert(ALLOW, HeaderValue::from_static("GET"));
            return response;
        }
        match request.uri().path() {
            "/health" => text(StatusCode::OK, "alive"),
            METRICS_PATH => metrics(&self.metrics),
            STATE_PATH => json(&self.service.state().await),
            "/explain" => {
                self.explain(request.uri().query().unwrap_or_default())
                    .await
            }
            _ => text(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }
}

impl Front {
    /// Creates the handler; `body_timeout` limits the time to receive a form of the console.
    pub(crate) fn new(
        service: Arc<dyn Service>,
        metrics: Arc<Metrics>,
        body_timeout: Duration,
    ) -> Self {
        Self {
            console: Console::new(service.clone(), body_timeout),
            service,
            metrics,
        }
    }

    async fn explain(&self, query: &str) -> Response<Full<Bytes>> {
        match query::parse(query) {
            Ok(explain) => match self.service.explain(explain).await {
                Some(value) => json(&value),
                None => text(StatusCode::NOT_FOUND, "nothing is known of it"),
            },
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

/// Returns a response with the metrics in the OpenMetrics text format.
pub(crate) fn metrics(metrics: &Metrics) -> Response<Full<Bytes>> {
    match metrics.text() {
        Ok(output) => respond(StatusCode::OK, METRICS_TYPE, output),
        Err(_) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the metrics could not be encoded",
        ),
    }
}

/// Returns a JSON response.
pub(crate) fn json(value: &serde_json::Value) -> Response<Full<Bytes>> {
    respond(StatusCode::OK, JSON_TYPE, value.to_string())
}

/// Returns a plain text response.
pub(crate) fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    respond(status, TEXT_TYPE, body.to_owned())
}

fn respond(status: StatusCode, media_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
