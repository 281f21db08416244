//! Admission of queries against the teams' limits, and the budgets of extra leaf requests.

use std::sync::Arc;

use medlarpin_core::concurrency_limiter::ConcurrencyLimiter;
use medlarpin_core::extra_budget::{ExtraBudget, try_spend_both};
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay};
use medlarpin_core::prelude::*;
use medlarpin_core::rate_limiter::RateLimiter;
use medlarpin_core::team_share::{Lease, LeaseRequest, ShareLedger, UNITS_PER_QUERY, UnitKind};

use crate::shared::Shared;
use crate::view::FleetView;

/// Retry time of a query that finds no permit; a query takes some 10 ms to some 100 ms.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Which limit of a team units belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// Queries a second.
    Rate,
    /// Queries at once.
    Concurrency,
}

/// Why a query is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Which limit was reached.
    pub reason: NotRunReason,
    /// When the query may be tried again.
    pub retry_after: Duration,
}

/// State of one team for the dump.
#[derive(Debug, Clone)]
pub struct TeamReport {
    /// The team.
    pub team: TeamName,
    /// Units of the rate limit available to this daemon.
    pub rate_share_milli: u64,
    /// Units of the concurrency limit available to this daemon.
    pub concurrency_share: u64,
    /// Queries running.
    pub running: u64,
    /// Queries admitted since the start.
    pub admitted: u64,
    /// Extra leaf requests that the budget holds.
    pub extra_budget: u64,
}

#[derive(Debug)]
struct TeamAdmission {
    team: TeamName,
    rate_ledger: ShareLedger,
    rate: RateLimiter,
    concurrency_ledger: ShareLedger,
    concurrency: ConcurrencyLimiter,
    extra: ExtraBudget,
    admitted: u64,
}

#[derive(Debug)]
struct ServiceBudget {
    service: ServiceName,
    extra: ExtraBudget,
    batch_latencies: LatencyWindow,
}

/// Limits of all teams and budgets of all services.
#[derive(Debug)]
pub struct AdmissionTable {
    me: VmName,
    /// Sorted by team.
    teams: Vec<TeamAdmission>,
    /// Sorted by service.
    services: Vec<ServiceBudget>,
    /// True once every other listed VM reported that nothing of it depends on an earlier process
    /// of this VM.
    start_confirmed: bool,
}

impl AdmissionTable {
    /// Creates a table without teams.
    #[must_use]
    pub fn new(me: VmName) -> Self {
        Self {
            me,
            teams: Vec::new(),
            services: Vec::new(),
            start_confirmed: false,
        }
    }

    /// Takes over the limits of a view.
    pub fn update(&mut self, view: &FleetView, all_acknowledged: bool, now: Instant) {
        let teams = view.teams();
        self.teams
            .retain(|entry| view.team(entry.team.as_str()).is_some());
        for team in teams {
            let index = self.position_or_insert(team, now);
            let entry = &mut self.teams[index];
            entry.set_limits(team, now);
            entry.set_base(view.vm_list(), all_acknowledged, now);
            if self.start_confirmed {
                entry.confirm_start(now);
            }
        }
        for service in view.services() {
            let name = service.service.name();
            if let Err(index) = self.find_service(name) {
                let budget = ServiceBudget {
                    service: name.clone(),
                    extra: ExtraBudget::new(),
                    batch_latencies: LatencyWindow::new(),
                };
                self.services.insert(index, budget);
            }
        }
    }

    /// Ends the wait of all ledgers after the start.
    pub fn confirm_start(&mut self, now: Instant) {
        self.start_confirmed = true;
        for entry in &mut self.teams {
            entry.confirm_start(now);
        }
    }

    /// Returns true if all ledgers allow that the newest VM list is acknowledged.
    #[must_use]
    pub fn may_acknowledge(&self, now: Instant) -> bool {
        self.teams.iter().all(|entry| {
            entry.rate_ledger.may_acknowledge(now) && entry.concurrency_ledger.may_acknowledge(now)
        })
    }

    /// Returns true if nothing here depends on an earlier process of another VM.
    #[must_use]
    pub fn is_clear_of(&self, vm: &VmName, now: Instant) -> bool {
        self.teams.iter().all(|entry| {
            entry.rate_ledger.is_clear_of(vm, now) && entry.concurrency_ledger.is_clear_of(vm, now)
        })
    }

    /// Returns true if a query of each team would be admitted now.
    ///
    /// Without the check of the rate, a daemon that has just started would report ready and refuse
    /// its first callers, because its buckets start empty.
    pub fn would_admit_all(&mut self, now: Instant) -> bool {
        self.teams.iter_mut().all(|entry| {
            let rate = entry.rate_ledger.available(now);
            entry.concurrency_ledger.available(now) > 0 && entry.rate.holds_query(now, rate)
        })
    }

    /// Admits one query; the caller returns its permit with [`Self::release`].
    ///
    /// # Errors
    ///
    /// Fails if the team is above one of its limits.
    pub fn admit(
        &mut self,
        team: &TeamName,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Ok(index) = self.find_team(team) else {
            return Ok(());
        };
        self.teams[index].admit(deadline, now)
    }

    /// Returns the permit of a query.
    pub fn release(&mut self, team: &TeamName) {
        if let Ok(index) = self.find_team(team) {
            let entry = &mut self.teams[index];
            entry.concurrency.release();
            let in_use = entry.concurrency.in_use();
            entry.concurrency_ledger.set_in_use(in_use);
        }
    }

    /// Records the first leaf request of a shard, which earns a part of an extra one.
    pub fn earn(&mut self, team: &TeamName, service: &ServiceName) {
        if let Some((team, service)) = self.budgets(team, service) {
            team.earn();
            service.earn();
        }
    }

    /// Takes an extra leaf request from the team's and the service's budget, or from neither.
    #[must_use]
    pub fn try_extra(&mut self, team: &TeamName, service: &ServiceName, now: Instant) -> bool {
        self.budgets(team, service)
            .is_some_and(|(team, service)| try_spend_both(team, service, now))
    }

    /// Records how a leaf request ended.
    pub fn record_result(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        refused: bool,
        queue_wait: Duration,
        now: Instant,
    ) {
        if let Some((team, service)) = self.budgets(team, service) {
            team.record_result(refused, queue_wait, now);
            service.record_result(refused, queue_wait, now);
        }
    }

    /// Records the time from a batch's departure to its reply.
    pub fn record_batch(&mut self, service: &ServiceName, latency: Duration, now: Instant) {
        if let Ok(index) = self.find_service(service) {
            self.services[index].batch_latencies.record(latency, now);
        }
    }

    /// Returns the time after which an unanswered batch counts as late.
    #[must_use]
    pub fn batch_delay(
        &self,
        service: &ServiceName,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        self.find_service(service).map_or(time_left / 2, |index| {
            hedge_delay(&self.services[index].batch_latencies, time_left, now)
        })
    }

    /// Returns the requests for units that are to be sent to other daemons now.
    pub fn lease_requests(
        &mut self,
        is_usable: impl Fn(&VmName) -> bool,
        now: Instant,
    ) -> Vec<(TeamName, Limit, LeaseRequest)> {
        let mut requests = Vec::new();
        for entry in &mut self.teams {
            let team = &entry.team;
            let rate = entry.rate_ledger.request(&is_usable, now);
            requests.extend(rate.map(|request| (team.clone(), Limit::Rate, request)));
            let concurrency = entry.concurrency_ledger.request(&is_usable, now);
            requests.extend(concurrency.map(|request| (team.clone(), Limit::Concurrency, request)));
        }
        requests
    }

    /// Lends units of a team's limit to another daemon.
    pub fn lend(
        &mut self,
        team: &str,
        limit: Limit,
        borrower: &VmName,
        units: u64,
        now: Instant,
    ) -> Option<Lease> {
        let index = self.find_team(&TeamName::new(team)).ok()?;
        let ledger = self.teams[index].ledger(limit);
        Some(ledger.lend(borrower, units, now))
    }

    /// Takes in a lender's reply.
    pub fn accept(
        &mut self,
        team: &TeamName,
        limit: Limit,
        lease: &Lease,
        asked_at: Instant,
        now: Instant,
    ) {
        if let Ok(index) = self.find_team(team) {
            self.teams[index].ledger(limit).accept(lease, asked_at, now);
        }
    }

    /// Returns the state of all teams for the dump.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<TeamReport> {
        let report = |entry: &TeamAdmission| TeamReport {
            team: entry.team.clone(),
            rate_share_milli: entry.rate_ledger.available(now),
            concurrency_share: entry.concurrency_ledger.available(now),
            running: entry.concurrency.in_use(),
            admitted: entry.admitted,
            extra_budget: entry.extra.extra_requests(),
        };
        self.teams.iter().map(report).collect()
    }

    fn position_or_insert(&mut self, team: &TeamSettings, now: Instant) -> usize {
        match self.find_team(&team.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = TeamAdmission::new(team, &self.me, now);
                self.teams.insert(index, entry);
                index
            }
        }
    }

    fn find_team(&self, team: &TeamName) -> Result<usize, usize> {
        self.teams.binary_search_by(|entry| entry.team.cmp(team))
    }

    fn find_service(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|entry| entry.service.cmp(service))
    }

    fn budgets(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
    ) -> Option<(&mut ExtraBudget, &mut ExtraBudget)> {
        let team = self.find_team(team).ok()?;
        let service = self.find_service(service).ok()?;
        Some((
            &mut self.teams[team].extra,
            &mut self.services[service].extra,
        ))
    }
}

impl TeamAdmission {
    fn new(team: &TeamSettings, me: &VmName, now: Instant) -> Self {
        let ledger =
            |units, kind| ShareLedger::new(team.name.clone(), me.clone(), units, kind, now);
        Self {
            team: team.name.clone(),
            rate_ledger: ledger(rate_units(team), UnitKind::Rate),
            rate: RateLimiter::new(now),
            concurrency_ledger: ledger(u64::from(team.concurrency_limit), concurrency_kind(team)),
            concurrency: ConcurrencyLimiter::new(),
            extra: ExtraBudget::new(),
            admitted: 0,
        }
    }

    fn set_limits(&mut self, team: &TeamSettings, now: Instant) {
        self.rate_ledger
            .set_limit(rate_units(team), UnitKind::Rate, now);
        let concurrency = u64::from(team.concurrency_limit);
        self.concurrency_ledger
            .set_limit(concurrency, concurrency_kind(team), now);
    }

    fn set_base(&mut self, vms: &VmList, all_acknowledged: bool, now: Instant) {
        self.rate_ledger.set_base(vms, all_acknowledged, now);
        self.concurrency_ledger.set_base(vms, all_acknowledged, now);
    }

    fn confirm_start(&mut self, now: Instant) {
        self.rate_ledger.confirm_start(now);
        self.concurrency_ledger.confirm_start(now);
    }

    fn admit(&mut self, deadline: Instant, now: Instant) -> Result<(), Refusal> {
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

    fn ledger(&mut self, limit: Limit) -> &mut ShareLedger {
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
        hold: Duration::from_millis(u64::from(team.deadline_cap_ms)),
    }
}

/// The permit of an admitted query; returned when dropped.
#[derive(Debug)]
pub struct TeamPermit {
    shared: Arc<Shared>,
    team: TeamName,
}

impl TeamPermit {
    /// Admits a query.
    ///
    /// # Errors
    ///
    /// Fails if the team is above one of its limits.
    pub fn acquire(
        shared: &Arc<Shared>,
        team: &TeamName,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let now = shared.clock.now();
        shared.admission.lock().admit(team, deadline, now)?;
        Ok(Self {
            shared: Arc::clone(shared),
            team: team.clone(),
        })
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.shared.admission.lock().release(&self.team);
    }
}
