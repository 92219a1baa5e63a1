//! What the balancer, monitoring and operators ask: readiness, metrics and state.

use super::describe::Describe;
use crate::metrics::Metrics;
use crate::operator::{self, METRICS_PATH, STATE_PATH};
use crate::server::stop::{Stage, Watch};
use crate::server::{Handler, LimitStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;

/// Answers the balancer and monitoring.
pub(super) struct Front {
    pub(super) describe: Describe,
    pub(super) metrics: Arc<Metrics>,
    pub(super) stop: Watch,
    /// Path on which readiness is asked for.
    pub(super) path: &'static str,
}

impl Front {
    /// Ready is who can serve: with a configuration and servers, and no stop begun.
    fn ready(&self) -> (StatusCode, &'static str) {
        if self.stop.stage() > Stage::Serving {
            return (StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        match self.describe.state.view() {
            Some(_) => (StatusCode::OK, "ready"),
            None => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
        }
    }
}

impl Handler for Front {
    async fn handle(&self, request: Request<Incoming>, _: LimitStatus) -> Response<Full<Bytes>> {
        match request.uri().path() {
            METRICS_PATH => operator::metrics(&self.metrics),
            STATE_PATH => {
                let (status, reason) = self.ready();
                let reason = (!status.is_success()).then_some(reason);
                operator::json(&self.describe.describe(reason).await)
            }
            path if path == self.path => {
                let (status, reason) = self.ready();
                operator::text(status, reason)
            }
            _ => operator::text(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }
}
