//! Cost of membership, facts and gossip at every daemon.

use super::row::{Row, Section};
use super::size::{MB, MICROS, PERCENT, Size};
use super::values::{Result, Values};

/// Ticks of the control task per second.
const TICKS_PER_SECOND: f64 = 20.0;
/// Messages that the control task receives per second: a probe, and the answer to its own probe.
const MESSAGES_PER_SECOND: f64 = 2.0;
/// Each daemon sends a change this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Number of daemons in the measurement of gossip latency.
const MEASURED_DAEMONS: f64 = 64.0;

pub(super) fn section(values: &Values) -> Result<Section> {
    let size = Size::of(values)?;
    let mut rows = traffic(values, &size)?;
    rows.extend(processor(values, &size)?);
    rows.extend(memory(values, &size)?);
    rows.extend(spread(values, &size)?);
    Ok(Section {
        title: "Member",
        prose: "Every daemon. One probe a second to one member, changes and facts carried on probes \
            and answers. Traffic is that of 64 real daemons, plus what the state machine alone \
            sends more at 3,800, plus the day's changes of members.",
        rows,
    })
}

fn traffic(values: &Values, size: &Size) -> Result<Vec<Row>> {
    let growth = values.get("table_bytes_3800")? - values.get("table_bytes_64")?;
    let idle = values.get("control_bytes_64")? + growth.max(0.0);
    let copies = RETRANSMIT_FACTOR * size.daemons.log2().ceil();
    let relayed = size.churn * copies;
    let change = values.get("change_bytes")?;
    // Count sent and received bytes.
    let churn = 2.0 * relayed * change;
    let max_relayed = MESSAGES_PER_SECOND * values.get("message_bytes")? / change;
    let budget = values.get("budget_control_bytes")?;
    Ok(vec![
        Row::new("bytes at rest", idle, "B/s", "decision::member").within(budget),
        Row::new("changes of members", size.churn, "/s", "decision::member"),
        Row::new("bytes for these", churn, "B/s", "decision::broadcast").within(budget),
        Row::new("both together", idle + churn, "B/s", "decision::member").within(budget),
        Row::new("changes to pass on", relayed, "/s", "decision::broadcast").within(max_relayed),
    ])
}

fn processor(values: &Values, size: &Size) -> Result<Vec<Row>> {
    let view_time = (TICKS_PER_SECOND + MESSAGES_PER_SECOND) * values.get("view_us_3800")?;
    let table = values.get("table_us_3800")?;
    let affected = size.routes * values.get("concern_us_3800")?;
    // A change of a member affects one route per home role of the member.
    let select = size.roles * values.get("select_us_3800")?;
    let rebuild = values.get("list_us_3800")? + values.get("reader_us_3800")?;
    let change = rebuild + values.get("compare_us_3800")? + affected + select;
    let calls = values.get("control_processor_percent_64")?;
    let (table, view_time) = (table / MICROS * PERCENT, view_time / MICROS * PERCENT);
    let changes = size.churn * change / MICROS * PERCENT;
    let budget = values.get("budget_control_percent")?;
    Ok(vec![
        Row::new(
            "processor: calls, ticks, tasks",
            calls,
            "% of a core",
            "daemon::control",
        )
        .within(budget),
        Row::new(
            "processor: the table",
            table,
            "% of a core",
            "decision::member",
        )
        .within(budget),
        Row::new(
            "processor: the view, renewed",
            view_time,
            "% of a core",
            "daemon::control::view",
        )
        .within(budget),
        Row::new(
            "processor: homes chosen anew",
            changes,
            "% of a core",
            "daemon::node::routes",
        )
        .within(budget),
        Row::new(
            "all together",
            calls + table + view_time + changes,
            "% of a core",
            "daemon::control",
        )
        .within(budget),
    ])
}

fn memory(values: &Values, size: &Size) -> Result<Vec<Row>> {
    let records = size.daemons * values.get("member_bytes")?;
    let facts = values.get("fact_capacity")? * values.get("fact_bytes")?;
    // Eventually there is one stream to and one from each member.
    let open = 2.0 * size.daemons;
    let streams = open * values.get("resident_bytes_per_peer_stream")?;
    let base = values.get("resident_mb_base")? * MB;
    let ledger = values.get("ledger_capacity")? * values.get("ledger_bytes")?;
    let budget = values.get("budget_memory_mb")?;
    let all = records + facts + streams + base + ledger;
    Ok(vec![
        Row::new("memory: members", records / MB, "MB", "decision::member").within(budget),
        Row::new(
            "memory: facts, all places taken",
            facts / MB,
            "MB",
            "decision::fact",
        )
        .within(budget),
        Row::new(
            "memory: streams to peers",
            streams / MB,
            "MB",
            "daemon::peer::pool",
        )
        .within(budget),
        Row::new(
            "memory: ledger, all places taken",
            ledger / MB,
            "MB",
            "decision::idempotency",
        )
        .within(budget),
        Row::new("memory: with an idle daemon's", all / MB, "MB", "daemon").within(budget),
    ])
}

fn spread(values: &Values, size: &Size) -> Result<Vec<Row>> {
    // The number of gossip rounds grows with the logarithm of the number of members.
    let rounds = size.daemons.log2() / MEASURED_DAEMONS.log2();
    let worst = |name| Ok(values.get(name)? * rounds);
    let budget = values.get("budget_in_force_s")?;
    Ok(vec![
        Row::new(
            "a configuration everywhere",
            worst("configuration_worst_s_64")?,
            "s",
            "decision::configuration",
        )
        .within(budget),
        Row::new(
            "a leaving mark everywhere",
            worst("leaving_worst_s_64")?,
            "s",
            "decision::fact",
        )
        .within(budget),
        Row::new(
            "a suspect everywhere",
            worst("suspect_worst_s_64")?,
            "s",
            "decision::fact",
        )
        .within(budget),
    ])
}
