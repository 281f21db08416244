use std::time::Duration;

use displaydoc::Display;

use super::{Severity, ShortName};

/// What is wrong with a part of a configuration. The texts are those of the report.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Problem {
    /// never used, because the earlier route {by:?} has the same host and prefix
    HiddenRoute {
        /// Name of the earlier route.
        by: ShortName,
    },
    /// an earlier entry has the same name, which logs and metrics do not tell apart
    RepeatedName,
    /// ignored, because an earlier service has the same name
    RepeatedService,
    /// never matches, because no request names this host (a name without port, wildcard or space)
    HostCannotOccur,
    /// never matches, because a prefix begins and ends with a slash
    PrefixWithoutSlash,
    /// never matches, because the path of a request cannot contain {character:?}
    PrefixCharacter {
        /// The first such character.
        character: char,
    },
    /// never matches, because the prefix has {bytes} bytes and a request's head at most {bytes_max}
    PrefixTooLong {
        /// Length of the prefix.
        bytes: usize,
        /// Maximum size of a request's head.
        bytes_max: usize,
    },
    /// the service {service:?} gets no request, because its weight is 0 or rounds to 0
    WeightZero {
        /// The service.
        service: ShortName,
    },
    /// no route that can match names the service
    UnusedService,
    /// the shard {service:?} is named more than once and counts once
    RepeatedShard {
        /// The shard.
        service: ShortName,
    },
    /// the service {service:?} is not in the list of services, so defaults apply to it
    UnlistedService {
        /// The service.
        service: ShortName,
    },
    /// the time limit {timeout:?} is below the target latency {target:?}
    TimeoutBelowTarget {
        /// Time limit of the route.
        timeout: Duration,
        /// Target latency of the route.
        target: Duration,
    },
    /// {coverage} of {shards} shards is no whole number: an answer needs {needed} of them
    InexactCoverage {
        /// Least coverage of the route.
        coverage: f64,
        /// Number of shards of the route.
        shards: usize,
        /// Number of shards that a successful answer covers.
        needed: usize,
    },
    /// answers hold no records, because their maximum is 0
    NoRecords,
    /// a request may go to {leafs_max} leafs, but the retry budget ({ratio} per request) pays for {paid}
    AttemptsNotPaid {
        /// Leafs that a request of the route may go to.
        leafs_max: u32,
        /// Retries and hedges for each request that the budget allows.
        ratio: f64,
        /// Leafs that the budget pays for.
        paid: u32,
    },
    /// the time limit of a request's head, {header:?}, is above the idle time, {idle:?}
    HeaderTimeoutAboveIdle {
        /// Time limit of the head.
        header: Duration,
        /// Time after which an idle connection is closed.
        idle: Duration,
    },
    /// daemons use {used} instead of {published}
    ReplacedValue {
        /// The published value.
        published: f64,
        /// The value that daemons use.
        used: f64,
    },
    /// 0 leaves no time
    NoTime,
    /// 0 allows no connection to the leafs of the service
    NoConnections,
    /// the path of the health check does not begin with a slash
    HealthPathWithoutSlash,
    /// daemons ignore version {version}, because version {in_force} is in force with another content
    VersionNotNewer {
        /// Version of the reviewed configuration.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// no leaf serves the service
    NoLeaf,
    /// all leafs of the service ({leafs}) are in evacuated failure domains
    AllLeafsEvacuated {
        /// Leafs in evacuated failure domains.
        leafs: usize,
    },
    /// all leafs of the service ({leafs}) are leaving
    OnlyLeavingLeafs {
        /// Leafs that are leaving.
        leafs: usize,
    },
    /// every query is refused: {served} of {shards} shards have a leaf, and an answer needs {needed}
    CoverageLost {
        /// Shards with a leaf that may get requests.
        served: usize,
        /// Number of shards of the route.
        shards: usize,
        /// Number of shards that a successful answer covers.
        needed: usize,
    },
    /// {entries} entries of leafs cannot be read and were left out
    UnusableLeafEntries {
        /// Number of the entries.
        entries: usize,
    },
    /// the version in force cannot be decoded, so nothing is compared with it
    InForceUnusable,
    /// no leaf is in the evacuated failure domain {domain:?}
    UnknownFailureDomain {
        /// The failure domain.
        domain: ShortName,
    },
}

impl Problem {
    /// Returns how serious the problem is.
    #[must_use]
    pub fn severity(&self) -> Severity {
        match self {
            Self::VersionNotNewer { .. } => Severity::Error,
            Self::HiddenRoute { .. }
            | Self::RepeatedName
            | Self::RepeatedService
            | Self::HostCannotOccur
            | Self::PrefixWithoutSlash
            | Self::PrefixCharacter { .. }
            | Self::PrefixTooLong { .. }
            | Self::WeightZero { .. }
            | Self::UnusedService
            | Self::RepeatedShard { .. }
            | Self::UnlistedService { .. }
            | Self::TimeoutBelowTarget { .. }
            | Self::InexactCoverage { .. }
            | Self::NoRecords
            | Self::AttemptsNotPaid { .. }
            | Self::HeaderTimeoutAboveIdle { .. }
            | Self::ReplacedValue { .. }
            | Self::NoTime
            | Self::NoConnections
            | Self::HealthPathWithoutSlash
            | Self::NoLeaf
            | Self::AllLeafsEvacuated { .. }
            | Self::OnlyLeavingLeafs { .. }
            | Self::CoverageLost { .. }
            | Self::UnusableLeafEntries { .. }
            | Self::InForceUnusable
            | Self::UnknownFailureDomain { .. } => Severity::Warning,
        }
    }
}
