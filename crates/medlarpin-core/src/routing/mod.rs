//! Published routes and the leafs that serve them: where a caller's request goes, how often, and
//! when it is answered.

mod change_log;
mod daemon_list;
mod delegate_choice;
mod gather_policy;
mod known_daemon;
mod leaf_directory;
mod leaf_entry;
mod leaf_load;
mod repeat_budget;
mod replica_choice;
mod route;
mod route_pace;
mod route_table;
mod routing_config;
mod source_choice;
mod split_choice;
mod top_records;
mod watch_cursor;

pub use change_log::ChangeLog;
pub use daemon_list::{DAEMONS_ASSUMED, DaemonList, FORGOTTEN_AFTER, SETTLED_AFTER};
pub use delegate_choice::{
    AVOIDED_FOR, CAPACITY_RATIO_MIN, DelegateChoice, LEAF_REQUEST_CPU, OWN_CPU_SHARE_MAX,
};
pub use gather_policy::{GatherPolicy, GatherStep};
pub use known_daemon::KnownDaemon;
pub use leaf_directory::LeafDirectory;
pub use leaf_entry::{LeafEntry, LeafPhase};
pub use leaf_load::{FAILURE_BACK_OFF_MAX, FAILURE_BACK_OFF_MIN, LeafLoad, SHED_BACK_OFF};
pub use repeat_budget::{RepeatBudget, RepeatLimits};
pub use replica_choice::{Candidate, choose_replica};
pub use route::{Repeatability, Route, RouteTarget, Scatter, WeightedService};
pub use route_pace::RoutePace;
pub use route_table::RouteTable;
pub use routing_config::{CallerLimits, ConfigVersion, RoutedService, RoutingConfig};
pub use source_choice::{
    FAILED_FOR_MAX, FAILED_FOR_MIN, FOLLOWER_RETRY, FOLLOWERS_MAX, Source, SourceChoice,
    WATCHER_RETRY, WATCHERS_MIN,
};
pub use split_choice::SplitChoice;
pub use top_records::{RECORD_BYTES, top_records};
pub use watch_cursor::{NextRead, WatchCursor};
