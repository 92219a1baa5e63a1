//! Weighted distribution of a route's requests over services.
//!
//! Uses smooth weighted round robin: each request adds every part's weight to its credit; the part
//! with the most credit takes the request and pays the sum of the weights. A part deviates from its
//! share by less than one request, while random choice deviates by several per cent over a few
//! hundred requests. Free capacity is ignored: a request is refused if the chosen service has none,
//! so that the configured weights also hold under load.

use super::table::WeightedTarget;

/// Credits of the parts of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<f64>,
}

impl Split {
    /// Returns the index of the part that takes the next request, or `None` if no part has weight.
    pub fn next(&mut self, parts: &[WeightedTarget]) -> Option<usize> {
        self.credits.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight;
        }
        let by_credit = |a: &usize, b: &usize| self.credits[*a].total_cmp(&self.credits[*b]);
        let weighted = (0..parts.len()).filter(|index| parts[*index].weight > 0.0);
        let next = weighted.max_by(by_credit)?;
        self.credits[next] -= total;
        Some(next)
    }
}
