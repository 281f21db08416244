//! Review of a configuration before it is published: what can never match, which limits contradict
//! each other, which services no leaf serves, and what changes for callers.
//!
//! The functions see the configuration as daemons decode it and change nothing.

mod bounded_list;
mod config_difference;
mod config_draft;
mod config_field;
mod config_part;
mod contradictions;
mod differences;
mod field_value;
mod finding;
mod findings;
mod leaf_survey;
mod moved_requests;
mod problem;
mod request_example;
mod review;
mod short_name;
mod target_summary;
mod unmatched_entries;

pub use bounded_list::BoundedList;
pub use config_difference::{Change, ConfigDifference};
pub use config_draft::ConfigDraft;
pub use config_field::ConfigField;
pub use config_part::ConfigPart;
pub use contradictions::attempts_paid;
pub use differences::config_differences;
pub use field_value::FieldValue;
pub use finding::{Finding, Severity};
pub use findings::{FINDINGS_MAX, Findings};
pub use leaf_survey::{LeafSurvey, ServiceLeafs};
pub use moved_requests::moved_requests;
pub use problem::Problem;
pub use request_example::RequestExample;
pub use review::{ConfigReview, Differences, ReviewContext, review_config};
pub use short_name::{NAME_CHARS_MAX, ShortName};
pub use target_summary::TargetSummary;
