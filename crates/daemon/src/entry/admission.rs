//! Admission of queries against the teams' limits, and the budgets of extra leaf requests.

use medlarpin_core::extra_budget::{ExtraBudget, try_spend_both};
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay};
use medlarpin_core::load_shedder;
use medlarpin_core::prelude::*;
use medlarpin_core::team_share::{Lease, LeaseRequest};

use crate::entry::team_admission::TeamAdmission;
use crate::view::FleetView;

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
        self.teams.iter().all(|entry| entry.may_acknowledge(now))
    }

    /// Returns true if nothing here depends on an earlier process of another VM.
    #[must_use]
    pub fn is_clear_of(&self, vm: &VmName, now: Instant) -> bool {
        self.teams.iter().all(|entry| entry.is_clear_of(vm, now))
    }

    /// Returns true if a query of each team would be admitted now.
    ///
    /// Without the check of the rate, a daemon that has just started would report ready and refuse
    /// its first callers, because its buckets start empty.
    pub fn would_admit_all(&mut self, now: Instant) -> bool {
        self.teams.iter_mut().all(|entry| entry.would_admit(now))
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

    /// Refuses a part of a team's queries to a service while their shards are refused for overload.
    ///
    /// # Errors
    ///
    /// Fails if the query is in that part.
    pub fn check_overload(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        random: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Ok(index) = self.find_team(team) else {
            return Ok(());
        };
        if self.teams[index].gate(service, now).admits(random, now) {
            return Ok(());
        }
        Err(Refusal {
            reason: NotRunReason::Overloaded,
            retry_after: load_shedder::INTERVAL,
        })
    }

    /// Records how many shards of a query were refused for overload, and how many were asked.
    pub fn record_shards(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        refused: u64,
        total: u64,
        now: Instant,
    ) {
        if let Ok(index) = self.find_team(team) {
            let gate = self.teams[index].gate(service, now);
            gate.record(refused, total, now);
        }
    }

    /// Returns the permit of a query.
    pub fn release(&mut self, team: &TeamName) {
        if let Ok(index) = self.find_team(team) {
            self.teams[index].release();
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
    pub fn try_spend_extra(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        now: Instant,
    ) -> bool {
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
            for limit in [Limit::Rate, Limit::Concurrency] {
                let request = entry.ledger(limit).request(&is_usable, now);
                requests.extend(request.map(|request| (entry.team.clone(), limit, request)));
            }
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
        self.teams.iter().map(|entry| entry.report(now)).collect()
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
