//! Load of the daemons that hold a route's connections.

use super::row::{Row, Section};
use super::size::{MB, MICROS, PERCENT, Size};
use super::values::{Result, Values};
use monsoonring_decision::placement;

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let queries = size.queries_at_home();
    let attempt = values.get("home_us_per_attempt")?;
    let query = values.get("home_us_per_query")? + attempt * size.groups;
    let busy = queries * query / MICROS;
    let share = f64::from(placement::share(
        size.capacity.connections,
        size.homes as usize,
    ));
    let server_memory = size.servers_of_route * values.get("resident_bytes_per_served_server")?;
    let connections = size.servers_of_route * share;
    let connection_memory = connections * values.get("resident_bytes_per_connection")?;
    let polled = size
        .servers_of_route
        .min(values.get("servers_polled_per_second")?);
    let polling = polled * values.get("home_rest_us_per_server_second")?;
    let cores = values.get("cores_per_host")?;
    let control = values.get("budget_control_percent")?;
    let rows = vec![
        Row::new(
            "routes, of 160 groups each",
            size.routes,
            "",
            "configuration::document",
        ),
        Row::new(
            "homes of a route",
            size.homes,
            "",
            "decision::placement::homes",
        ),
        Row::new(
            "home roles of a daemon",
            size.roles,
            "",
            "decision::placement::select",
        ),
        Row::new("queries for one home role", queries, "/s", "decision::home"),
        Row::new(
            "attempts of one home role",
            queries * size.groups,
            "/s",
            "decision::home",
        ),
        Row::new(
            "processor time of one home role",
            busy,
            "cores",
            "daemon::route::controller",
        )
        .within(cores),
        Row::new(
            "processor time over all daemons, a daemon",
            busy * size.roles,
            "cores",
            "daemon::route",
        )
        .within(cores),
        Row::new(
            "polling of health and load, a home role",
            polling / MICROS * PERCENT,
            "% of a core",
            "daemon::route::poll",
        )
        .within(control),
        Row::new(
            "connections to backend servers",
            connections,
            "",
            "decision::placement::share",
        ),
        Row::new(
            "state: served backend servers",
            server_memory / MB,
            "MB",
            "decision::backend::fleet",
        ),
        Row::new(
            "state: connections",
            connection_memory / MB,
            "MB",
            "daemon::backend::connection",
        ),
    ];
    Ok(Section {
        title: "Home",
        prose: "The members that rendezvous hashing chooses for a route. A home holds the route's \
            connections, loads, budgets and index versions in one task, and fans each query out.",
        rows,
    })
}
