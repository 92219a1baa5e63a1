//! Validation beyond the syntax of each setting: ranges, and conflicts between settings.

use super::error::{InvalidSnafu, Problem, Result};
use super::{Limits, Settings};
use snafu::ensure;
use std::net::SocketAddr;

/// Smallest buffer that hyper accepts for request heads.
const MIN_HEADER_BYTES: usize = 8 * 1_024;

/// Maximum length of a data centre name, which is part of every message between daemons.
const MAX_DATA_CENTRE_BYTES: usize = 64;

/// Checks the settings and reports all problems together, so that an operator can fix them in one go.
pub(super) fn check(settings: &Settings) -> Result<()> {
    let mut problems = Vec::new();
    check_addresses(settings, &mut problems);
    check_platform(settings, &mut problems);
    check_identity(settings, &mut problems);
    check_stop(settings, &mut problems);
    check_limits(&settings.limits, &mut problems);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    Ok(())
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    let listeners = [
        ("--listen", settings.listen),
        ("--operator-listen", settings.operator_listen),
        ("--peer-listen", settings.peer_listen),
    ];
    for (index, (flag, address)) in listeners.iter().enumerate() {
        let duplicate = listeners
            .iter()
            .take(index)
            .find(|(_, other)| address.port() != 0 && other == address);
        if let Some((other, _)) = duplicate {
            problems.push(Problem::new(flag, format!("is the same as {other}")));
        }
    }
    if settings.advertise.is_none() && settings.peer_listen.ip().is_unspecified() {
        let detail = "is required where --peer-listen is not one address";
        problems.push(Problem::new("--advertise", detail));
    }
    if let Some(address) = settings.advertise {
        check_reachable("--advertise", address, problems);
    }
}

fn check_platform(settings: &Settings, problems: &mut Vec<Problem>) {
    check_reachable(
        "--configuration-service",
        settings.configuration_service,
        problems,
    );
    check_reachable("--host-list", settings.host_list, problems);
    for peer in &settings.peers {
        check_reachable("--peers", *peer, problems);
    }
}

fn check_reachable(flag: &str, address: SocketAddr, problems: &mut Vec<Problem>) {
    if address.ip().is_unspecified() || address.port() == 0 {
        problems.push(Problem::new(
            flag,
            format!("`{address}` cannot be connected to"),
        ));
    }
}

fn check_identity(settings: &Settings, problems: &mut Vec<Problem>) {
    let name = &settings.data_centre;
    if name.is_empty() || name.len() > MAX_DATA_CENTRE_BYTES {
        let detail = format!("must have 1 to {MAX_DATA_CENTRE_BYTES} bytes");
        problems.push(Problem::new("--data-centre", detail));
    }
    if settings.previous_key.is_some() && settings.previous_key == settings.key {
        problems.push(Problem::new("--previous-key", "is the same as --key"));
    }
    if settings.previous_key.is_some() && settings.key.is_none() {
        problems.push(Problem::new("--previous-key", "needs --key"));
    }
}

fn check_stop(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.stop_bound_ms <= settings.drain_wait_ms {
        let detail = "must be above --drain-wait-ms";
        problems.push(Problem::new("--stop-bound-ms", detail));
    }
}

fn check_limits(limits: &Limits, problems: &mut Vec<Problem>) {
    let positive = [
        ("--header-timeout-ms", limits.header_timeout_ms),
        ("--body-timeout-ms", limits.body_timeout_ms),
        ("--idle-timeout-ms", limits.idle_timeout_ms),
        ("--write-timeout-ms", limits.write_timeout_ms),
    ];
    for (flag, value) in positive {
        if value == 0 {
            problems.push(Problem::new(flag, "must be above 0"));
        }
    }
    if limits.max_connections == 0 {
        problems.push(Problem::new("--max-connections", "must be above 0"));
    }
    if limits.max_peer_connections == 0 {
        problems.push(Problem::new("--max-peer-connections", "must be above 0"));
    }
    if limits.max_header_bytes < MIN_HEADER_BYTES {
        let detail = format!("must be at least {MIN_HEADER_BYTES}");
        problems.push(Problem::new("--max-header-bytes", detail));
    }
}
