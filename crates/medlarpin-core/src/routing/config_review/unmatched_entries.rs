//! Entries of a configuration that no request ever matches.

use super::{ConfigDraft, ConfigField, ConfigPart, Findings, Problem, ShortName};
use crate::ids::ServiceName;
use crate::routing::{CallerLimits, Route, RouteTarget};

/// Maximum length of a host name in the Domain Name System.
const HOST_BYTES_MAX: usize = 253;

/// Finds routes that an earlier one hides, hosts and prefixes that no request has, split parts
/// without a share, and services that no route names.
pub(super) fn find(draft: &ConfigDraft, findings: &mut Findings) {
    let hiding = hiding_routes(draft);
    let repeated = is_repeated(&draft.routes, |route| &*route.name);
    for (position, route) in draft.routes.iter().enumerate() {
        let mut add = |field, problem| {
            findings.add(
                ConfigPart::route_at(position, &route.name),
                Some(field),
                problem,
            );
        };
        if repeated[position] {
            add(ConfigField::Name, Problem::RepeatedName);
        }
        if let Some(first) = hiding[position] {
            let by = ShortName::new(&draft.routes[first].name);
            add(ConfigField::Prefix, Problem::HiddenRoute { by });
        }
        if !host_can_occur(&route.host) {
            add(ConfigField::Host, Problem::HostCannotOccur);
        }
        if let Some(problem) = prefix_problem(&route.prefix, &draft.config.limits) {
            add(ConfigField::Prefix, problem);
        }
        if let RouteTarget::Split(parts) = &route.target {
            for part in parts.iter().filter(|part| part.weight == 0) {
                let service = ShortName::new(part.service.as_str());
                add(ConfigField::Split, Problem::WeightZero { service });
            }
        }
    }
    find_services(draft, findings);
}

/// Returns true if a request can match the route, provided that no earlier one hides it.
pub(super) fn can_match(route: &Route, limits: &CallerLimits) -> bool {
    host_can_occur(&route.host) && prefix_problem(&route.prefix, limits).is_none()
}

/// Finds services that are listed and not used, and those that are used and not listed.
fn find_services(draft: &ConfigDraft, findings: &mut Findings) {
    let repeated = is_repeated(&draft.services, ServiceName::as_str);
    let used = used_services(draft);
    for (position, service) in draft.services.iter().enumerate() {
        let mut add = |problem| {
            findings.add(
                ConfigPart::service_at(position, service.as_str()),
                Some(ConfigField::Name),
                problem,
            );
        };
        if repeated[position] {
            add(Problem::RepeatedService);
        } else if used.binary_search(service).is_err() {
            add(Problem::UnusedService);
        }
    }
    let mut listed: Vec<&ServiceName> = draft.services.iter().collect();
    listed.sort_unstable();
    for (position, route) in draft.routes.iter().enumerate() {
        let field = match route.target {
            RouteTarget::Service(_) => ConfigField::Service,
            RouteTarget::Split(_) => ConfigField::Split,
            RouteTarget::Scatter(_) => ConfigField::Shards,
        };
        let services = route.target.service_sets().into_iter().flatten();
        for service in services.filter(|service| listed.binary_search(service).is_err()) {
            let service = ShortName::new(service.as_str());
            findings.add(
                ConfigPart::route_at(position, &route.name),
                Some(field),
                Problem::UnlistedService { service },
            );
        }
    }
}

/// Returns the services that requests can reach, sorted, without duplicates.
pub(super) fn used_services(draft: &ConfigDraft) -> Vec<ServiceName> {
    let config = &draft.config;
    let mut used: Vec<ServiceName> = config
        .routes
        .routes()
        .iter()
        .filter(|route| can_match(route, &config.limits))
        .flat_map(|route| services_with_requests(&route.target))
        .cloned()
        .collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// Returns the services that a target sends requests to.
pub(super) fn services_with_requests(target: &RouteTarget) -> Vec<&ServiceName> {
    match target {
        RouteTarget::Service(service) => vec![service],
        RouteTarget::Split(parts) => parts
            .iter()
            .filter(|part| part.weight > 0)
            .map(|part| &part.service)
            .collect(),
        RouteTarget::Scatter(scatter) => scatter.shards.iter().collect(),
    }
}

/// Returns for each route the position of the earlier one with the same host and prefix.
fn hiding_routes(draft: &ConfigDraft) -> Vec<Option<usize>> {
    let key = |position: &usize| {
        let route = &draft.routes[*position];
        (&*route.host, &*route.prefix)
    };
    let mut order: Vec<usize> = (0..draft.routes.len()).collect();
    order.sort_by(|a, b| key(a).cmp(&key(b)));
    let mut hiding = vec![None; order.len()];
    for same in order.chunk_by(|a, b| key(a) == key(b)) {
        for position in &same[1..] {
            hiding[*position] = Some(same[0]);
        }
    }
    hiding
}

/// Returns for each element whether an earlier one has the same name.
fn is_repeated<T>(elements: &[T], name: impl Fn(&T) -> &str) -> Vec<bool> {
    let mut order: Vec<usize> = (0..elements.len()).collect();
    order.sort_by(|a, b| name(&elements[*a]).cmp(name(&elements[*b])));
    let mut repeated = vec![false; order.len()];
    for same in order.chunk_by(|a, b| name(&elements[*a]) == name(&elements[*b])) {
        for position in &same[1..] {
            repeated[*position] = true;
        }
    }
    repeated
}

fn host_can_occur(host: &str) -> bool {
    (1..=HOST_BYTES_MAX).contains(&host.len())
        && host
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-._".contains(&byte))
}

fn prefix_problem(prefix: &str, limits: &CallerLimits) -> Option<Problem> {
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Some(Problem::PrefixWithoutSlash);
    }
    let bytes_max = limits.header_bytes.max(CallerLimits::HEADER_BYTES_MIN);
    if prefix.len() > bytes_max {
        return Some(Problem::PrefixTooLong {
            bytes: prefix.len(),
            bytes_max,
        });
    }
    // A question mark or number sign ends the path; the others are not part of any URI.
    let character = prefix
        .chars()
        .find(|c| c.is_whitespace() || c.is_control() || "?#<>`".contains(*c))?;
    Some(Problem::PrefixCharacter { character })
}
