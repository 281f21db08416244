//! Division of a team's limit among all daemons, without shared state.

mod base_share;
mod demand;
mod leases;
mod ledger;
mod loans;

use std::time::Duration;

use crate::catalog::VmList;
use crate::ids::{TeamName, VmName, stable_hash};

pub use ledger::{Lease, LeaseRequest, ShareLedger};

/// Units of a rate limit that allow one query per second.
pub const UNITS_PER_QUERY: u64 = 1000;
/// Duration of a lease of rate units.
///
/// Bounds the time for which a lost message or a dead daemon makes units unavailable.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);

/// What the units of a ledger limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitKind {
    /// Thousandths of a query per second.
    Rate,
    /// Concurrent queries.
    Concurrency {
        /// Maximum time for which a query may hold a unit. A unit cannot be taken back from a
        /// running query, so this is added to the duration of a lease.
        max_hold: Duration,
    },
}

impl UnitKind {
    /// Returns the maximum time for which a unit stays in use after it was acquired.
    #[must_use]
    pub fn max_hold(self) -> Duration {
        match self {
            Self::Rate => Duration::ZERO,
            Self::Concurrency { max_hold } => max_hold,
        }
    }

    /// Returns the duration of a lease on the borrower's clock.
    #[must_use]
    pub fn lease_duration(self) -> Duration {
        LEASE_DURATION + self.max_hold()
    }

    /// Returns the time after which a lender may use a lent unit again, on its own clock.
    ///
    /// If the borrower's clock is 1% slow and the lender's 1% fast, the lease expires 2.02% late on
    /// the lender's clock. The margin of 5% is more than twice that.
    #[must_use]
    pub fn reclaim_delay(self) -> Duration {
        self.lease_duration() + self.lease_duration() / 20
    }

    /// Returns the time that the others wait after the removal of a VM before they use its share.
    ///
    /// Within the first [`Self::reclaim_delay`] the removed daemon learns of its removal; within
    /// the second, the loans that it made until then expire. With only one of them, the model in
    /// the tests exceeds the limit if the removed daemon learns of its removal up to 1 s after the
    /// others.
    #[must_use]
    pub fn raise_delay(self) -> Duration {
        self.reclaim_delay() * 2 + self.max_hold()
    }
}

/// Returns a VM's share of a team's limit; the shares of all listed VMs sum to exactly the limit.
///
/// The remainder of the division goes to the first VMs by rendezvous hashing of team and VM. Of two
/// lists, therefore, one gives every VM that is in both at least the share that the other gives it,
/// so daemons that use different lists cannot exceed the limit together.
#[must_use]
pub fn base_share(limit_units: u64, team: &TeamName, vm: &VmName, vms: &VmList) -> u64 {
    if vms.get(vm).is_none() {
        return 0;
    }
    let score = |name: &VmName| stable_hash(&[team.as_str().as_bytes(), name.as_str().as_bytes()]);
    let own_rank = (score(vm), vm);
    let earlier = vms
        .vms()
        .iter()
        .filter(|other| (score(&other.name), &other.name) < own_rank);
    let count = vms.vms().len() as u64;
    let has_remainder_unit = (earlier.count() as u64) < limit_units % count;
    limit_units / count + u64::from(has_remainder_unit)
}
