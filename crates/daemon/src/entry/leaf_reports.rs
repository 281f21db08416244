//! Reports of gatherers about leafs, each valid for a limited time.

use medlarpin_core::prelude::*;

/// Maximum number of reports. At this size expired reports are evicted, and if none has expired,
/// all of them: relearning a report costs one leaf request.
const REPORTS_MAX: usize = 16 * 1024;

#[derive(Debug)]
struct Report<K> {
    service: ServiceName,
    leaf: LeafId,
    key: K,
    expires_at: Instant,
}

/// Reports about leafs, collected from the replies of all gatherers and identified by service, leaf
/// and a key.
#[derive(Debug)]
pub struct LeafReports<K> {
    /// Time for which a report is valid.
    lifetime: Duration,
    /// Sorted by service, leaf and key.
    reports: Vec<Report<K>>,
}

impl<K: Copy + Ord> LeafReports<K> {
    /// Creates an empty table of reports that are valid for `lifetime`.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            reports: Vec::new(),
        }
    }

    /// Records a report, or extends the validity of the same report.
    pub fn insert(&mut self, service: &ServiceName, leaf: &LeafId, key: K, now: Instant) {
        let expires_at = now + self.lifetime;
        self.evict_if_full(now);
        match self.find(service, leaf, key) {
            Ok(index) => self.reports[index].expires_at = expires_at,
            Err(index) => {
                let report = Report {
                    service: service.clone(),
                    leaf: leaf.clone(),
                    key,
                    expires_at,
                };
                self.reports.insert(index, report);
            }
        }
    }

    /// Returns true if there is a valid report with the key.
    #[must_use]
    pub fn contains(&self, service: &ServiceName, leaf: &LeafId, key: K, now: Instant) -> bool {
        self.find(service, leaf, key)
            .is_ok_and(|index| self.reports[index].expires_at > now)
    }

    fn find(&self, service: &ServiceName, leaf: &LeafId, key: K) -> Result<usize, usize> {
        let key = (service, leaf, key);
        self.reports
            .binary_search_by(|report| (&report.service, &report.leaf, report.key).cmp(&key))
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.reports.len() >= REPORTS_MAX {
            self.reports.retain(|report| report.expires_at > now);
        }
        if self.reports.len() >= REPORTS_MAX {
            self.reports.clear();
        }
    }
}
