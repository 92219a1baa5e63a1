//! Load and connections of one backend server.

use super::row::{Row, Section};
use super::size::{MILLIS, Size};
use super::values::{Result, Values};
use monsoonring_decision::placement;

/// Membership views in use at the same time during a partition between regions.
const CONCURRENT_VIEWS: f64 = 2.0;

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let requests = size.requests_at_server();
    let service = values.get("service_ms_today")? / MILLIS;
    let round_trip = values.get("round_trip_ms")? / MILLIS;
    let slots = f64::from(size.capacity.slots);
    let connections = f64::from(size.capacity.connections);
    let homes = size.homes as usize;
    let share = placement::share(size.capacity.connections, homes);
    let usable = size.homes * f64::from(share);
    let held = size.homes * f64::from(share + placement::CONTROL_CONNECTIONS);
    let busy = requests * (service + round_trip);
    let poll_rate = values.get("servers_polled_per_second")? / size.servers_of_route;
    let polls = 2.0 * size.homes * poll_rate.min(1.0);
    let module = "decision::placement::share";
    let rows = vec![
        Row::new("requests", requests, "/s", "decision::home"),
        Row::new(
            "slots kept busy at today's service time",
            requests * service,
            "",
            "decision::home",
        )
        .within(slots),
        Row::new(
            "longest service time that fits the slots",
            slots / requests * MILLIS,
            "ms",
            "decision::home",
        ),
        Row::new(
            "connections kept busy, one request each",
            busy,
            "",
            "daemon::backend::connection",
        )
        .within(usable),
        Row::new(
            "connections held by the homes of one view",
            held,
            "",
            module,
        )
        .within(connections),
        Row::new(
            "of two views, while regions are cut off",
            CONCURRENT_VIEWS * held,
            "",
            module,
        )
        .within(connections),
        Row::new("calls of polling", polls, "/s", "daemon::route::poll"),
    ];
    Ok(Section {
        title: "One backend server",
        prose: "Groups of the size of today's: three replicas, few slots, about thirty connections. \
            A connection carries one request at a time.",
        rows,
    })
}
