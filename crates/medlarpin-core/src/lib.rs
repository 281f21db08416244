//! Decision logic of the query tier, without I/O and independent of any async runtime.
//!
//! Functions that depend on time take it as an argument, so that tests, the specification and trace
//! replay run the production code.

pub mod answer;
pub mod canary;
pub mod catalog;
pub mod client_pressure;
pub mod clock;
pub mod concurrency_limiter;
pub mod coverage;
pub mod extra_budget;
pub mod fair_queue;
pub mod hedge_timer;
pub mod ids;
pub mod latency_window;
pub mod leaf_state;
pub mod load_shedder;
pub mod membership;
pub mod outlier;
pub mod ownership;
pub mod pause;
pub mod plan;
pub mod prelude;
pub mod rate_limiter;
pub mod revision_store;
pub mod routing;
pub mod settings_tree;
pub mod sliding_window;
pub mod team_share;
pub mod tickets;
pub mod version_choice;
