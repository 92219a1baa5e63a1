//! Serves readiness, metrics and state to the load balancer, monitoring and operators.

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

/// Handles requests of the load balancer, monitoring and operators.
#[derive(Clone)]
pub(super) struct Front {
    pub(super) describe: Describe,
    pub(super) metrics: Arc<Metrics>,
    pub(super) stop: Watch,
    /// Path of the readiness check.
    pub(super) path: &'static str,
}

impl Front {
    /// Returns the readiness status: ready once a configuration and backend servers are known, until a stop begins.
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
