//! Metrics that are read on each scrape: CPU time of the process, and traffic between daemons.

use super::registrar::Registrar;
use monsoonring_wire::meter::Meter;
use nix::sys::resource::{UsageWho, getrusage};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Unit;
use std::fmt;

const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;

pub(super) fn register(registrar: &mut Registrar, peer_bytes: Meter) {
    registrar.collect(&["process_cpu_seconds"], Box::new(ProcessorTime));
    let names = ["peer_sent_bytes", "peer_received_bytes"];
    registrar.collect(&names, Box::new(PeerBytes(peer_bytes)));
}

/// Collects the bytes sent to and received from other daemons.
#[derive(Debug)]
struct PeerBytes(Meter);

impl Collector for PeerBytes {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let directions = [
            ("peer_sent", "Bytes sent to other daemons.", self.0.sent()),
            (
                "peer_received",
                "Bytes received from other daemons.",
                self.0.received(),
            ),
        ];
        for (name, help, bytes) in directions {
            let counter = ConstCounter::new(bytes);
            let kind = counter.metric_type();
            let metric = encoder.encode_descriptor(name, help, Some(&Unit::Bytes), kind)?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// Collects the user and system CPU time of the process.
#[derive(Debug)]
struct ProcessorTime;

impl Collector for ProcessorTime {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let usage = getrusage(UsageWho::RUSAGE_SELF).map_err(|_| fmt::Error)?;
        let counter = ConstCounter::new(seconds(usage.user_time()) + seconds(usage.system_time()));
        let metric = encoder.encode_descriptor(
            "process_cpu",
            "Processor time that the process has used.",
            Some(&Unit::Seconds),
            counter.metric_type(),
        )?;
        counter.encode(metric)
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "microseconds of one second are exact"
)]
fn seconds(time: nix::sys::time::TimeVal) -> f64 {
    time.tv_sec() as f64 + time.tv_usec() as f64 / MICROSECONDS_PER_SECOND
}
