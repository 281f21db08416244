//! The ledger of one team's units in one daemon.

use std::time::{Duration, Instant};

use super::base::Base;
use super::demand::Demand;
use super::leases::Leases;
use super::loans::Loans;
use super::{LEASE_DURATION, UnitKind};
use crate::catalog::VmList;
use crate::ids::{TeamName, VmName, stable_hash};

/// Time without a reply after which another lender is asked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// A request for units of another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The VM to ask.
    pub lender: VmName,
    /// Units that the borrower wants to have from the lender in all.
    pub units: u64,
    /// Time of the request on the borrower's clock; the lease counts from it.
    pub asked_at: Instant,
}

/// A lender's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The VM that lends.
    pub lender: VmName,
    /// Units that the borrower may use; they include those of earlier leases from this lender.
    pub units: u64,
    /// Length of the lease, counted by the borrower from the time of its request.
    pub duration: Duration,
}

/// Units of a team's limit that this daemon may use.
///
/// A lender has reduced its own units before its reply leaves, and it has them back only after the
/// borrower's lease has ended on every clock within 1%. So no message that is lost, late or
/// duplicated creates units.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    kind: UnitKind,
    base: Base,
    loans: Loans,
    leases: Leases,
    demand: Demand,
    /// Units of running queries; they are never lent.
    in_use: u64,
}

impl ShareLedger {
    /// Creates the ledger of a daemon that starts now; it has no units yet.
    #[must_use]
    pub fn new(team: TeamName, me: VmName, limit_units: u64, kind: UnitKind, now: Instant) -> Self {
        Self {
            kind,
            base: Base::new(team, me, limit_units, now),
            loans: Loans::default(),
            leases: Leases::default(),
            demand: Demand::new(kind),
            in_use: 0,
        }
    }

    /// Takes in a changed limit.
    pub fn set_limit(&mut self, limit_units: u64, kind: UnitKind, now: Instant) {
        self.base.set_limit(limit_units);
        self.kind = kind;
        self.demand.set_kind(kind);
        self.tick(now);
    }

    /// Takes in the newest VM list and whether every other VM on it has acknowledged it.
    pub fn set_vm_list(&mut self, vms: &VmList, all_acknowledged: bool, now: Instant) {
        let delay = self.kind.raise_delay();
        self.base.set_list(vms, all_acknowledged, delay, now);
    }

    /// Returns true if the units in use and lent fit the newest list's share.
    ///
    /// A daemon acknowledges a list only then, since a joining daemon relies on it.
    #[must_use]
    pub fn may_acknowledge(&self, now: Instant) -> bool {
        self.loans.units(None, now) <= self.base.units() && self.in_use <= self.available(now)
    }

    /// Returns true if nothing here depends on units of another VM's earlier process or lost VMs.
    #[must_use]
    pub fn is_clear_of(&self, vm: &VmName, now: Instant) -> bool {
        self.leases.units_from(vm, now) == 0 && !self.base.waits_for_lost(now)
    }

    /// Ends the wait after the start.
    ///
    /// To be called only when every other listed VM has reported, since this daemon started, that
    /// its ledger [is clear of](Self::is_clear_of) this VM.
    pub fn confirm_start(&mut self, now: Instant) {
        let delay = self.kind.raise_delay();
        self.base.end_start(delay, now);
        self.base.advance(delay, now);
    }

    /// Returns the units that may be used now.
    #[must_use]
    pub fn available(&self, now: Instant) -> u64 {
        self.available_until(now, now)
    }

    /// Returns the units that may be used from now until a later time.
    #[must_use]
    pub fn available_until(&self, until: Instant, now: Instant) -> u64 {
        self.own_units(now) + self.leases.units_until(until.max(now))
    }

    /// Records demand: for a rate, the units of a query that arrives; for concurrency, the queries
    /// at once that there would be with the one that arrives. Refused queries count as well.
    pub fn record_demand(&mut self, units: u64, now: Instant) {
        self.demand.record(units, now);
    }

    /// Sets the units of running queries.
    pub fn set_in_use(&mut self, units: u64) {
        self.in_use = units;
    }

    /// Returns how many more units should be borrowed.
    pub fn units_to_borrow(&mut self, now: Instant) -> Option<u64> {
        self.tick(now);
        let lasting = self.leases.units_until(self.horizon(now));
        let missing = self.borrow_target(now).saturating_sub(lasting);
        (missing > 0).then_some(missing)
    }

    /// Decides whom to ask for units now, among the VMs that are usable.
    ///
    /// Leases about to end are renewed first. Otherwise each borrower goes through the VMs in its
    /// own order, so that borrowers do not all ask the same lender.
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
        self.leases.asked(&lender, REPLY_TIMEOUT, now);
        Some(LeaseRequest {
            lender,
            units,
            asked_at: now,
        })
    }

    /// Lends units to another daemon; the reply may say zero.
    ///
    /// Only units of the own base share are lent, and none while units are borrowed. The lender
    /// keeps what it needs itself and a quarter of its share, since it cannot take units back.
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
            lender: self.base.me().clone(),
            units,
            duration: self.kind.lease_duration(),
        }
    }

    /// Takes in a lender's reply to the request that was sent at `asked_at`.
    pub fn accept(&mut self, lease: &Lease, asked_at: Instant, now: Instant) {
        self.leases.replied(&lease.lender, lease.units, now);
        let until = asked_at + lease.duration;
        if lease.units > 0 && now < until {
            self.leases.add(&lease.lender, lease.units, until);
        }
    }

    /// Lets time pass: ends leases and loans, raises the base share, moves the target.
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

    /// Returns the time until which leases should last; earlier ones are renewed.
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
            let (team, me) = (self.base.team(), self.base.me());
            let parts = [team.as_str(), me.as_str(), lender.as_str()].map(str::as_bytes);
            let is_renewal = self.leases.ends_between(lender, now, horizon);
            (!is_renewal, stable_hash(&parts))
        };
        let askable = |lender: &&VmName| is_usable(lender) && !self.leases.is_resting(lender, now);
        let lenders = self.base.others().filter(askable);
        lenders.min_by_key(|lender| order(lender)).cloned()
    }
}
