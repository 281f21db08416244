//! Serves published routes: forwards a request to one leaf or gathers the answers of all shards.

mod attempt;
mod attempt_end;
mod caller_request;
mod callers;
mod connections;
mod delegation;
mod discovery;
mod error;
mod event;
mod leaf;
mod leaf_table;
mod metrics;
mod operators;
mod peers;
mod published;
mod readiness;
mod refusal;
mod route_state;
mod router;
mod scatter;
mod service_call;
mod shared;
mod single;
mod stdout_log;

pub use crate::error::RouterError;
pub use crate::router::Router;
pub use crate::stdout_log::{LogError, install as install_log};
