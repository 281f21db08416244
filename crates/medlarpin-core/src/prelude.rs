//! Types that most modules use.

pub use std::time::{Duration, Instant};

pub use crate::answer::{NotRunReason, Outcome, ShardOutcome, UncoveredReason, UnknownReason};
pub use crate::catalog::{
    CoverageTarget, Leaf, Service, ShardMap, TeamSettings, Vm, VmList, VmState,
};
pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::ids::{
    FailureDomain, Fingerprint, Incarnation, IndexVersion, LeafId, Region, RequestId, Revision,
    ServiceName, ShardId, TeamName, VmName,
};
