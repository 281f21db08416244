//! Units that this daemon has lent to others.

use std::time::Instant;

use crate::ids::VmName;

#[derive(Debug, Clone)]
struct Loan {
    borrower: VmName,
    units: u64,
    /// Time until which the units are unavailable to the lender.
    until: Instant,
}

/// Loans of units that other daemons may be using.
#[derive(Debug, Clone, Default)]
pub(super) struct Loans {
    /// Sorted by borrower.
    loans: Vec<Loan>,
}

impl Loans {
    pub(super) fn add(&mut self, borrower: &VmName, units: u64, until: Instant) {
        // A renewal covers the same units, so it replaces older loans that have no more units and
        // expire no later.
        self.loans
            .retain(|loan| loan.borrower != *borrower || loan.units > units || loan.until > until);
        let index = self.loans.partition_point(|loan| loan.borrower < *borrower);
        let loan = Loan {
            borrower: borrower.clone(),
            units,
            until,
        };
        self.loans.insert(index, loan);
    }

    /// Returns the units lent to all borrowers, or to all others if `except` names one.
    ///
    /// The loans of one borrower cover the same units, so the largest counts.
    pub(super) fn units(&self, except: Option<&VmName>, now: Instant) -> u64 {
        let by_borrower = self.loans.chunk_by(|a, b| a.borrower == b.borrower);
        let others = by_borrower.filter(|loans| loans.first().map(|loan| &loan.borrower) != except);
        others
            .map(|loans| {
                let current = loans.iter().filter(|loan| now < loan.until);
                current.map(|loan| loan.units).max().unwrap_or(0)
            })
            .sum()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.loans.retain(|loan| now < loan.until);
    }
}
