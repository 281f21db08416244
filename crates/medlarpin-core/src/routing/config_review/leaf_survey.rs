use super::unmatched_entries::{can_match, used_services};
use super::{ConfigDraft, ConfigField, ConfigPart, Findings, Problem, ShortName};
use crate::ids::{FailureDomain, ServiceName};
use crate::routing::gather_policy::shards_needed;
use crate::routing::{LeafEntry, LeafPhase, RouteTarget};

/// The leafs of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLeafs {
    /// The service.
    pub service: ServiceName,
    /// Leafs that take requests.
    pub ready: usize,
    /// Leafs outside of evacuated failure domains that are leaving.
    pub leaving: usize,
    /// Leafs in evacuated failure domains.
    pub evacuated: usize,
}

/// The published leafs by service, with the failure domains that are to be evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeafSurvey {
    /// Sorted by service, without duplicates.
    services: Vec<ServiceLeafs>,
    /// Evacuated failure domains that no leaf is in, sorted.
    unknown_domains: Vec<FailureDomain>,
}

impl LeafSurvey {
    /// Counts leafs by service.
    #[must_use]
    pub fn new(leafs: &[LeafEntry], evacuated: &[FailureDomain]) -> Self {
        let mut domains: Vec<(&FailureDomain, bool)> =
            evacuated.iter().map(|domain| (domain, false)).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut by_service: Vec<&LeafEntry> = leafs.iter().collect();
        by_service.sort_by(|a, b| a.service.cmp(&b.service));
        let mut services = Vec::new();
        for same in by_service.chunk_by(|a, b| a.service == b.service) {
            let mut counts = ServiceLeafs {
                service: same[0].service.clone(),
                ready: 0,
                leaving: 0,
                evacuated: 0,
            };
            for leaf in same {
                let found = domains.binary_search_by(|(name, _)| (*name).cmp(&leaf.failure_domain));
                match (found, leaf.phase) {
                    (Ok(index), _) => {
                        domains[index].1 = true;
                        counts.evacuated += 1;
                    }
                    (Err(_), LeafPhase::Ready) => counts.ready += 1,
                    (Err(_), LeafPhase::Draining) => counts.leaving += 1,
                }
            }
            services.push(counts);
        }
        let unknown = domains.into_iter().filter(|(_, is_known)| !is_known);
        Self {
            services,
            unknown_domains: unknown.map(|(domain, _)| domain.clone()).collect(),
        }
    }

    /// Returns the leafs of a service; `None` if it has none.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceLeafs> {
        let index = self
            .services
            .binary_search_by(|known| known.service.cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// Finds services without a usable leaf, and routes whose queries cannot reach their coverage.
    pub(super) fn find(&self, draft: &ConfigDraft, findings: &mut Findings) {
        for domain in &self.unknown_domains {
            let domain = ShortName::new(domain.as_str());
            findings.add(
                ConfigPart::Whole,
                None,
                Problem::UnknownFailureDomain { domain },
            );
        }
        for service in used_services(draft) {
            if let Some(problem) = self.service_problem(&service) {
                findings.add(ConfigPart::service(service.as_str()), None, problem);
            }
        }
        for route in draft.config.routes.routes() {
            let RouteTarget::Scatter(scatter) = &route.target else {
                continue;
            };
            let shards = scatter.shards.len();
            let needed = shards_needed(shards, scatter.coverage_min);
            let served = scatter.shards.iter().filter(|shard| self.is_served(shard));
            let served = served.count();
            if served < needed && can_match(route, &draft.config.limits) {
                findings.add(
                    ConfigPart::route(&route.name),
                    Some(ConfigField::Shards),
                    Problem::CoverageLost {
                        served,
                        shards,
                        needed,
                    },
                );
            }
        }
    }

    /// Returns true if a leaf of the service gets requests; one that is leaving is a last resort.
    fn is_served(&self, service: &ServiceName) -> bool {
        self.service(service)
            .is_some_and(|leafs| leafs.ready + leafs.leaving > 0)
    }

    fn service_problem(&self, service: &ServiceName) -> Option<Problem> {
        match self.service(service) {
            None => Some(Problem::NoLeaf),
            Some(leafs) if leafs.ready > 0 => None,
            Some(leafs) if leafs.leaving > 0 => Some(Problem::OnlyLeavingLeafs {
                leafs: leafs.leaving,
            }),
            Some(leafs) => Some(Problem::AllLeafsEvacuated {
                leafs: leafs.evacuated,
            }),
        }
    }
}
