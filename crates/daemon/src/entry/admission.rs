//! Admits queries within the teams' limits, and holds the budgets of extra requests (hedges and
//! retries).

use medlarpin_core::extra_budget::{ExtraBudget, Urgency, try_spend_both};
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay};
use medlarpin_core::load_shedder;
use medlarpin_core::prelude::*;
use medlarpin_core::team_share::{Lease, LeaseRequest};

use crate::entry::team_admission::TeamAdmission;
use crate::view::FleetView;

/// One of a team's two limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// Queries per second.
    Rate,
    /// Concurrent queries.
    Concurrency,
}

/// Why a query is not run, and when it may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason given in the answer.
    pub reason: NotRunReason,
    /// Time after which the query may be tried again.
    pub retry_after: Duration,
}

/// Admission state of one team, for the state dump.
#[derive(Debug, Clone)]
pub struct TeamReport {
    /// The team.
    pub team: TeamName,
    /// This daemon's share of the rate limit, in thousandths of a query per second.
    pub rate_share_milli: u64,
    /// This daemon's share of the concurrency limit, in queries.
    pub concurrency_share: u64,
    /// Queries running.
    pub running: u64,
    /// Queries admitted since the daemon started.
    pub admitted: u64,
    /// Retries and hedges that the budget currently allows.
    pub extra_budget: u64,
}

#[derive(Debug)]
struct ServiceBudget {
    service: ServiceName,
    extra: ExtraBudget,
    batch_latencies: LatencyWindow,
}

/// Limits of all teams, and budgets of extra requests of all teams and services.
#[derive(Debug)]
pub struct AdmissionTable {
    local_vm: VmName,
    /// Sorted by team.
    teams: Vec<TeamAdmission>,
    /// Sorted by service.
    services: Vec<ServiceBudget>,
    /// True once every other VM in the list has reported that it no longer depends on an earlier
    /// process on this VM.
    start_confirmed: bool,
}

impl AdmissionTable {
    /// Creates a table without teams.
    #[must_use]
    pub fn new(local_vm: VmName) -> Self {
        Self {
            local_vm,
            teams: Vec::new(),
            services: Vec::new(),
            start_confirmed: false,
        }
    }

    /// Applies the limits of a view, and adds and removes teams accordingly.
    pub fn update(&mut self, view: &FleetView, all_acknowledged: bool, now: Instant) {
        let teams = view.teams();
        self.teams
            .retain(|entry| view.team(entry.team.as_str()).is_some());
        for team in teams {
            let index = self.position_or_insert(team, now);
            let entry = &mut self.teams[index];
            entry.set_limits(team, now);
            entry.set_vm_list(view.vm_list(), all_acknowledged, now);
            if self.start_confirmed {
                entry.skip_start_delay(now);
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

    /// Ends the start delay of all ledgers, because no other VM depends on an earlier process on
    /// this one.
    pub fn skip_start_delay(&mut self, now: Instant) {
        self.start_confirmed = true;
        for entry in &mut self.teams {
            entry.skip_start_delay(now);
        }
    }

    /// Returns true if all ledgers allow the newest VM list to be acknowledged.
    #[must_use]
    pub fn may_acknowledge_vm_list(&self, now: Instant) -> bool {
        self.teams
            .iter()
            .all(|entry| entry.may_acknowledge_vm_list(now))
    }

    /// Returns true if no ledger depends on an earlier process on another VM: none holds a lease
    /// from it or waits for units of removed VMs.
    #[must_use]
    pub fn is_independent_of(&self, vm: &VmName, now: Instant) -> bool {
        self.teams
            .iter()
            .all(|entry| entry.is_independent_of(vm, now))
    }

    /// Returns true if a query of each team would be admitted now.
    ///
    /// Checks the rate limit too: token buckets start empty, so a daemon that has just started
    /// would otherwise report ready and refuse its first callers.
    pub fn would_admit_all(&mut self, now: Instant) -> bool {
        self.teams.iter_mut().all(|entry| entry.would_admit(now))
    }

    /// Admits one query; the caller must return its permit with [`Self::release`].
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

    /// Sheds a fraction of a team's queries to a service while the service's leafs refuse shards
    /// because of overload.
    ///
    /// # Errors
    ///
    /// Fails if this query is shed; `random` is a number from 0 to 1 drawn for it.
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
        if self.teams[index]
            .load_shedder(service, now)
            .admits(random, now)
        {
            return Ok(());
        }
        Err(Refusal {
            reason: NotRunReason::Overloaded,
            retry_after: load_shedder::INTERVAL,
        })
    }

    /// Records how many shards of a query were refused because of overload, of the total requested.
    pub fn record_shards(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        refused: u64,
        total: u64,
        now: Instant,
    ) {
        if let Ok(index) = self.find_team(team) {
            let shedder = self.teams[index].load_shedder(service, now);
            shedder.record(refused, total, now);
        }
    }

    /// Returns the permit of a query.
    pub fn release(&mut self, team: &TeamName) {
        if let Ok(index) = self.find_team(team) {
            self.teams[index].release();
        }
    }

    /// Credits the budgets for the first leaf request of a shard.
    pub fn earn(&mut self, team: &TeamName, service: &ServiceName) {
        if let Some((team, service)) = self.budgets(team, service) {
            team.earn();
            service.earn();
        }
    }

    /// Spends one retry or hedge from both the team's and the service's budget, or from neither.
    #[must_use]
    pub fn try_spend_extra(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        urgency: Urgency,
        now: Instant,
    ) -> bool {
        self.budgets(team, service)
            .is_some_and(|(team, service)| try_spend_both(team, service, urgency, now))
    }

    /// Adjusts the budgets to the result of a leaf request.
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

    /// Records the time from sending a batch to receiving its reply.
    pub fn record_batch(&mut self, service: &ServiceName, latency: Duration, now: Instant) {
        if let Ok(index) = self.find_service(service) {
            self.services[index].batch_latencies.record(latency, now);
        }
    }

    /// Returns how long a batch may stay unanswered before it counts as late.
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

    /// Returns the lease requests to send to other daemons now.
    pub fn lease_requests(
        &mut self,
        is_usable: impl Fn(&VmName) -> bool,
        now: Instant,
    ) -> Vec<(TeamName, Limit, LeaseRequest)> {
        let mut requests = Vec::new();
        for entry in &mut self.teams {
            for limit in [Limit::Rate, Limit::Concurrency] {
                let request = entry.ledger(limit).next_request(&is_usable, now);
                requests.extend(request.map(|request| (entry.team.clone(), limit, request)));
            }
        }
        requests
    }

    /// Lends units of a team's limit to another daemon; returns `None` if the team is unknown.
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

    /// Records a lease that another daemon has granted.
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

    /// Returns the admission state of all teams, for the state dump.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<TeamReport> {
        self.teams.iter().map(|entry| entry.report(now)).collect()
    }

    fn position_or_insert(&mut self, team: &TeamSettings, now: Instant) -> usize {
        match self.find_team(&team.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = TeamAdmission::new(team, &self.local_vm, now);
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
