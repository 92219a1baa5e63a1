//! Load of the daemons that read the platform, and cost of a document change at the others.

use super::row::{Row, Section};
use super::size::{MB, MICROS, PERCENT, SECONDS_PER_DAY, Size};
use super::values::{Result, Values};
use monsoonring_configuration::limit::VALUE_BYTES;
use monsoonring_decision::configuration::READERS_PER_DATA_CENTRE;

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let readers = READERS_PER_DATA_CENTRE as f64 * size.data_centres;
    let mut rows = calls(values, &size, readers)?;
    rows.extend(documents(values, &size)?);
    rows.extend(lists(values, &size)?);
    Ok(Section {
        title: "Configuration reader",
        prose: "Three members of each data centre, by rank. They watch the configuration service and \
            read the host list; everybody else hears of both from peers.",
        rows,
    })
}

fn calls(values: &Values, size: &Size, readers: f64) -> Result<Vec<Row>> {
    let watches = values.get("service_calls_per_reader_minute")? / 60.0;
    let calls = readers * (watches + size.changes);
    let max_calls = values.get("budget_service_calls")?;
    Ok(vec![
        Row::new("readers", readers, "", "decision::configuration::reader"),
        Row::new(
            "calls to the service",
            calls,
            "/s",
            "decision::configuration::holder",
        )
        .within(max_calls),
        Row::new(
            "all daemons start at once, calls",
            size.daemons / START_JITTER_S,
            "/s",
            "decision::configuration::holder",
        )
        .within(max_calls),
    ])
}

/// Jitter, in seconds, of the first read of daemons that find no peers.
const START_JITTER_S: f64 = 5.0;

fn documents(values: &Values, size: &Size) -> Result<Vec<Row>> {
    let server = values.get("document_bytes_per_server")?;
    let document_bytes = size.servers * server;
    let section = size.servers_of_route * server;
    let index = size.routes * values.get("transfer_bytes_per_route")?;
    let check = size.servers * values.get("document_check_us_per_server")? / MICROS;
    let starts = values.get("restarts_per_day")? / SECONDS_PER_DAY / size.daemons;
    let bytes = values.get("budget_control_bytes")?;
    let busy = size.changes * check * PERCENT;
    let document = Row::new(
        "the document",
        document_bytes / MB,
        "MB",
        "configuration::limit",
    );
    let read = Row::new(
        "whole documents, a reader",
        size.changes * document_bytes,
        "B/s",
        "daemon::platform::configuration",
    );
    let changed = Row::new(
        "changed sections, a daemon",
        size.changes * (section + index) + starts * document_bytes,
        "B/s",
        "configuration::section",
    );
    let checks = Row::new(
        "checks of whole documents",
        busy,
        "% of a core",
        "configuration::check",
    );
    Ok(vec![
        document.within(VALUE_BYTES as f64 / MB),
        read.within(bytes),
        changed.within(bytes),
        checks.within(values.get("budget_control_percent")?),
    ])
}

fn lists(values: &Values, size: &Size) -> Result<Vec<Row>> {
    let list = (size.servers + size.daemons) * values.get("list_bytes_per_host")?;
    let reads = values.get("list_reads_per_reader_minute")? / 60.0;
    let bytes = values.get("budget_control_bytes")?;
    Ok(vec![
        Row::new("the host list", list / MB, "MB", "daemon::platform::client")
            .within(values.get("platform_body_limit_mb")?),
        Row::new(
            "host lists, a reader",
            reads * list,
            "B/s",
            "daemon::platform::hosts",
        )
        .within(bytes),
    ])
}
