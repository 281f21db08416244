use super::{
    BoundedList, ConfigDifference, ConfigDraft, ConfigField, ConfigPart, Findings, LeafSurvey,
    Problem, RequestExample, config_differences, contradictions, moved_requests, unmatched_entries,
};
use crate::routing::RoutingConfig;

/// What a review compares a configuration with.
#[derive(Debug, Clone, Copy)]
pub struct ReviewContext<'a> {
    /// The configuration in force, if it is known.
    pub in_force: Option<&'a RoutingConfig>,
    /// The published leafs, if they are known.
    pub leafs: Option<&'a LeafSurvey>,
    /// Retries and hedges that daemons may send for each request, as published.
    pub retry_ratio: f64,
}

/// How a configuration differs from the one in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Differences {
    /// Differences of routes, services and limits.
    pub parts: BoundedList<ConfigDifference>,
    /// Requests that are answered elsewhere.
    pub examples: BoundedList<RequestExample>,
}

/// The result of a review.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigReview {
    /// What is wrong with the configuration.
    pub findings: Findings,
    /// How it differs from the one in force, if that is known.
    pub differences: Option<Differences>,
}

/// Reviews a configuration that daemons can decode.
#[must_use]
pub fn review_config(draft: &ConfigDraft, context: &ReviewContext<'_>) -> ConfigReview {
    let mut findings = draft.decoding.clone();
    if let Some(in_force) = context.in_force {
        find_stale_version(&draft.config, in_force, &mut findings);
    }
    unmatched_entries::find(draft, &mut findings);
    contradictions::find(draft, context.retry_ratio, &mut findings);
    if let Some(leafs) = context.leafs {
        leafs.find(draft, &mut findings);
    }
    let differences = context.in_force.map(|in_force| Differences {
        parts: config_differences(in_force, &draft.config),
        examples: moved_requests(in_force, &draft.config),
    });
    ConfigReview {
        findings,
        differences,
    }
}

/// Daemons put a configuration in force only if its version is higher than the one in force.
fn find_stale_version(config: &RoutingConfig, in_force: &RoutingConfig, findings: &mut Findings) {
    if config.version > in_force.version || config == in_force {
        return;
    }
    findings.add(
        ConfigPart::Whole,
        Some(ConfigField::Version),
        Problem::VersionNotNewer {
            version: config.version.0,
            in_force: in_force.version.0,
        },
    );
}
