use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use thiserror::Error;

use super::team_records::{RecordState, TeamRecords};
use super::ticket::Ticket;
use crate::ids::{Fingerprint, Incarnation, TeamName, VmName};

/// Limits of a [`TicketTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TicketLimits {
    /// Time after its issue for which a ticket can be redeemed.
    pub lifetime: Duration,
    /// Maximum number of records.
    pub max_tickets: usize,
    /// Maximum number of records of one team.
    pub max_tickets_per_team: usize,
    /// Maximum total size of the stored outcomes, in bytes.
    pub max_outcome_bytes: usize,
    /// Maximum total size of one team's stored outcomes, in bytes.
    pub max_outcome_bytes_per_team: usize,
}

impl Default for TicketLimits {
    /// One team gets at most a quarter of each limit, so that no team can exhaust the tickets of
    /// the others.
    fn default() -> Self {
        Self {
            lifetime: Duration::from_mins(10),
            max_tickets: 100_000,
            max_tickets_per_team: 25_000,
            max_outcome_bytes: 16 << 20,
            max_outcome_bytes_per_team: 4 << 20,
        }
    }
}

/// Reason for which no ticket was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum IssueRefusal {
    /// the daemon has reached its limit of tickets
    TableFull,
    /// the team has reached its limit of tickets on this daemon
    TeamFull,
    /// a ticket with the same random part already exists
    RandomInUse,
}

/// Decision on a request that presents a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RedeemOutcome {
    /// The request may run. The caller must complete the run with exactly one call of
    /// [`TicketTable::finish`] or [`TicketTable::release`].
    MayRun,
    /// An earlier submission is still running; the caller waits for its outcome.
    Running,
    /// An earlier submission has completed with this outcome.
    Finished(Arc<[u8]>),
    /// An earlier submission has completed and its outcome is no longer stored; the answer is
    /// `unknown`.
    OutcomeDropped,
    /// Another daemon or another incarnation issued the ticket, and only that one can decide.
    WrongIssuer,
    /// There is no record: the ticket was never issued, or its record was evicted after the ticket
    /// expired. An earlier submission may have run.
    Unknown,
    /// The ticket expired before it was redeemed.
    Expired,
    /// The ticket belongs to another team or another request.
    Mismatch,
}

/// The tickets that one daemon incarnation has issued.
///
/// A record is kept for twice the ticket's lifetime, so that the answer to a late request can say
/// that its ticket expired unused. Once a limit is reached, expired records are evicted for new
/// tickets.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketTable {
    vm: VmName,
    incarnation: Incarnation,
    limits: TicketLimits,
    /// Team of each record. Its keys are the union of the keys of all `teams`.
    team_by_random: BTreeMap<u128, TeamName>,
    /// Records by team, without entries for teams that have no records.
    teams: BTreeMap<TeamName, TeamRecords>,
    next_outcome_number: u64,
}

impl TicketTable {
    /// Creates an empty table for a daemon that has just started.
    #[must_use]
    pub fn new(vm: VmName, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            vm,
            incarnation,
            limits,
            team_by_random: BTreeMap::new(),
            teams: BTreeMap::new(),
            next_outcome_number: 0,
        }
    }

    /// Issues a ticket with a random part that the caller generated.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit is reached or the random part is in use.
    pub fn issue(
        &mut self,
        team: &TeamName,
        random: u128,
        now: Instant,
    ) -> Result<Ticket, IssueRefusal> {
        self.remove_outdated(now);
        if self.team_by_random.contains_key(&random) {
            return Err(IssueRefusal::RandomInUse);
        }
        self.ensure_room_in_team(team, now)?;
        self.ensure_room_in_table(now)?;
        self.team_by_random.insert(random, team.clone());
        self.teams
            .entry(team.clone())
            .or_default()
            .insert(random, now + self.limits.lifetime);
        Ok(Ticket {
            issuer: self.vm.clone(),
            incarnation: self.incarnation,
            random,
        })
    }

    /// Decides whether a request with a ticket may run and, if so, marks the ticket as running.
    ///
    /// Must be called before the first leaf request is sent. A ticket stays bound to the
    /// fingerprint that redeemed it first, even after [`Self::release`].
    pub fn redeem(
        &mut self,
        ticket: &Ticket,
        team: &TeamName,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> RedeemOutcome {
        if ticket.issuer != self.vm || ticket.incarnation != self.incarnation {
            return RedeemOutcome::WrongIssuer;
        }
        self.remove_outdated(now);
        let Some(ticket_team) = self.team_by_random.get(&ticket.random) else {
            return RedeemOutcome::Unknown;
        };
        if ticket_team != team {
            return RedeemOutcome::Mismatch;
        }
        let Some(records) = self.teams.get_mut(team) else {
            return RedeemOutcome::Unknown;
        };
        redeem_record(records, ticket.random, fingerprint, now)
    }

    /// Marks a running ticket as finished and stores the outcome, the bytes of the answer.
    ///
    /// Evicts the oldest outcomes if a byte limit is reached, and drops this one if it alone
    /// exceeds a limit. Does nothing if the ticket is not running.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Arc<[u8]>, now: Instant) {
        self.remove_outdated(now);
        let Some(team) = self.running_team(ticket) else {
            return;
        };
        let fits = self.ensure_room_for_outcome(&team, outcome.len());
        let number = self.next_outcome_number;
        self.next_outcome_number += 1;
        let Some(records) = self.teams.get_mut(&team) else {
            return;
        };
        if fits {
            records.store_outcome(ticket.random, number, outcome);
        } else if let Some(record) = records.get_mut(ticket.random) {
            record.state = RecordState::OutcomeDropped;
        }
    }

    /// Makes a ticket usable again after a run that reached no leaf.
    ///
    /// Does nothing if the ticket is not running. The caller must know that no leaf request of the
    /// run was sent, or that every leaf refused it. A missing answer does not prove this.
    pub fn release(&mut self, ticket: &Ticket) {
        let Some(team) = self.running_team(ticket) else {
            return;
        };
        if let Some(record) = self
            .teams
            .get_mut(&team)
            .and_then(|records| records.get_mut(ticket.random))
        {
            record.state = RecordState::Usable;
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.team_by_random.len()
    }

    /// Returns true if the table has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.team_by_random.is_empty()
    }

    /// Returns the total size of all stored outcomes, in bytes.
    #[must_use]
    pub fn outcome_bytes(&self) -> usize {
        self.teams.values().map(TeamRecords::outcome_bytes).sum()
    }

    /// Returns the ticket's team if this table issued the ticket and it is running.
    fn running_team(&mut self, ticket: &Ticket) -> Option<TeamName> {
        if ticket.issuer != self.vm || ticket.incarnation != self.incarnation {
            return None;
        }
        let team = self.team_by_random.get(&ticket.random)?.clone();
        let record = self.teams.get_mut(&team)?.get_mut(ticket.random)?;
        (record.state == RecordState::Running).then_some(team)
    }

    fn ensure_room_in_team(&mut self, team: &TeamName, now: Instant) -> Result<(), IssueRefusal> {
        let Some(records) = self.teams.get_mut(team) else {
            return Ok(());
        };
        if records.len() < self.limits.max_tickets_per_team {
            return Ok(());
        }
        let removed = records
            .evict_one_expired(now)
            .ok_or(IssueRefusal::TeamFull)?;
        self.team_by_random.remove(&removed);
        Ok(())
    }

    fn ensure_room_in_table(&mut self, now: Instant) -> Result<(), IssueRefusal> {
        if self.team_by_random.len() < self.limits.max_tickets {
            return Ok(());
        }
        let removed = self
            .teams
            .values_mut()
            .find_map(|records| records.evict_one_expired(now))
            .ok_or(IssueRefusal::TableFull)?;
        self.team_by_random.remove(&removed);
        self.teams.retain(|_, records| records.len() > 0);
        Ok(())
    }

    /// Evicts old outcomes until `bytes` more fit; returns false if they can never fit.
    fn ensure_room_for_outcome(&mut self, team: &TeamName, bytes: usize) -> bool {
        let limits = self.limits;
        if bytes
            > limits
                .max_outcome_bytes_per_team
                .min(limits.max_outcome_bytes)
        {
            return false;
        }
        if let Some(records) = self.teams.get_mut(team) {
            while records.outcome_bytes() + bytes > limits.max_outcome_bytes_per_team
                && records.evict_oldest_outcome()
            {}
        }
        // Evict from the team with the largest total, so that small teams keep their outcomes.
        while self.outcome_bytes() + bytes > limits.max_outcome_bytes {
            let largest = self
                .teams
                .values_mut()
                .max_by_key(|records| records.outcome_bytes());
            if !largest.is_some_and(TeamRecords::evict_oldest_outcome) {
                return false;
            }
        }
        true
    }

    /// Removes the records of tickets that expired at least one lifetime ago.
    fn remove_outdated(&mut self, now: Instant) {
        let Some(cutoff) = now.checked_sub(self.limits.lifetime) else {
            return;
        };
        let has_outdated = |records: &TeamRecords| {
            records
                .earliest_expiry()
                .is_some_and(|expires| expires <= cutoff)
        };
        if !self.teams.values().any(has_outdated) {
            return;
        }
        for records in self.teams.values_mut() {
            for random in records.remove_expired_until(cutoff) {
                self.team_by_random.remove(&random);
            }
        }
        self.teams.retain(|_, records| records.len() > 0);
    }
}

fn redeem_record(
    records: &mut TeamRecords,
    random: u128,
    fingerprint: Fingerprint,
    now: Instant,
) -> RedeemOutcome {
    let Some(record) = records.get_mut(random) else {
        return RedeemOutcome::Unknown;
    };
    if record.bound_to.is_some_and(|bound| bound != fingerprint) {
        return RedeemOutcome::Mismatch;
    }
    match record.state {
        RecordState::Usable if record.expires <= now => RedeemOutcome::Expired,
        RecordState::Usable => {
            record.state = RecordState::Running;
            record.bound_to = Some(fingerprint);
            RedeemOutcome::MayRun
        }
        RecordState::Running => RedeemOutcome::Running,
        RecordState::OutcomeDropped => RedeemOutcome::OutcomeDropped,
        RecordState::Finished(number) => records
            .outcome(number)
            .map_or(RedeemOutcome::OutcomeDropped, |outcome| {
                RedeemOutcome::Finished(Arc::clone(outcome))
            }),
    }
}
