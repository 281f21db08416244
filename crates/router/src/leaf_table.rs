use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use medlarpin_core::prelude::{FailureDomain, LeafId, ServiceName};
use medlarpin_core::routing::{
    EvacuatedDomains, LeafDirectory, LeafEntry, LinkSuspicion, StatedDepartures,
};
use parking_lot::Mutex;

use crate::event::Event;
use crate::leaf::Leaf;
use crate::unlisted_leafs::UnlistedLeafs;

/// The leafs of each service; sorted by service, without duplicates.
type ByService = Vec<(ServiceName, Vec<Arc<Leaf>>)>;

/// The published leafs, grouped by service. Readers see a consistent table without locking; each
/// change of the directory replaces the whole table.
#[derive(Debug)]
pub(crate) struct LeafTable {
    by_service: ArcSwap<ByService>,
    unlisted: Mutex<UnlistedLeafs>,
    departures: Mutex<StatedDepartures>,
    links: Mutex<LinkSuspicion>,
    /// Locked while the flags of the leafs are set from it.
    evacuations: Mutex<EvacuatedDomains>,
    /// Time for which a leaf that says it is leaving is still used if its service has no other leaf.
    drain_grace: Duration,
}

impl LeafTable {
    /// Creates an empty table.
    pub(crate) fn new(drain_grace: Duration) -> Self {
        Self {
            by_service: ArcSwap::default(),
            unlisted: Mutex::default(),
            departures: Mutex::default(),
            links: Mutex::default(),
            evacuations: Mutex::default(),
            drain_grace,
        }
    }

    /// Returns the leafs of a service.
    pub(crate) fn for_service(&self, service: &ServiceName) -> Vec<Arc<Leaf>> {
        let by_service = self.by_service.load();
        by_service
            .binary_search_by(|(name, _)| name.cmp(service))
            .map(|index| by_service[index].1.clone())
            .unwrap_or_default()
    }

    /// Returns all leafs.
    pub(crate) fn all(&self) -> Vec<Arc<Leaf>> {
        let by_service = self.by_service.load();
        by_service
            .iter()
            .flat_map(|(_, leafs)| leafs.iter().cloned())
            .collect()
    }

    /// Returns the leafs for which the condition holds, without a copy of the others.
    pub(crate) fn filter(&self, condition: impl Fn(&Leaf) -> bool) -> Vec<Arc<Leaf>> {
        let by_service = self.by_service.load();
        let leafs = by_service.iter().flat_map(|(_, leafs)| leafs);
        leafs.filter(|leaf| condition(leaf)).cloned().collect()
    }

    /// Returns the leaf with an identifier.
    pub(crate) fn find(&self, id: &LeafId) -> Option<Arc<Leaf>> {
        let by_service = self.by_service.load();
        let mut leafs = by_service.iter().flat_map(|(_, leafs)| leafs);
        leafs.find(|leaf| leaf.entry.id == *id).cloned()
    }

    /// Rebuilds the table from the directory; returns the leafs that are no longer listed although they had not
    /// said that they leave. A leaf whose address, service and process start are
    /// unchanged keeps its connections and what is known of it, also if it was not listed for a while.
    pub(crate) fn update(&self, directory: &LeafDirectory, now: Instant) -> Vec<Arc<Leaf>> {
        let mut previous = self.all();
        previous.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        let mut unlisted = self.unlisted.lock();
        let mut leafs: Vec<Arc<Leaf>> = Vec::with_capacity(directory.len());
        for (entry, published_until) in directory.leafs() {
            let usable_until = self.usable_until(entry, published_until);
            let index = previous.binary_search_by(|leaf| leaf.entry.id.cmp(&entry.id));
            let same_process = index
                .ok()
                .map(|index| &previous[index])
                .filter(|leaf| leaf.entry.is_of_same_process(entry));
            leafs.push(match same_process {
                Some(leaf) if leaf.entry == *entry && leaf.usable_until() == usable_until => {
                    Arc::clone(leaf)
                }
                Some(leaf) => Arc::new(leaf.with_entry(entry.clone(), usable_until)),
                None => Arc::new(match unlisted.take(entry) {
                    Some(leaf) => leaf.listed_again(entry.clone(), usable_until),
                    None => Leaf::new(entry.clone(), usable_until),
                }),
            });
        }
        for leaf in &leafs {
            leaf.record_published_warm_up(now);
        }
        let mut withdrawn = Vec::new();
        for leaf in previous {
            let index = leafs.binary_search_by(|listed| listed.entry.id.cmp(&leaf.entry.id));
            let is_listed =
                index.is_ok_and(|index| leafs[index].entry.is_of_same_process(&leaf.entry));
            let is_withdrawn = !is_listed || index.is_ok_and(|index| leafs[index].is_withdrawn());
            if is_withdrawn && !leaf.is_leaving() {
                withdrawn.push(Arc::clone(&leaf));
            }
            if !is_listed {
                unlisted.insert(leaf, now);
            }
        }
        drop(unlisted);
        let evacuations = self.evacuations.lock();
        set_evacuated(&leafs, &evacuations, now);
        self.store(leafs);
        drop(evacuations);
        self.check_links(now);
        withdrawn
    }

    /// Changes the evacuated failure domains, which takes effect on all leafs at once; returns the result
    /// and the number of evacuated domains.
    pub(crate) fn change_evacuations<T>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut EvacuatedDomains) -> T,
    ) -> (T, usize) {
        let mut evacuations = self.evacuations.lock();
        let result = change(&mut evacuations);
        set_evacuated(&self.all(), &evacuations, now);
        (result, evacuations.evacuations().len())
    }

    /// Calls a function with the evacuated failure domains.
    pub(crate) fn with_evacuations<T>(&self, read: impl FnOnce(&EvacuatedDomains) -> T) -> T {
        read(&self.evacuations.lock())
    }

    /// Returns true if a leaf must get no request because its failure domain is evacuated. Unlike
    /// [`Leaf::is_evacuated`], this also holds for a leaf that is no longer listed.
    pub(crate) fn is_evacuated(&self, leaf: &Leaf) -> bool {
        leaf.is_evacuated()
            || self.with_evacuations(|domains| domains.is_evacuated(&leaf.entry.failure_domain))
    }

    /// Returns the time at which a failure domain was last returned to service; `None` if this process
    /// has not seen that, or if the domain is evacuated.
    pub(crate) fn returned_at(&self, domain: &FailureDomain) -> Option<Instant> {
        self.with_evacuations(|domains| domains.returned_at(domain))
    }

    /// Returns the domains of published leafs that stay evacuated only because their keys may have been
    /// lost by a restore of the store, each with the time left; at most `max`.
    pub(crate) fn kept_evacuations(
        &self,
        max: usize,
        now: Instant,
    ) -> Vec<(FailureDomain, Duration)> {
        let mut kept: Vec<(FailureDomain, Duration)> = self.with_evacuations(|domains| {
            let kept = domains.kept(now);
            kept.map(|(domain, left)| (domain.clone(), left)).collect()
        });
        if kept.is_empty() {
            return kept;
        }
        let mut named: Vec<FailureDomain> = self
            .all()
            .iter()
            .map(|leaf| leaf.entry.failure_domain.clone())
            .collect();
        named.sort_unstable();
        kept.retain(|(domain, _)| named.binary_search(domain).is_ok());
        kept.truncate(max);
        kept
    }

    /// Lets the leafs that have not answered lately be probed before they get requests, if the links of
    /// this VM have probably failed.
    pub(crate) fn check_links(&self, now: Instant) {
        let leafs = self.filter(|leaf| leaf.is_usable(now));
        let is_unreachable = |leaf: &&Arc<Leaf>| leaf.load().unreachable().is_some();
        let unreachable = leafs.iter().filter(is_unreachable).count();
        let is_reachable = |leaf: &&Arc<Leaf>| {
            let load = leaf.load();
            load.unreachable().is_none() && load.has_been_heard()
        };
        let reachable = leafs.iter().filter(is_reachable).count();
        let mut links = self.links.lock();
        let was_suspect = links.is_suspect();
        let suspicion = links.observe(unreachable, reachable, now);
        drop(links);
        match (was_suspect, suspicion.is_some()) {
            (false, true) => Event::LinksSuspect {
                unreachable,
                reachable,
            }
            .log(),
            (true, false) => Event::LinksTrusted {
                unreachable,
                reachable,
            }
            .log(),
            (true, true) | (false, false) => {}
        }
        if let Some(unheard_since) = suspicion {
            for leaf in leafs {
                leaf.load().suspect_unless_heard_since(unheard_since);
            }
        }
    }

    /// Returns the runs of leafs that have said since then that they are leaving, the latest first.
    pub(crate) fn departures_since(&self, at: Instant, max: usize) -> Vec<LeafId> {
        self.departures.lock().since(at, max)
    }

    /// Records that a run of a leaf has said that it is leaving; returns true if that is news.
    pub(crate) fn record_departure(&self, run: &LeafId, now: Instant) -> bool {
        if !self.departures.lock().record(run, now) {
            return false;
        }
        let leafs = self.all().into_iter().map(|known| {
            if known.entry.run_id() != *run {
                return known;
            }
            let usable_until = self.usable_until(&known.entry, known.usable_until());
            Arc::new(known.with_entry(known.entry.clone(), usable_until))
        });
        self.store(leafs.collect());
        true
    }

    /// Returns the time until which a leaf gets requests, from what is published and what it has said
    /// itself; `None` unless it is leaving.
    fn usable_until(&self, entry: &LeafEntry, published_until: Option<Instant>) -> Option<Instant> {
        let stated_at = self.departures.lock().stated_at(&entry.run_id());
        let stated_until = stated_at.map(|at| at + self.drain_grace);
        match (published_until, stated_until) {
            (Some(published), Some(stated)) => Some(published.min(stated)),
            (published, stated) => published.or(stated),
        }
    }

    fn store(&self, mut leafs: Vec<Arc<Leaf>>) {
        leafs.sort_by(|a, b| a.entry.service.cmp(&b.entry.service));
        let mut by_service: ByService = Vec::new();
        for leaf in leafs {
            match by_service.last_mut() {
                Some((service, group)) if *service == leaf.entry.service => group.push(leaf),
                _ => by_service.push((leaf.entry.service.clone(), vec![leaf])),
            }
        }
        self.by_service.store(Arc::new(by_service));
    }

    /// Closes the half of the idle connections that have been idle for the longest time.
    pub(crate) fn close_longest_idle(&self) {
        let leafs = self.all();
        let mut times = Vec::new();
        for leaf in &leafs {
            leaf.collect_idle_since(&mut times);
        }
        if times.is_empty() {
            return;
        }
        let middle = times.len() / 2;
        let (_, at, _) = times.select_nth_unstable(middle);
        for leaf in leafs {
            leaf.close_idle_since(*at);
        }
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub(crate) fn close_expired_idle(&self, now: Instant) {
        for leaf in self.all() {
            leaf.close_expired_idle(now);
        }
    }
}

fn set_evacuated(leafs: &[Arc<Leaf>], evacuations: &EvacuatedDomains, now: Instant) {
    for leaf in leafs {
        let is_evacuated = evacuations.is_evacuated(&leaf.entry.failure_domain);
        leaf.set_evacuated(is_evacuated, now);
    }
}
