use super::WeightedService;

/// Smooth weighted round-robin over the services of a route.
///
/// Each service's share of the requests matches its weight even over short runs of requests, unlike
/// with a random choice.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    /// Current weight of each service, in the order of the route's services; the sum is 0.
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next request's service; `None` if no weight is above 0.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        if self.current_weights.len() != services.len() {
            self.current_weights = vec![0; services.len()];
        }
        let total: i64 = services
            .iter()
            .map(|weighted| i64::from(weighted.weight))
            .sum();
        if total == 0 {
            return None;
        }
        for (current, weighted) in self.current_weights.iter_mut().zip(services) {
            *current += i64::from(weighted.weight);
        }
        let chosen = (0..services.len())
            .filter(|index| services[*index].weight > 0)
            .max_by_key(|index| self.current_weights[*index])?;
        self.current_weights[chosen] -= total;
        Some(chosen)
    }
}
