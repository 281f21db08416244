use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use thiserror::Error;

use super::team_records::{RecordState, TeamRecords};
use super::ticket::Ticket;
use crate::ids::{Fingerprint, Incarnation, TeamName, VmName};

/// Bounds of a ticket book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TicketLimits {
    /// Time during which a ticket can be used.
    pub lifetime: Duration,
    /// Most records held.
    pub max_tickets: usize,
    /// Most records held for one team.
    pub max_tickets_per_team: usize,
    /// Most bytes of outcomes kept.
    pub max_outcome_bytes: usize,
    /// Most bytes of outcomes kept for one team.
    pub max_outcome_bytes_per_team: usize,
}

impl Default for TicketLimits {
    /// A team gets a quarter of each bound, so that no team can deny tickets to the others.
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

/// Why no ticket was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum IssueRefusal {
    /// the daemon holds as many tickets as it can
    TableFull,
    /// the team holds as many tickets as it may
    TeamFull,
    /// the random part is already in use
    RandomInUse,
}

/// Decision about a request that presents a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RedeemOutcome {
    /// The request may run. The caller must end the run with exactly one call of
    /// [`TicketTable::finish`] or [`TicketTable::release`].
    MayRun,
    /// An earlier submission is running; the request waits for it.
    Running,
    /// An earlier submission has ended with this outcome.
    Finished(Arc<[u8]>),
    /// An earlier submission has ended and its outcome is no longer kept: `unknown`.
    OutcomeDropped,
    /// Another daemon or another incarnation issued the ticket: only that one can decide.
    WrongIssuer,
    /// There is no record: the ticket was never issued, or was dropped long after it expired. An
    /// earlier submission may have run.
    Unknown,
    /// The ticket expired without a run.
    Expired,
    /// The ticket belongs to another team or another request.
    Mismatch,
}

/// The tickets that one daemon incarnation has issued.
///
/// A record stays for twice the ticket's lifetime, so that a late request learns that its ticket
/// expired unused. Expired records give way to new tickets when a bound is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketTable {
    vm: VmName,
    incarnation: Incarnation,
    limits: TicketLimits,
    /// Owner of each record; has exactly the keys of all `teams` together.
    owners: BTreeMap<u128, TeamName>,
    /// Has no entry for a team without records.
    teams: BTreeMap<TeamName, TeamRecords>,
    next_outcome: u64,
}

impl TicketTable {
    /// Creates an empty book for a daemon that has just started.
    #[must_use]
    pub fn new(vm: VmName, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            vm,
            incarnation,
            limits,
            owners: BTreeMap::new(),
            teams: BTreeMap::new(),
            next_outcome: 0,
        }
    }

    /// Issues a ticket with a random part drawn by the caller.
    ///
    /// # Errors
    ///
    /// Fails if a bound is reached or the random part is in use.
    pub fn issue(
        &mut self,
        team: &TeamName,
        random: u128,
        now: Instant,
    ) -> Result<Ticket, IssueRefusal> {
        self.remove_old(now);
        if self.owners.contains_key(&random) {
            return Err(IssueRefusal::RandomInUse);
        }
        self.make_room_in_team(team, now)?;
        self.make_room_in_table(now)?;
        self.owners.insert(random, team.clone());
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

    /// Decides about a request with a ticket and marks the ticket as used if the request may run.
    ///
    /// Must be called before the first leaf request is sent. A ticket stays bound to the first
    /// fingerprint that used it, also after a release.
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
        self.remove_old(now);
        let Some(owner) = self.owners.get(&ticket.random) else {
            return RedeemOutcome::Unknown;
        };
        if owner != team {
            return RedeemOutcome::Mismatch;
        }
        let Some(records) = self.teams.get_mut(team) else {
            return RedeemOutcome::Unknown;
        };
        redeem_record(records, ticket.random, fingerprint, now)
    }

    /// Records the outcome of a run, as the bytes of its answer.
    ///
    /// The outcomes that ended first are dropped when a byte bound is reached. Does nothing if the
    /// ticket is not running.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Arc<[u8]>, now: Instant) {
        self.remove_old(now);
        let Some(team) = self.running_team(ticket) else {
            return;
        };
        let fits = self.make_room_for_outcome(&team, outcome.len());
        let number = self.next_outcome;
        self.next_outcome += 1;
        let Some(records) = self.teams.get_mut(&team) else {
            return;
        };
        if fits {
            records.keep_outcome(ticket.random, number, outcome);
        } else if let Some(record) = records.get_mut(ticket.random) {
            record.state = RecordState::Forgotten;
        }
    }

    /// Makes a ticket usable again after a run that no leaf saw.
    ///
    /// Does nothing if the ticket is not running. The caller must know that no leaf request of the
    /// run was sent, or that each was refused; a lost answer is not enough.
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

    /// Returns the number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns true if no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the bytes of all kept outcomes.
    #[must_use]
    pub fn outcome_bytes(&self) -> usize {
        self.teams.values().map(TeamRecords::outcome_bytes).sum()
    }

    /// Returns the team whose ticket is running, if the ticket is this book's and is running.
    fn running_team(&mut self, ticket: &Ticket) -> Option<TeamName> {
        if ticket.issuer != self.vm || ticket.incarnation != self.incarnation {
            return None;
        }
        let team = self.owners.get(&ticket.random)?.clone();
        let record = self.teams.get_mut(&team)?.get_mut(ticket.random)?;
        (record.state == RecordState::Running).then_some(team)
    }

    fn make_room_in_team(&mut self, team: &TeamName, now: Instant) -> Result<(), IssueRefusal> {
        let Some(records) = self.teams.get_mut(team) else {
            return Ok(());
        };
        if records.len() < self.limits.max_tickets_per_team {
            return Ok(());
        }
        let removed = records
            .remove_one_expired(now)
            .ok_or(IssueRefusal::TeamFull)?;
        self.owners.remove(&removed);
        Ok(())
    }

    fn make_room_in_table(&mut self, now: Instant) -> Result<(), IssueRefusal> {
        if self.owners.len() < self.limits.max_tickets {
            return Ok(());
        }
        let removed = self
            .teams
            .values_mut()
            .find_map(|records| records.remove_one_expired(now))
            .ok_or(IssueRefusal::TableFull)?;
        self.owners.remove(&removed);
        self.teams.retain(|_, records| records.len() > 0);
        Ok(())
    }

    /// Drops old outcomes until one more fits; returns false if it can never fit.
    fn make_room_for_outcome(&mut self, team: &TeamName, bytes: usize) -> bool {
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
                && records.forget_oldest_outcome()
            {}
        }
        // The team that keeps the most gives way, so that a small team's outcomes stay.
        while self.outcome_bytes() + bytes > limits.max_outcome_bytes {
            let largest = self
                .teams
                .values_mut()
                .max_by_key(|records| records.outcome_bytes());
            if !largest.is_some_and(TeamRecords::forget_oldest_outcome) {
                return false;
            }
        }
        true
    }

    fn remove_old(&mut self, now: Instant) {
        let Some(oldest) = now.checked_sub(self.limits.lifetime) else {
            return;
        };
        let has_old = |records: &TeamRecords| {
            records
                .first_expiry()
                .is_some_and(|expires| expires <= oldest)
        };
        if !self.teams.values().any(has_old) {
            return;
        }
        for records in self.teams.values_mut() {
            for random in records.remove_expired_before(oldest) {
                self.owners.remove(&random);
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
        RecordState::Forgotten => RedeemOutcome::OutcomeDropped,
        RecordState::Finished(number) => records
            .outcome(number)
            .map_or(RedeemOutcome::OutcomeDropped, |outcome| {
                RedeemOutcome::Finished(Arc::clone(outcome))
            }),
    }
}
