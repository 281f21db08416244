//! The borrower's side of leases.

use std::time::{Duration, Instant};

use super::LEASE_DURATION;
use crate::ids::VmName;

/// First pause after a reply that lent nothing.
const PAUSE_MIN: Duration = Duration::from_millis(10);
/// Doublings of the pause, up to 640 ms. A team above its limit finds nothing to borrow anywhere,
/// and its requests must not fill the control traffic.
const PAUSE_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
struct HeldLease {
    lender: VmName,
    units: u64,
    /// The units must not be used from this time on.
    until: Instant,
}

/// Units borrowed from other daemons.
#[derive(Debug, Clone, Default)]
pub(super) struct Leases {
    /// Sorted by lender.
    held: Vec<HeldLease>,
    /// Lenders that are not asked before the given time, sorted by name.
    resting: Vec<(VmName, Instant)>,
    /// No further request is sent before this time.
    next_request: Option<Instant>,
    /// Replies in a row that lent nothing.
    refusals: u32,
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

    /// Returns the units that are usable until a time.
    pub(super) fn units_until(&self, until: Instant) -> u64 {
        self.by_lender()
            .map(|leases| most_until(leases, until))
            .sum()
    }

    pub(super) fn units_from(&self, lender: &VmName, until: Instant) -> u64 {
        let mut from_lender = self
            .by_lender()
            .filter(|leases| leases.first().is_some_and(|lease| lease.lender == *lender));
        from_lender
            .next()
            .map_or(0, |leases| most_until(leases, until))
    }

    /// Returns true if a lease from the lender ends between the two times.
    pub(super) fn ends_between(&self, lender: &VmName, from: Instant, to: Instant) -> bool {
        self.units_from(lender, from) > self.units_from(lender, to)
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.held.retain(|lease| now < lease.until);
        self.resting.retain(|(_, until)| now < *until);
    }

    pub(super) fn may_ask(&self, now: Instant) -> bool {
        self.next_request.is_none_or(|until| now >= until)
    }

    pub(super) fn is_resting(&self, lender: &VmName, now: Instant) -> bool {
        let found = self.resting.binary_search_by(|(name, _)| name.cmp(lender));
        let resting = found.ok().and_then(|index| self.resting.get(index));
        resting.is_some_and(|(_, until)| now < *until)
    }

    pub(super) fn asked(&mut self, lender: &VmName, rest: Duration, now: Instant) {
        self.next_request = Some(now + rest);
        self.rest(lender, now + rest);
    }

    /// Takes in a reply; the more lenders in a row have nothing to lend, the later the next request.
    pub(super) fn replied(&mut self, lender: &VmName, units: u64, now: Instant) {
        if units > 0 {
            self.refusals = 0;
            self.next_request = None;
            return;
        }
        let pause = PAUSE_MIN * (1 << self.refusals.min(PAUSE_DOUBLINGS));
        self.refusals = self.refusals.saturating_add(1);
        self.next_request = Some(now + pause);
        self.rest(lender, now + LEASE_DURATION);
    }

    fn rest(&mut self, lender: &VmName, until: Instant) {
        match self.resting.binary_search_by(|(name, _)| name.cmp(lender)) {
            Ok(index) => self.resting[index].1 = until,
            Err(index) => self.resting.insert(index, (lender.clone(), until)),
        }
    }

    fn by_lender(&self) -> impl Iterator<Item = &[HeldLease]> {
        self.held.chunk_by(|a, b| a.lender == b.lender)
    }
}

/// Returns the units of one lender's leases, which overlap.
fn most_until(leases: &[HeldLease], until: Instant) -> u64 {
    let lasting = leases.iter().filter(|lease| until < lease.until);
    lasting.map(|lease| lease.units).max().unwrap_or(0)
}
