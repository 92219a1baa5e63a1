//! Load of the daemon that receives a query and forwards it to a home.

use super::row::{Row, Section};
use super::size::{MB, MICROS, PERCENT, Size};
use super::values::{Result, Values};

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let queries = size.queries / size.daemons;
    let local_share = size.homes / size.daemons;
    let processor = queries * values.get("entry_us_per_query")? / MICROS;
    let routes = size.routes * values.get("resident_bytes_per_route")?;
    let configured = size.servers * values.get("resident_bytes_per_configured_server")?;
    let cores = values.get("cores_per_host")?;
    let rows = vec![
        Row::new("queries taken", queries, "/s", "daemon::caller"),
        Row::new(
            "of them for a home here",
            local_share * PERCENT,
            "%",
            "decision::placement",
        ),
        Row::new(
            "messages to homes",
            2.0 * queries * (1.0 - local_share),
            "/s",
            "daemon::node::search",
        ),
        Row::new("processor time", processor, "cores", "daemon::caller").within(cores),
        Row::new("state: routes", routes / MB, "MB", "daemon::node::routes"),
        Row::new(
            "state: the whole document",
            configured / MB,
            "MB",
            "daemon::service",
        )
        .within(values.get("budget_memory_mb")?),
    ];
    Ok(Section {
        title: "Entry",
        prose: "Any daemon. It parses a caller's request, finds the route in the document and passes \
            the query on in one hop. State: the document in force, and one record for each request \
            in flight.",
        rows,
    })
}
