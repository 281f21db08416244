//! Routing of callers' requests over published routes and leafs: discovery, load balancing, retries
//! and scatter-gather.

mod call_attempts;
mod change_log;
mod cold_leaf_bound;
mod config_check;
pub mod config_review;
mod daemon_list;
mod delegate_selector;
mod dispatch;
mod evacuated_domains;
mod gather_policy;
mod handover_selector;
mod known_daemon;
mod leaf_directory;
mod leaf_entry;
mod leaf_load;
mod leaf_rate_limit;
mod leaf_warm_up;
mod link_suspicion;
mod load_statement;
mod memory_budget;
mod not_run;
mod observation_time;
mod probe_due;
mod query_admission;
mod rate_access;
mod rate_statement;
mod ratio_evidence;
mod replica_choice;
mod report_delivery;
mod report_owners;
mod request_rate;
mod retry_budget;
mod route;
mod route_latency;
mod route_table;
mod routing_config;
mod run_ledger;
mod source_selector;
mod stated_departures;
mod stated_load;
mod stated_rate;
mod statement_trust;
mod store_revision;
mod top_records;
mod usual_ratio;
mod watch_cursor;
mod weighted_round_robin;

pub use call_attempts::CallAttempts;
pub use change_log::ChangeLog;
pub use cold_leaf_bound::{ColdLeafBound, ColdLeafPlan};
pub use config_check::{CONFIG_CHECK_TIME_MAX, ConfigCheck};
pub use daemon_list::{
    DEFAULT_DAEMON_COUNT, DISCOVERY_TIME, DaemonList, HERD_START_SPREAD, ISOLATED_AFTER,
    LIMIT_SILENCE_TIMEOUT, ProcessStart, SILENCE_TIMEOUT,
};
pub use delegate_selector::{
    CAPACITY_RATIO_MIN, DELEGATE_BACK_OFF, DelegateSelector, LEAF_REQUEST_CPU, OWN_CPU_SHARE_MAX,
};
pub use dispatch::{Dispatch, NoRunReason};
pub use evacuated_domains::{EvacuatedDomains, Evacuation, EvacuationChanges, RETURNS_MAX};
pub use gather_policy::{GatherPolicy, GatherStep};
pub use handover_selector::{
    HANDOVER_BACK_OFF, HANDOVER_RETRY_DELAY, HANDOVERS_MAX, HANDOVERS_MAX_AFTER_FAILURE, HINTS_MAX,
    HandoverSelector, SERVED_MEMORY,
};
pub use known_daemon::KnownDaemon;
pub use leaf_directory::{
    DEPARTED_MEMORY, LAPSED_ENTRY_RETURN_TIME, LeafDirectory, RESTORED_ENTRY_LIFETIME,
};
pub use leaf_entry::{LeafEntry, LeafPhase};
pub use leaf_load::{
    FAILURE_BACK_OFF_MAX, FAILURE_BACK_OFF_MIN, LEAF_SILENCE_TIMEOUT, LeafLoad, PAUSE_MAX,
    SHED_BACK_OFF, UNANSWERED_MIN, Unreachable,
};
pub use leaf_rate_limit::LeafRateLimit;
pub use leaf_warm_up::LeafWarmUp;
pub use link_suspicion::LinkSuspicion;
pub use load_statement::LoadStatement;
pub use memory_budget::MemoryBudget;
pub use not_run::NotRun;
pub use observation_time::{OUTAGE_MIN, ObservationTime};
pub use probe_due::ProbeDue;
pub use query_admission::{QueryAdmission, SHARD_ALIVE_TIME};
pub use rate_access::{RateAccess, is_dense};
pub use rate_statement::RateStatement;
pub use ratio_evidence::RatioEvidence;
pub use replica_choice::{Candidate, choose_replica};
pub use report_delivery::{RESEND_DELAY, ReportDelivery};
pub use report_owners::{REPORT_OWNERS, report_owners};
pub use request_rate::RequestRate;
pub use retry_budget::{
    RESERVE_PARTS_MAX, RETRY_RATIO_USED, RetryBudget, RetryLimits, reserve_parts,
};
pub use route::{Repeatability, Route, RouteTarget, Scatter, WeightedService};
pub use route_latency::RouteLatency;
pub use route_table::RouteTable;
pub use routing_config::{CallerLimits, ConfigVersion, RoutedService, RoutingConfig};
pub use run_ledger::RunLedger;
pub use source_selector::{
    FOLLOWER_RETRY_INTERVAL, FOLLOWERS_MAX, SOURCE_BACK_OFF_MAX, SOURCE_BACK_OFF_MIN, Source,
    SourceSelector, WATCHER_RETRY_INTERVAL, WATCHERS_MIN,
};
pub use stated_departures::{STATED_DEPARTURE_MEMORY, StatedDepartures};
pub use stated_load::StatedLoad;
pub use stated_rate::StatedRate;
pub use store_revision::StoreRevision;
pub use top_records::{RECORD_BYTES, top_records};
pub use watch_cursor::{NextRead, WatchCursor};
pub use weighted_round_robin::WeightedRoundRobin;
