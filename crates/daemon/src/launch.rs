//! Starts a complete daemon: the front and the controllers behind it.

use crate::metrics::label::Side;
use crate::node;
use crate::run::{self, Result, Running, StopOutcome, Telemetry};
use crate::settings::Settings;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;

/// A daemon that serves callers, operators and peers.
pub struct Launched {
    /// Serves callers and operators.
    pub running: Running,
    /// Address on which peers are served.
    pub peer_address: SocketAddr,
}

/// Starts a daemon.
///
/// # Errors
///
/// Fails if one of the addresses can't be listened on.
pub async fn launch(settings: &Settings, telemetry: Telemetry) -> Result<Launched> {
    let (peers, peer_address) = run::listen(Side::Peer, settings.peer_listen).await?;
    let advertised = settings.advertise.unwrap_or(peer_address);
    let (log, metrics) = (telemetry.log.clone(), telemetry.metrics.clone());
    let service = Arc::new(node::start(
        settings,
        peers,
        advertised,
        log.clone(),
        metrics,
    ));
    let running = Running::start(settings, service, telemetry).await?;
    info!(log, "serving peers"; "peers" => %peer_address, "advertised" => %advertised);
    Ok(Launched {
        running,
        peer_address,
    })
}

/// Serves until a stop signal arrives, and stops.
///
/// # Errors
///
/// Fails if one of the addresses can't be listened on or signals can't be received.
pub async fn run(settings: &Settings, telemetry: Telemetry) -> Result<StopOutcome> {
    let signals = run::signals()?;
    let launched = launch(settings, telemetry).await?;
    Ok(launched.running.until_stopped(signals).await)
}
