//! Endpoints for operators: metrics, readiness and the state dump.

mod dump;
mod http;
mod metrics;
mod recent;

pub use http::router;
pub use metrics::Metrics;
pub use recent::RecentAnswers;
