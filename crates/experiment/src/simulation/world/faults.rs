//! Starts and ends faults.

use super::{ScheduledEvent, World};
use crate::simulation::day::Fault;
use rand::Rng;
use rand::seq::SliceRandom;

impl World<'_> {
    pub(super) fn change_fault(&mut self, number: usize, starts: bool) {
        let fault = self.day.faults[number].fault;
        if starts {
            let affected = self.select_servers(fault);
            self.affected.insert(number, affected);
        }
        for server in self.affected.get(&number).cloned().unwrap_or_default() {
            self.change_server(server, fault, starts);
        }
        if let Fault::Burst(factor) = fault {
            self.burst = if starts { factor } else { 1.0 };
        }
    }

    pub(super) fn select_servers(&mut self, fault: Fault) -> Vec<usize> {
        let pool = &self.site.pools[0];
        let mut all: Vec<usize> = (0..pool.shards * pool.replicas).collect();
        match fault {
            Fault::Slow { share, .. }
            | Fault::Down { share }
            | Fault::Refusing { share, .. }
            | Fault::Failing { share, .. } => {
                all.shuffle(&mut self.rng);
                all.truncate((share * all.len() as f64).round() as usize);
                all
            }
            Fault::ShardDown => {
                let shard = self.rng.random_range(0..pool.shards);
                let first = shard * pool.replicas;
                (first..first + pool.replicas).collect()
            }
            Fault::Burst(_) => Vec::new(),
        }
    }

    pub(super) fn change_server(&mut self, number: usize, fault: Fault, starts: bool) {
        let server = &mut self.servers[number];
        match fault {
            Fault::Slow { factor, .. } => server.slowdown = if starts { factor } else { 1.0 },
            Fault::Refusing { chance, .. } => {
                server.refusal_rate = if starts { chance } else { 0.0 }
            }
            Fault::Failing { chance, .. } => {
                server.failure_rate = if starts { chance } else { 0.0 }
            }
            Fault::Down { .. } | Fault::ShardDown if !starts => server.down = false,
            Fault::Down { .. } | Fault::ShardDown => {
                for key in self.servers[number].crash() {
                    let at = self.now + self.delay(key.host, self.server_data_centres[number]);
                    self.timeline.add(at, ScheduledEvent::ConnectionClosed(key));
                }
            }
            Fault::Burst(_) => {}
        }
    }
}
