//! Limits, budget of extra requests (hedges and retries) and load shedders of one team.

use medlarpin_core::concurrency_limiter::ConcurrencyLimiter;
use medlarpin_core::extra_budget::ExtraBudget;
use medlarpin_core::load_shedder::LoadShedder;
use medlarpin_core::prelude::*;
use medlarpin_core::rate_limiter::RateLimiter;
use medlarpin_core::team_share::{ShareLedger, UNITS_PER_QUERY, UnitKind};

use crate::entry::admission::{Limit, Refusal, TeamReport};

/// Retry-after time of a query refused by the concurrency limit; queries take about 10 to 100 ms.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(super) struct TeamAdmission {
    pub(super) team: TeamName,
    rate_ledger: ShareLedger,
    rate: RateLimiter,
    concurrency_ledger: ShareLedger,
    concurrency: ConcurrencyLimiter,
    pub(super) extra: ExtraBudget,
    admitted: u64,
    /// One load shedder for each service that the team has queried, sorted by service.
    load_shedders: Vec<(ServiceName, LoadShedder)>,
}

impl TeamAdmission {
    pub(super) fn new(team: &TeamSettings, local_vm: &VmName, now: Instant) -> Self {
        let ledger =
            |units, kind| ShareLedger::new(team.name.clone(), local_vm.clone(), units, kind, now);
        Self {
            team: team.name.clone(),
            rate_ledger: ledger(rate_units(team), UnitKind::Rate),
            rate: RateLimiter::new(now),
            concurrency_ledger: ledger(u64::from(team.concurrency_limit), concurrency_kind(team)),
            concurrency: ConcurrencyLimiter::new(),
            extra: ExtraBudget::new(),
            admitted: 0,
            load_shedders: Vec::new(),
        }
    }

    pub(super) fn set_limits(&mut self, team: &TeamSettings, now: Instant) {
        self.rate_ledger
            .set_limit(rate_units(team), UnitKind::Rate, now);
        let concurrency = u64::from(team.concurrency_limit);
        self.concurrency_ledger
            .set_limit(concurrency, concurrency_kind(team), now);
    }

    pub(super) fn set_vm_list(&mut self, vms: &VmList, all_acknowledged: bool, now: Instant) {
        self.rate_ledger.set_vm_list(vms, all_acknowledged, now);
        self.concurrency_ledger
            .set_vm_list(vms, all_acknowledged, now);
    }

    /// See [`ShareLedger::skip_start_delay`].
    pub(super) fn skip_start_delay(&mut self, now: Instant) {
        self.rate_ledger.skip_start_delay(now);
        self.concurrency_ledger.skip_start_delay(now);
    }

    pub(super) fn admit(&mut self, deadline: Instant, now: Instant) -> Result<(), Refusal> {
        self.rate_ledger.record_demand(UNITS_PER_QUERY, now);
        self.concurrency_ledger
            .record_demand(self.concurrency.in_use() + 1, now);
        let units = self.concurrency_ledger.available_until(deadline, now);
        if !self.concurrency.try_acquire(units) {
            return Err(Refusal {
                reason: NotRunReason::ConcurrencyLimit,
                retry_after: CONCURRENCY_RETRY_AFTER,
            });
        }
        let rate = self.rate_ledger.available(now);
        if let Err(retry_after) = self.rate.try_take(now, rate) {
            self.concurrency.release();
            return Err(Refusal {
                reason: NotRunReason::RateLimit,
                retry_after,
            });
        }
        self.concurrency_ledger
            .set_in_use(self.concurrency.in_use());
        self.admitted += 1;
        Ok(())
    }

    pub(super) fn load_shedder(&mut self, service: &ServiceName, now: Instant) -> &mut LoadShedder {
        let found = self
            .load_shedders
            .binary_search_by(|(name, _)| name.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let load_shedder = LoadShedder::new(now);
            self.load_shedders
                .insert(index, (service.clone(), load_shedder));
            index
        });
        &mut self.load_shedders[index].1
    }

    pub(super) fn release(&mut self) {
        self.concurrency.release();
        self.concurrency_ledger
            .set_in_use(self.concurrency.in_use());
    }

    /// See [`ShareLedger::may_acknowledge_vm_list`].
    pub(super) fn may_acknowledge_vm_list(&self, now: Instant) -> bool {
        self.rate_ledger.may_acknowledge_vm_list(now)
            && self.concurrency_ledger.may_acknowledge_vm_list(now)
    }

    /// Returns true if neither ledger holds a lease from the VM or waits for units of removed VMs.
    pub(super) fn is_independent_of(&self, vm: &VmName, now: Instant) -> bool {
        self.rate_ledger.is_independent_of(vm, now)
            && self.concurrency_ledger.is_independent_of(vm, now)
    }

    pub(super) fn would_admit(&mut self, now: Instant) -> bool {
        let rate = self.rate_ledger.available(now);
        self.concurrency_ledger.available(now) > 0 && self.rate.would_admit(now, rate)
    }

    pub(super) fn report(&self, now: Instant) -> TeamReport {
        TeamReport {
            team: self.team.clone(),
            rate_share_milli: self.rate_ledger.available(now),
            concurrency_share: self.concurrency_ledger.available(now),
            running: self.concurrency.in_use(),
            admitted: self.admitted,
            extra_budget: self.extra.extra_requests(),
        }
    }

    pub(super) fn ledger(&mut self, limit: Limit) -> &mut ShareLedger {
        match limit {
            Limit::Rate => &mut self.rate_ledger,
            Limit::Concurrency => &mut self.concurrency_ledger,
        }
    }
}

fn rate_units(team: &TeamSettings) -> u64 {
    u64::from(team.rate_limit_per_s) * UNITS_PER_QUERY
}

fn concurrency_kind(team: &TeamSettings) -> UnitKind {
    UnitKind::Concurrency {
        max_hold: Duration::from_millis(u64::from(team.deadline_cap_ms)),
    }
}
