//! Leafs that no longer hold an index version.

use medlarpin_core::prelude::*;

/// Time for which a leaf's report counts; a leaf may load a version again.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Most reports kept; above it the oldest are dropped and learned again at the cost of a request.
const REPORTS_MAX: usize = 16 * 1024;

#[derive(Debug)]
struct Report {
    service: ServiceName,
    leaf: LeafId,
    version: IndexVersion,
    until: Instant,
}

/// Reports of leafs that dropped a version, from the replies of all gatherers.
#[derive(Debug, Default)]
pub struct GoneVersions {
    /// Sorted by service, leaf and version.
    reports: Vec<Report>,
}

impl GoneVersions {
    /// Records a report.
    pub fn insert(
        &mut self,
        service: &ServiceName,
        leaf: &LeafId,
        version: IndexVersion,
        now: Instant,
    ) {
        let until = now + REPORT_LIFETIME;
        self.make_room(now);
        match self.find(service, leaf, version) {
            Ok(index) => self.reports[index].until = until,
            Err(index) => {
                let report = Report {
                    service: service.clone(),
                    leaf: leaf.clone(),
                    version,
                    until,
                };
                self.reports.insert(index, report);
            }
        }
    }

    /// Returns true if the leaf reported the version as gone a short time ago.
    #[must_use]
    pub fn contains(
        &self,
        service: &ServiceName,
        leaf: &LeafId,
        version: IndexVersion,
        now: Instant,
    ) -> bool {
        self.find(service, leaf, version)
            .is_ok_and(|index| self.reports[index].until > now)
    }

    fn find(
        &self,
        service: &ServiceName,
        leaf: &LeafId,
        version: IndexVersion,
    ) -> Result<usize, usize> {
        let key = (service, leaf, version);
        self.reports
            .binary_search_by(|report| (&report.service, &report.leaf, report.version).cmp(&key))
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
