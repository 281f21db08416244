//! Limits of a configuration that contradict each other.

use super::{ConfigDraft, ConfigField, ConfigPart, Findings, Problem};
use crate::routing::gather_policy::shards_needed;
use crate::routing::{CallerLimits, RETRY_RATIO_USED, Route, RouteTarget, Scatter};

/// Least share of a service's requests that reach their last leaf while the failures are as frequent
/// as the retry budget can pay for. A leaf beyond that is hardly ever asked: when failures are more
/// frequent, the budget is spent before.
const LAST_LEAF_SHARE_MIN: f64 = 0.001;
/// Limit of the number of leafs that is reported as paid for.
const LEAFS_PAID_MAX: u32 = 1_000;

/// Finds limits of routes, services and callers that contradict each other; `retry_ratio` is the
/// published number of retries and hedges for each request.
pub(super) fn find(draft: &ConfigDraft, retry_ratio: f64, findings: &mut Findings) {
    let paid = attempts_paid(retry_ratio);
    for (position, route) in draft.routes.iter().enumerate() {
        let mut add = |field, problem| {
            findings.add(
                ConfigPart::route_at(position, &route.name),
                Some(field),
                problem,
            );
        };
        find_in_route(route, &mut add);
        if route.leafs_max > paid {
            let problem = Problem::AttemptsNotPaid {
                leafs_max: route.leafs_max,
                ratio: retry_ratio,
                paid,
            };
            add(ConfigField::LeafsMax, problem);
        }
    }
    find_in_services(draft, findings);
    find_in_limits(&draft.config.limits, findings);
}

fn find_in_route(route: &Route, add: &mut impl FnMut(ConfigField, Problem)) {
    if route.timeout.is_zero() {
        add(ConfigField::Timeout, Problem::NoTime);
    } else if route.target_latency.is_zero() {
        add(ConfigField::TargetLatency, Problem::NoTime);
    } else if route.timeout < route.target_latency {
        let problem = Problem::TimeoutBelowTarget {
            timeout: route.timeout,
            target: route.target_latency,
        };
        add(ConfigField::Timeout, problem);
    }
    if let RouteTarget::Scatter(scatter) = &route.target {
        if scatter.records_max == 0 {
            add(ConfigField::RecordsMax, Problem::NoRecords);
        }
        if let Some(problem) = coverage_problem(scatter) {
            add(ConfigField::CoverageMin, problem);
        }
    }
}

fn coverage_problem(scatter: &Scatter) -> Option<Problem> {
    /// Published coverages have a few decimal places; a larger difference is no rounding.
    const ROUNDING: f64 = 1e-6;
    let shards = scatter.shards.len();
    let needed = shards_needed(shards, scatter.coverage_min);
    let wanted = scatter.coverage_min * shards as f64;
    ((needed as f64 - wanted).abs() > ROUNDING).then_some(Problem::InexactCoverage {
        coverage: scatter.coverage_min,
        shards,
        needed,
    })
}

fn find_in_services(draft: &ConfigDraft, findings: &mut Findings) {
    for service in &draft.config.services {
        let mut add = |field, problem| {
            findings.add(
                ConfigPart::service(service.name.as_str()),
                Some(field),
                problem,
            );
        };
        if service.connections_max == 0 {
            add(ConfigField::ConnectionsMax, Problem::NoConnections);
        }
        if !service.health_path.starts_with('/') {
            add(ConfigField::HealthPath, Problem::HealthPathWithoutSlash);
        }
    }
}

fn find_in_limits(limits: &CallerLimits, findings: &mut Findings) {
    let mut add = |field, problem| findings.add(ConfigPart::Limits, Some(field), problem);
    if limits.header_bytes < CallerLimits::HEADER_BYTES_MIN {
        let problem = Problem::ReplacedValue {
            published: limits.header_bytes as f64,
            used: CallerLimits::HEADER_BYTES_MIN as f64,
        };
        add(ConfigField::HeaderBytes, problem);
    }
    if limits.header_timeout > limits.idle_timeout {
        let problem = Problem::HeaderTimeoutAboveIdle {
            header: limits.header_timeout,
            idle: limits.idle_timeout,
        };
        add(ConfigField::HeaderTimeout, problem);
    }
    if limits.header_timeout.is_zero() {
        add(ConfigField::HeaderTimeout, Problem::NoTime);
    }
}

/// Returns the number of leafs that one request may usefully go to with a retry budget of
/// `retry_ratio` retries and hedges for each request.
///
/// If each leaf request fails with probability p, a request needs p + p² + ... further ones, and the
/// budget pays for this up to p = b / (1 + b). The share p^(n-1) of the requests reaches the n-th leaf.
#[must_use]
pub fn attempts_paid(retry_ratio: f64) -> u32 {
    let budget = (retry_ratio * RETRY_RATIO_USED).max(0.0);
    let failing = budget / (1.0 + budget);
    let mut share = 1.0;
    let mut paid = 1;
    while paid < LEAFS_PAID_MAX && share * failing >= LAST_LEAF_SHARE_MIN {
        share *= failing;
        paid += 1;
    }
    paid
}
