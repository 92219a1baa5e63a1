//! Faults, as they begin and end.

use super::{Next, World};
use crate::simulation::day::Fault;
use rand::Rng;
use rand::seq::SliceRandom;

impl World<'_> {
    pub(super) fn spell(&mut self, number: usize, begins: bool) {
        let fault = self.day.spells[number].fault;
        if begins {
            let chosen = self.choose(fault);
            self.chosen.insert(number, chosen);
        }
        for server in self.chosen.get(&number).cloned().unwrap_or_default() {
            self.strike(server, fault, begins);
        }
        if let Fault::Burst(factor) = fault {
            self.burst = if begins { factor } else { 1.0 };
        }
    }

    pub(super) fn choose(&mut self, fault: Fault) -> Vec<usize> {
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

    pub(super) fn strike(&mut self, number: usize, fault: Fault, begins: bool) {
        let server = &mut self.servers[number];
        match fault {
            Fault::Slow { factor, .. } => server.slow = if begins { factor } else { 1.0 },
            Fault::Refusing { chance, .. } => server.refusing = if begins { chance } else { 0.0 },
            Fault::Failing { chance, .. } => server.failing = if begins { chance } else { 0.0 },
            Fault::Down { .. } | Fault::ShardDown if !begins => server.down = false,
            Fault::Down { .. } | Fault::ShardDown => {
                for line in self.servers[number].crash() {
                    let at = self.now + self.delay(line.host, self.stand[number]);
                    self.timeline.add(at, Next::Ended(line));
                }
            }
            Fault::Burst(_) => {}
        }
    }
}
