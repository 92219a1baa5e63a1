//! Effects of losing a rack or a data centre, and of a partition between regions.

use super::row::{Row, Section};
use super::size::{MICROS, MILLIS, Size};
use super::values::{Result, Values};

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let rack = values.get("hosts_per_rack")?;
    let daemons_per_centre = size.daemons / size.data_centres;
    let roles = |daemons: f64| daemons * size.roles;
    // The loss of a data centre changes the homes of nearly every route.
    let select = size.routes * values.get("select_us_3800")? / MICROS;
    let capacity = size.capacity;
    let connect_time = capacity.connect_ms as f64 / MILLIS;
    let budget = values.get("budget_in_force_s")?;
    let query = values.get("budget_p99_ms")? / MILLIS;
    let rows = vec![
        Row::new(
            "rack: home roles that move",
            roles(rack),
            "",
            "decision::placement::select",
        ),
        Row::new(
            "rack: deaths known everywhere",
            values.get("death_worst_s_3800")?,
            "s",
            "decision::member::detector",
        )
        .within(budget),
        Row::new(
            "data centre: daemons that die",
            daemons_per_centre,
            "",
            "decision::member::detector",
        ),
        Row::new(
            "data centre: home roles that move",
            roles(daemons_per_centre),
            "",
            "decision::placement",
        ),
        Row::new(
            "data centre: most homes that a route loses",
            (size.homes / size.data_centres).ceil(),
            "",
            "decision::placement::select",
        )
        .within(size.homes),
        Row::new(
            "data centre: deaths known everywhere",
            values.get("centre_worst_s_3800")?,
            "s",
            "decision::member::detector",
        )
        .within(budget),
        Row::new(
            "data centre: bytes meanwhile",
            values.get("centre_bytes_3800")?,
            "B/s",
            "decision::member",
        )
        .within(values.get("budget_control_bytes")?),
        Row::new(
            "homes of all routes chosen anew",
            select,
            "s",
            "daemon::node::routes",
        )
        .within(query),
        Row::new(
            "a moved home opens one connection",
            connect_time,
            "s",
            "decision::backend::pool",
        )
        .within(query),
    ];
    Ok(Section {
        title: "Losses",
        prose: "The dead are found by probes; until then queries to a dead home are passed to another \
            one after its first silence (`daemon::node::forward`). A cut between regions makes two views: \
            each side serves what it reaches and says the coverage.",
        rows,
    })
}
