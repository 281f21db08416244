//! A team's limit, divided among all daemons without shared state.

mod base;
mod demand;
mod leases;
mod ledger;
mod loans;

use std::time::Duration;

use crate::catalog::VmList;
use crate::ids::{TeamName, VmName, stable_hash};

pub use ledger::{Lease, LeaseRequest, ShareLedger};

/// Units of a rate limit for one query a second.
pub const UNITS_PER_QUERY: u64 = 1000;
/// Length of a lease of rate units.
///
/// It bounds how long a lost message or a dead daemon makes units unavailable.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);

/// What the units of a ledger limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitKind {
    /// Thousandths of a query per second.
    Rate,
    /// Queries at once.
    Concurrency {
        /// Longest time left of a query that may use borrowed units. A unit cannot be taken back
        /// from a running query, so leases are longer by this time.
        max_hold: Duration,
    },
}

impl UnitKind {
    /// Returns the time that a unit may stay in use after it was taken.
    #[must_use]
    pub fn max_hold(self) -> Duration {
        match self {
            Self::Rate => Duration::ZERO,
            Self::Concurrency { max_hold } => max_hold,
        }
    }

    /// Returns the length of a lease.
    #[must_use]
    pub fn lease_duration(self) -> Duration {
        LEASE_DURATION + self.max_hold()
    }

    /// Returns the time after which a lender has a lent unit back.
    ///
    /// With a borrower's clock 1% slow and the lender's 1% fast, the lease's end is off by
    /// 2.02%; the margin of 5% covers more than twice that.
    #[must_use]
    pub fn reclaim_delay(self) -> Duration {
        self.lease_duration() + self.lease_duration() / 20
    }

    /// Returns the time after a VM was lost before the others may use its share.
    ///
    /// The first part lets the removed daemon learn of its removal, the second lets the loans that
    /// it made until then end. With one part alone, the model of the tests exceeds the limit when
    /// the removed daemon learns of its removal up to 1 s after the others.
    #[must_use]
    pub fn raise_delay(self) -> Duration {
        self.reclaim_delay() * 2 + self.max_hold()
    }
}

/// Returns a VM's part of a team's limit; the parts of all listed VMs sum to exactly the limit.
///
/// The remainder goes to the first VMs by rendezvous hashing of team and VM. On the VMs that two
/// lists share, the shares of one list are therefore nowhere smaller than those of the other, so
/// daemons on different lists cannot exceed the limit together.
#[must_use]
pub fn base_share(limit_units: u64, team: &TeamName, me: &VmName, vms: &VmList) -> u64 {
    if vms.get(me).is_none() {
        return 0;
    }
    let score = |name: &VmName| stable_hash(&[team.as_str().as_bytes(), name.as_str().as_bytes()]);
    let mine = (score(me), me);
    let before_me = vms
        .vms()
        .iter()
        .filter(|vm| (score(&vm.name), &vm.name) < mine);
    let count = vms.vms().len() as u64;
    let gets_one_more = (before_me.count() as u64) < limit_units % count;
    limit_units / count + u64::from(gets_one_more)
}
