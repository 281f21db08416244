//! Evacuated failure domains: applies what the store and other daemons tell of them.

use std::time::{Duration, Instant};

use medlarpin_core::prelude::FailureDomain;
use medlarpin_core::routing::{EvacuatedDomains, EvacuationChanges, StoreRevision};
use platform::InvalidEvacuations;
use wire::peer_capnp::kept_evacuation;

use crate::event::Event;
use crate::leaf_table::LeafTable;
use crate::metrics::Metrics;

#[cfg(test)]
mod tests;

/// Maximum number of names in a log line.
const NAMES_MAX: usize = 8;
/// Maximum number of domains in an exchange with another daemon, many times those of a site.
pub(crate) const KEPT_MAX: usize = 256;

/// A change of the key of one failure domain.
#[derive(Debug, Clone)]
pub(crate) struct KeyChange {
    pub(crate) domain: FailureDomain,
    /// False if the key was deleted.
    pub(crate) is_evacuated: bool,
}

/// Applies changes of keys, oldest first.
pub(crate) fn apply_changes(
    leafs: &LeafTable,
    metrics: &Metrics,
    keys: &[KeyChange],
    revision: StoreRevision,
    now: Instant,
) {
    if keys.is_empty() {
        return;
    }
    apply(leafs, metrics, revision, now, |domains| {
        let mut changes = EvacuationChanges::default();
        for key in keys {
            let domain = &key.domain;
            if key.is_evacuated {
                if domains.evacuate(domain, revision, now) {
                    changes.evacuated.push(domain.clone());
                }
            } else if domains.return_to_service(domain, now) {
                changes.returned.push(domain.clone());
            }
        }
        changes
    });
}

/// Applies a list of all keys.
pub(crate) fn replace_all(
    leafs: &LeafTable,
    metrics: &Metrics,
    keys: Vec<KeyChange>,
    revision: StoreRevision,
    now: Instant,
) {
    let listed = keys.into_iter().map(|key| key.domain).collect();
    apply(leafs, metrics, revision, now, |domains| {
        domains.replace_all(listed, revision, now)
    });
}

/// Returns to service the domains whose keys a restore of the store has removed for good.
pub(crate) fn expire(leafs: &LeafTable, metrics: &Metrics, revision: StoreRevision, now: Instant) {
    if !leafs.with_evacuations(|domains| domains.is_expiry_due(now)) {
        return;
    }
    apply(leafs, metrics, revision, now, |domains| EvacuationChanges {
        evacuated: Vec::new(),
        returned: domains.expire(now),
    });
}

/// Learns from another daemon of domains that stay evacuated for a while after a restore of the store.
pub(crate) fn learn_kept(
    leafs: &LeafTable,
    metrics: &Metrics,
    kept: capnp::struct_list::Reader<'_, kept_evacuation::Owned>,
    revision: StoreRevision,
    now: Instant,
) -> Result<(), capnp::Error> {
    let mut news: Vec<(FailureDomain, Duration)> = Vec::new();
    for entry in kept.iter().take(KEPT_MAX) {
        let domain = FailureDomain::new(entry.get_failure_domain()?.to_str()?);
        news.push((
            domain,
            Duration::from_millis(entry.get_time_left_ms().into()),
        ));
    }
    if news.is_empty() {
        return Ok(());
    }
    apply(leafs, metrics, revision, now, |domains| {
        news.retain(|(domain, left)| domains.keep(domain, *left, revision, now));
        EvacuationChanges {
            evacuated: news.into_iter().map(|(domain, _)| domain).collect(),
            returned: Vec::new(),
        }
    });
    Ok(())
}

/// Encodes the domains that stay evacuated for a while after a restore of the store.
pub(crate) fn write_kept(
    kept: &[(FailureDomain, Duration)],
    mut list: capnp::struct_list::Builder<'_, kept_evacuation::Owned>,
) {
    for (index, (domain, left)) in (0..).zip(kept) {
        let mut entry = list.reborrow().get(index);
        entry.set_failure_domain(domain.as_str());
        entry.set_time_left_ms(u32::try_from(left.as_millis()).unwrap_or(u32::MAX));
    }
}

/// Logs and counts the invalid keys of a read of the store.
pub(crate) fn record_invalid(
    metrics: &Metrics,
    invalid: &InvalidEvacuations,
    revision: StoreRevision,
) {
    if invalid.count == 0 {
        return;
    }
    metrics.evacuation.invalid_keys.inc_by(invalid.count as u64);
    Event::EvacuationsInvalid {
        count: invalid.count,
        first: &invalid.first,
        revision: revision.number,
    }
    .log();
}

/// Changes the evacuated domains, and logs what has changed with one line for each direction.
fn apply(
    leafs: &LeafTable,
    metrics: &Metrics,
    revision: StoreRevision,
    now: Instant,
    change: impl FnOnce(&mut EvacuatedDomains) -> EvacuationChanges,
) {
    let (changes, count) = leafs.change_evacuations(now, change);
    if changes.is_empty() {
        return;
    }
    let gauge = i64::try_from(count).unwrap_or(i64::MAX);
    metrics.evacuation.domains.set(gauge);
    let revision = revision.number;
    if !changes.evacuated.is_empty() {
        Event::DomainsEvacuated {
            failure_domains: &names(&changes.evacuated),
            count: changes.evacuated.len(),
            revision,
        }
        .log();
    }
    if !changes.returned.is_empty() {
        Event::DomainsReturned {
            failure_domains: &names(&changes.returned),
            count: changes.returned.len(),
            revision,
        }
        .log();
    }
}

fn names(domains: &[FailureDomain]) -> Vec<&str> {
    let domains = domains.iter().take(NAMES_MAX);
    domains.map(FailureDomain::as_str).collect()
}
