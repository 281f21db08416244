//! Leases that this daemon holds as the borrower.

use std::time::{Duration, Instant};

use super::LEASE_DURATION;
use crate::ids::VmName;

/// Initial backoff after a reply that lends nothing.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum number of times that the backoff doubles, up to 640 ms.
///
/// A team above its limit cannot borrow from any daemon, and its requests must not dominate the
/// control traffic.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
struct HeldLease {
    lender: VmName,
    units: u64,
    /// Expiry: the units must not be used from this time on.
    until: Instant,
}

/// Units borrowed from other daemons.
#[derive(Debug, Clone, Default)]
pub(super) struct Leases {
    /// Sorted by lender.
    held: Vec<HeldLease>,
    /// Lenders in backoff and the time when each may be asked again, sorted by name.
    backing_off: Vec<(VmName, Instant)>,
    /// Earliest time of the next request; `None` if there is no restriction.
    next_request: Option<Instant>,
    /// Number of consecutive replies that lent nothing.
    empty_replies: u32,
}

impl Leases {
    pub(super) fn add(&mut self, lender: &VmName, units: u64, until: Instant) {
        self.held
            .retain(|lease| lease.lender != *lender || lease.units > units || lease.until > until);
        let index = self.held.partition_point(|lease| lease.lender < *lender);
        let lease = HeldLease {
            lender: lender.clone(),
            units,
            until,
        };
        self.held.insert(index, lease);
    }

    /// Returns the borrowed units whose leases last beyond `until`.
    pub(super) fn units_until(&self, until: Instant) -> u64 {
        self.by_lender()
            .map(|leases| units_of_lender(leases, until))
            .sum()
    }

    pub(super) fn units_from(&self, lender: &VmName, until: Instant) -> u64 {
        let mut from_lender = self
            .by_lender()
            .filter(|leases| leases.first().is_some_and(|lease| lease.lender == *lender));
        from_lender
            .next()
            .map_or(0, |leases| units_of_lender(leases, until))
    }

    /// Returns true if a lease from the lender expires between the two times.
    pub(super) fn expires_between(&self, lender: &VmName, from: Instant, to: Instant) -> bool {
        self.units_from(lender, from) > self.units_from(lender, to)
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.held.retain(|lease| now < lease.until);
        self.backing_off.retain(|(_, until)| now < *until);
    }

    pub(super) fn may_ask(&self, now: Instant) -> bool {
        self.next_request.is_none_or(|until| now >= until)
    }

    pub(super) fn is_backing_off(&self, lender: &VmName, now: Instant) -> bool {
        let found = self
            .backing_off
            .binary_search_by(|(name, _)| name.cmp(lender));
        let entry = found.ok().and_then(|index| self.backing_off.get(index));
        entry.is_some_and(|(_, until)| now < *until)
    }

    /// Records a request to a lender; no other request is sent before a reply or the timeout.
    pub(super) fn record_request(&mut self, lender: &VmName, timeout: Duration, now: Instant) {
        self.next_request = Some(now + timeout);
        self.back_off(lender, now + timeout);
    }

    /// Records a reply. The delay until the next request doubles with each consecutive empty reply.
    pub(super) fn record_reply(&mut self, lender: &VmName, units: u64, now: Instant) {
        if units > 0 {
            self.empty_replies = 0;
            self.next_request = None;
            return;
        }
        let backoff = MIN_BACKOFF * (1 << self.empty_replies.min(MAX_BACKOFF_DOUBLINGS));
        self.empty_replies = self.empty_replies.saturating_add(1);
        self.next_request = Some(now + backoff);
        self.back_off(lender, now + LEASE_DURATION);
    }

    fn back_off(&mut self, lender: &VmName, until: Instant) {
        match self
            .backing_off
            .binary_search_by(|(name, _)| name.cmp(lender))
        {
            Ok(index) => self.backing_off[index].1 = until,
            Err(index) => self.backing_off.insert(index, (lender.clone(), until)),
        }
    }

    fn by_lender(&self) -> impl Iterator<Item = &[HeldLease]> {
        self.held.chunk_by(|a, b| a.lender == b.lender)
    }
}

/// Returns the units of one lender's leases that last beyond `until`.
///
/// The leases of one lender cover the same units, so the largest counts.
fn units_of_lender(leases: &[HeldLease], until: Instant) -> u64 {
    let lasting = leases.iter().filter(|lease| until < lease.until);
    lasting.map(|lease| lease.units).max().unwrap_or(0)
}
