//! Dividing the requests of a route among services by weight.
//!
//! Smooth weighted round robin: each request adds its weight to each part's credit, the part with
//! the most credit takes the request and pays the sum of all weights. After any number of requests
//! a part is off its share by less than one request, where choosing at random would be off by
//! several per cent in a few hundred. Room plays no part: what does not fit where it belongs is
//! refused there, or the weights would mean nothing under load.

use super::table::WeightedTarget;

/// Credits of the parts of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<f64>,
}

impl Split {
    /// Returns the index of the part that takes the next request, `None` where no part has weight.
    pub fn next(&mut self, parts: &[WeightedTarget]) -> Option<usize> {
        self.credits.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight;
        }
        let most = |a: &usize, b: &usize| self.credits[*a].total_cmp(&self.credits[*b]);
        let weighted = (0..parts.len()).filter(|index| parts[*index].weight > 0.0);
        let next = weighted.max_by(most)?;
        self.credits[next] -= total;
        Some(next)
    }
}
