//! Endpoints for operators: metrics, readiness, the state dump and recorded traces.

mod dump;
mod http;
mod metrics;
mod recent;

pub use http::router;
pub use metrics::Metrics;
pub use recent::RecentAnswers;
