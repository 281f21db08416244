//! Ledger of one team's units on one daemon.

use std::time::{Duration, Instant};

use super::base_share::BaseShare;
use super::demand::Demand;
use super::leases::Leases;
use super::loans::Loans;
use super::{LEASE_DURATION, UnitKind};
use crate::catalog::VmList;
use crate::ids::{TeamName, VmName, stable_hash};

/// Timeout of a lease request, after which another lender is asked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// A request to borrow units from another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The VM to borrow from.
    pub lender: VmName,
    /// Units that the borrower wants in total from this lender, existing leases included.
    pub units: u64,
    /// Time of the request on the borrower's clock; the lease starts at this time.
    pub asked_at: Instant,
}

/// A lender's reply to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The VM that lends.
    pub lender: VmName,
    /// Units that the borrower may use, including those of earlier leases from this lender.
    pub units: u64,
    /// Duration of the lease, which the borrower measures from the time of its request.
    pub duration: Duration,
}

/// Tracks the units of a team's limit that this daemon may use.
///
/// A lender deducts lent units before it sends the reply, and uses them again only after the
/// borrower's lease has expired on every clock with an error of at most 1%. So a lost, late or
/// duplicated message never creates units.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    kind: UnitKind,
    base: BaseShare,
    loans: Loans,
    leases: Leases,
    demand: Demand,
    /// Units of running queries, which are never lent.
    in_use: u64,
}

impl ShareLedger {
    /// Creates the ledger of a daemon that starts now and has no units yet.
    #[must_use]
    pub fn new(
        team: TeamName,
        local_vm: VmName,
        limit_units: u64,
        kind: UnitKind,
        now: Instant,
    ) -> Self {
        Self {
            kind,
            base: BaseShare::new(team, local_vm, limit_units, now),
            loans: Loans::default(),
            leases: Leases::default(),
            demand: Demand::new(kind),
            in_use: 0,
        }
    }

    /// Sets the limit.
    pub fn set_limit(&mut self, limit_units: u64, kind: UnitKind, now: Instant) {
        self.base.set_limit(limit_units);
        self.kind = kind;
        self.demand.set_kind(kind);
        self.tick(now);
    }

    /// Sets the VM list; `all_acknowledged` is true if every other VM on it has acknowledged it.
    pub fn set_vm_list(&mut self, vms: &VmList, all_acknowledged: bool, now: Instant) {
        let delay = self.kind.raise_delay();
        self.base.set_list(vms, all_acknowledged, delay, now);
    }

    /// Returns true if the units in use and the units lent fit into the share by the newest list.
    ///
    /// A daemon must not acknowledge a list unless this returns true: a joining daemon relies on
    /// it.
    #[must_use]
    pub fn may_acknowledge_vm_list(&self, now: Instant) -> bool {
        self.loans.units(None, now) <= self.base.units() && self.in_use <= self.available(now)
    }

    /// Returns true if this ledger holds no lease from the VM and waits for no units of removed
    /// VMs.
    #[must_use]
    pub fn is_independent_of(&self, vm: &VmName, now: Instant) -> bool {
        self.leases.units_from(vm, now) == 0 && !self.base.waits_for_removed(now)
    }

    /// Skips the rest of the wait after the start.
    ///
    /// Must only be called after every other listed VM has reported, since this daemon started,
    /// that its ledger [is independent of](Self::is_independent_of) this VM.
    pub fn skip_start_delay(&mut self, now: Instant) {
        let delay = self.kind.raise_delay();
        self.base.skip_start_delay(delay, now);
        self.base.advance(delay, now);
    }

    /// Returns the number of units that may be used now.
    #[must_use]
    pub fn available(&self, now: Instant) -> u64 {
        self.available_until(now, now)
    }

    /// Returns the number of units that may be used from now until a later time.
    #[must_use]
    pub fn available_until(&self, until: Instant, now: Instant) -> u64 {
        self.own_units(now) + self.leases.units_until(until.max(now))
    }

    /// Records the demand of a query that arrives, whether it is admitted or not.
    ///
    /// For a rate, `units` are the units of the query. For concurrency, they are the concurrent
    /// queries including this one.
    pub fn record_demand(&mut self, units: u64, now: Instant) {
        self.demand.record(units, now);
    }

    /// Sets the number of units that running queries use.
    pub fn set_in_use(&mut self, units: u64) {
        self.in_use = units;
    }

    /// Returns how many more units this daemon should borrow, or `None` if it needs no more.
    pub fn units_to_borrow(&mut self, now: Instant) -> Option<u64> {
        self.tick(now);
        let borrowed = self.leases.units_until(self.horizon(now));
        let needed = self.borrow_target(now).saturating_sub(borrowed);
        (needed > 0).then_some(needed)
    }

    /// Returns the lease request to send now, to one of the usable VMs, if units are needed.
    ///
    /// Leases that expire soon are renewed first. Otherwise each borrower asks the VMs in an order
    /// of its own, so that the borrowers do not all ask the same lender.
    pub fn next_request(
        &mut self,
        is_usable: impl Fn(&VmName) -> bool,
        now: Instant,
    ) -> Option<LeaseRequest> {
        self.units_to_borrow(now)?;
        if !self.leases.may_ask(now) {
            return None;
        }
        let horizon = self.horizon(now);
        let lender = self.choose_lender(is_usable, horizon, now)?;
        let from_others =
            self.leases.units_until(horizon) - self.leases.units_from(&lender, horizon);
        let units = self.borrow_target(now).saturating_sub(from_others);
        self.leases.record_request(&lender, REPLY_TIMEOUT, now);
        Some(LeaseRequest {
            lender,
            units,
            asked_at: now,
        })
    }

    /// Lends units to another daemon; the reply may have zero units.
    ///
    /// Only units of this daemon's base share are lent, and none while it borrows units itself. The
    /// lender keeps its own need or a quarter of its base share, whichever is more, because it
    /// cannot revoke a lease.
    pub fn lend(&mut self, borrower: &VmName, units_wanted: u64, now: Instant) -> Lease {
        self.tick(now);
        let base = self.base.units();
        let kept = self.demand.need(now).max(self.in_use).max(base / 4);
        let lent = self.loans.units(Some(borrower), now);
        let idle = base.saturating_sub(lent).saturating_sub(kept);
        let borrows = self.leases.units_until(now) > 0;
        let units = if borrows { 0 } else { units_wanted.min(idle) };
        if units > 0 {
            let until = now + self.kind.reclaim_delay();
            self.loans.add(borrower, units, until);
        }
        Lease {
            lender: self.base.local_vm().clone(),
            units,
            duration: self.kind.lease_duration(),
        }
    }

    /// Processes a lender's reply to the request that was sent at `asked_at`.
    pub fn accept(&mut self, lease: &Lease, asked_at: Instant, now: Instant) {
        self.leases.record_reply(&lease.lender, lease.units, now);
        let until = asked_at + lease.duration;
        if lease.units > 0 && now < until {
            self.leases.add(&lease.lender, lease.units, until);
        }
    }

    /// Advances to `now`: expires leases and loans, updates the base share and the demand target.
    pub fn tick(&mut self, now: Instant) {
        self.base.advance(self.kind.raise_delay(), now);
        self.loans.expire(now);
        self.leases.expire(now);
        let own = self.own_units(now);
        self.demand.step(own, self.base.limit_units(), now);
    }

    fn own_units(&self, now: Instant) -> u64 {
        self.base
            .units()
            .saturating_sub(self.loans.units(None, now))
    }

    fn borrow_target(&self, now: Instant) -> u64 {
        self.demand.target().saturating_sub(self.own_units(now))
    }

    /// Returns the time until which leases should last; leases that expire earlier are renewed.
    fn horizon(&self, now: Instant) -> Instant {
        now + self.kind.max_hold() + LEASE_DURATION / 2
    }

    fn choose_lender(
        &self,
        is_usable: impl Fn(&VmName) -> bool,
        horizon: Instant,
        now: Instant,
    ) -> Option<VmName> {
        let order = |lender: &VmName| {
            let (team, local_vm) = (self.base.team(), self.base.local_vm());
            let parts = [team.as_str(), local_vm.as_str(), lender.as_str()].map(str::as_bytes);
            let is_renewal = self.leases.expires_between(lender, now, horizon);
            (!is_renewal, stable_hash(&parts))
        };
        let may_ask =
            |lender: &&VmName| is_usable(lender) && !self.leases.is_backing_off(lender, now);
        let lenders = self.base.others().filter(may_ask);
        lenders.min_by_key(|lender| order(lender)).cloned()
    }
}
