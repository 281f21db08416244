//! Serves published routes: forwards a request to one leaf, or fans a query out to all shards and
//! merges their answers.

mod attempt;
mod attempt_result;
mod call_evidence;
mod caller_request;
mod callers;
mod config_sync;
mod connections;
mod crash_memory;
mod crash_reports;
mod delegation;
mod discovery;
mod error;
mod event;
mod evidence_recorder;
mod flooding;
mod forward;
mod handover;
mod held_memory;
mod leaf;
mod leaf_permits;
mod leaf_probe;
mod leaf_rate_reports;
mod leaf_rates;
mod leaf_table;
mod loss_check;
mod metrics;
mod operators;
mod peer_pool;
mod peers;
mod planned_stop;
mod published_items;
mod readiness;
mod refusal;
mod route_state;
mod router;
mod scatter;
mod service_call;
mod shared;
mod stdout_log;
mod supervised;
mod unlisted_leafs;

pub use crate::error::RouterError;
pub use crate::router::Router;
pub use crate::stdout_log::{LogError, install as install_log};
pub use crate::supervised::run_supervised;
