//! What gatherers report about leafs, for a limited time.

use medlarpin_core::prelude::*;

/// Most reports kept; above it the oldest are dropped and learned again at the cost of a request.
const REPORTS_MAX: usize = 16 * 1024;

#[derive(Debug)]
struct Report<K> {
    service: ServiceName,
    leaf: LeafId,
    key: K,
    until: Instant,
}

/// Reports about leafs from the replies of all gatherers, each with a key of its own.
#[derive(Debug)]
pub struct LeafReports<K> {
    /// Time for which a report counts.
    lifetime: Duration,
    /// Sorted by service, leaf and key.
    reports: Vec<Report<K>>,
}

impl<K: Copy + Ord> LeafReports<K> {
    /// Creates an empty table of reports that count for a time.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            reports: Vec::new(),
        }
    }

    /// Records a report.
    pub fn insert(&mut self, service: &ServiceName, leaf: &LeafId, key: K, now: Instant) {
        let until = now + self.lifetime;
        self.make_room(now);
        match self.find(service, leaf, key) {
            Ok(index) => self.reports[index].until = until,
            Err(index) => {
                let report = Report {
                    service: service.clone(),
                    leaf: leaf.clone(),
                    key,
                    until,
                };
                self.reports.insert(index, report);
            }
        }
    }

    /// Returns true if a report with the key counts.
    #[must_use]
    pub fn contains(&self, service: &ServiceName, leaf: &LeafId, key: K, now: Instant) -> bool {
        self.find(service, leaf, key)
            .is_ok_and(|index| self.reports[index].until > now)
    }

    fn find(&self, service: &ServiceName, leaf: &LeafId, key: K) -> Result<usize, usize> {
        let key = (service, leaf, key);
        self.reports
            .binary_search_by(|report| (&report.service, &report.leaf, report.key).cmp(&key))
    }

    fn make_room(&mut self, now: Instant) {
        if self.reports.len() >= REPORTS_MAX {
            self.reports.retain(|report| report.until > now);
        }
        if self.reports.len() >= REPORTS_MAX {
            self.reports.clear();
        }
    }
}
