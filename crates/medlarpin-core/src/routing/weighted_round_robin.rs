use super::WeightedService;

/// Distributes requests among services in the proportion of their weights.
///
/// Smooth weighted round-robin: the shares hold over every short run of requests, not only on
/// average as with random choice.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each service, in the order of the route's services; their sum is 0.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next request's service; `None` if no weight is above 0.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let total: i64 = services.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(part.weight);
        }
        let chosen = (0..services.len())
            .filter(|index| services[*index].weight > 0)
            .max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
