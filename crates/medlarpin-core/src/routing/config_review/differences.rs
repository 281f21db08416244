//! Differences between two configurations, part by part and field by field.

use std::sync::Arc;

use super::{
    BoundedList, Change, ConfigDifference, ConfigField, ConfigPart, FieldValue, ShortName,
    TargetSummary,
};
use crate::ids::ServiceName;
use crate::routing::{CallerLimits, Route, RouteTarget, RoutedService, RoutingConfig, Scatter};

/// Maximum number of differences that a report lists.
const DIFFERENCES_MAX: usize = 1_000;

type Pair<'a> = (Option<&'a Arc<Route>>, Option<&'a Arc<Route>>);

/// Returns how `to` differs from `from`, as daemons use them.
///
/// Routes are the same if their names are; those that are left are the same if their hosts and
/// prefixes are.
#[must_use]
pub fn config_differences(
    from: &RoutingConfig,
    to: &RoutingConfig,
) -> BoundedList<ConfigDifference> {
    let mut list = BoundedList::new(DIFFERENCES_MAX);
    for pair in pair_routes(from, to) {
        match pair {
            (None, Some(route)) => {
                let change = Change::RouteAdded(TargetSummary::new(&route.target));
                push(&mut list, ConfigPart::route(&route.name), change);
            }
            (Some(route), None) => {
                let change = Change::RouteRemoved(TargetSummary::new(&route.target));
                push(&mut list, ConfigPart::route(&route.name), change);
            }
            (Some(from), Some(to)) => compare_routes(from, to, &mut list),
            (None, None) => {}
        }
    }
    compare_services(&from.services, &to.services, &mut list);
    compare_limits(&from.limits, &to.limits, &mut list);
    list
}

fn push(list: &mut BoundedList<ConfigDifference>, part: ConfigPart, change: Change) {
    list.push(ConfigDifference { part, change });
}

fn pair_routes<'a>(from: &'a RoutingConfig, to: &'a RoutingConfig) -> Vec<Pair<'a>> {
    let by_name = |route: &Arc<Route>| Arc::clone(&route.name);
    let by_place = |route: &Arc<Route>| (Arc::clone(&route.host), Arc::clone(&route.prefix));
    let from: Vec<_> = from.routes.routes().iter().collect();
    let to: Vec<_> = to.routes.routes().iter().collect();
    let (mut pairs, from, to) = pair_by(from, to, by_name);
    let (others, from, to) = pair_by(from, to, by_place);
    pairs.extend(others);
    pairs.extend(from.into_iter().map(|route| (Some(route), None)));
    pairs.extend(to.into_iter().map(|route| (None, Some(route))));
    pairs
}

/// Pairs the routes with equal keys; returns the pairs and the routes of both sides that are left.
fn pair_by<'a, K: Ord>(
    mut from: Vec<&'a Arc<Route>>,
    mut to: Vec<&'a Arc<Route>>,
    key: impl Fn(&Arc<Route>) -> K,
) -> (Vec<Pair<'a>>, Vec<&'a Arc<Route>>, Vec<&'a Arc<Route>>) {
    // The sort is stable, so routes with the same name are paired in the order of host and prefix.
    from.sort_by_cached_key(|route| key(route));
    to.sort_by_cached_key(|route| key(route));
    let (mut pairs, mut from_left, mut to_left) = (Vec::new(), Vec::new(), Vec::new());
    let (mut from, mut to) = (from.into_iter().peekable(), to.into_iter().peekable());
    while let (Some(a), Some(b)) = (from.peek(), to.peek()) {
        match key(a).cmp(&key(b)) {
            std::cmp::Ordering::Less => from_left.extend(from.next()),
            std::cmp::Ordering::Greater => to_left.extend(to.next()),
            std::cmp::Ordering::Equal => pairs.push((from.next(), to.next())),
        }
    }
    from_left.extend(from);
    to_left.extend(to);
    (pairs, from_left, to_left)
}

fn compare_routes(from: &Route, to: &Route, list: &mut BoundedList<ConfigDifference>) {
    if from == to {
        return;
    }
    if let Some(change) = target_change(&from.target, &to.target) {
        push(list, ConfigPart::route(&to.name), change);
    }
    let fields = [
        (
            ConfigField::Name,
            FieldValue::text(&from.name),
            FieldValue::text(&to.name),
        ),
        (
            ConfigField::Host,
            FieldValue::text(&from.host),
            FieldValue::text(&to.host),
        ),
        (
            ConfigField::Prefix,
            FieldValue::text(&from.prefix),
            FieldValue::text(&to.prefix),
        ),
        (
            ConfigField::Repeatability,
            FieldValue::Repeatability(from.repeatability),
            FieldValue::Repeatability(to.repeatability),
        ),
        (
            ConfigField::LeafsMax,
            from.leafs_max.into(),
            to.leafs_max.into(),
        ),
        (ConfigField::Timeout, from.timeout.into(), to.timeout.into()),
        (
            ConfigField::TargetLatency,
            from.target_latency.into(),
            to.target_latency.into(),
        ),
        (
            ConfigField::Priority,
            from.priority.into(),
            to.priority.into(),
        ),
    ];
    compare_fields(&ConfigPart::route(&to.name), fields, list);
    if let (RouteTarget::Scatter(from), RouteTarget::Scatter(scatter)) = (&from.target, &to.target)
    {
        let fields = [
            (
                ConfigField::RecordsMax,
                from.records_max.into(),
                scatter.records_max.into(),
            ),
            (
                ConfigField::CoverageMin,
                FieldValue::Share(from.coverage_min),
                FieldValue::Share(scatter.coverage_min),
            ),
        ];
        compare_fields(&ConfigPart::route(&to.name), fields, list);
    }
}

fn target_change(from: &RouteTarget, to: &RouteTarget) -> Option<Change> {
    if from == to {
        return None;
    }
    let summaries = || (TargetSummary::new(from), TargetSummary::new(to));
    match (from, to) {
        (RouteTarget::Scatter(from), RouteTarget::Scatter(to)) => shards_change(from, to),
        (_, RouteTarget::Split(_)) => {
            let (from, to) = summaries();
            Some(Change::Split { from, to })
        }
        _ => {
            let (from, to) = summaries();
            Some(Change::Moved { from, to })
        }
    }
}

fn shards_change(from: &Scatter, to: &Scatter) -> Option<Change> {
    let missing_in = |shards: &[ServiceName], other: &[ServiceName]| -> Vec<ServiceName> {
        let missing = shards
            .iter()
            .filter(|shard| other.binary_search(shard).is_err());
        missing.cloned().collect()
    };
    let added = missing_in(&to.shards, &from.shards);
    let removed = missing_in(&from.shards, &to.shards);
    let first = added.first().or(removed.first())?;
    Some(Change::Shards {
        from: from.shards.len(),
        to: to.shards.len(),
        added: added.len(),
        removed: removed.len(),
        first: ShortName::new(first.as_str()),
    })
}

fn compare_fields<const N: usize>(
    part: &ConfigPart,
    fields: [(ConfigField, FieldValue, FieldValue); N],
    list: &mut BoundedList<ConfigDifference>,
) {
    for (field, from, to) in fields {
        if from != to {
            push(list, part.clone(), Change::Field { field, from, to });
        }
    }
}

fn compare_services(
    from: &[RoutedService],
    to: &[RoutedService],
    list: &mut BoundedList<ConfigDifference>,
) {
    let find = |services: &[RoutedService], name: &ServiceName| {
        services.binary_search_by(|service| service.name.cmp(name))
    };
    for service in to {
        let part = ConfigPart::service(service.name.as_str());
        match find(from, &service.name) {
            Ok(index) => compare_service(&part, &from[index], service, list),
            Err(_) => push(list, part, Change::ServiceAdded),
        }
    }
    for service in from {
        if find(to, &service.name).is_err() {
            let part = ConfigPart::service(service.name.as_str());
            push(list, part, Change::ServiceRemoved);
        }
    }
}

fn compare_service(
    part: &ConfigPart,
    from: &RoutedService,
    to: &RoutedService,
    list: &mut BoundedList<ConfigDifference>,
) {
    let fields = [
        (
            ConfigField::ConnectionsMax,
            from.connections_max.into(),
            to.connections_max.into(),
        ),
        (
            ConfigField::HealthPath,
            FieldValue::text(&from.health_path),
            FieldValue::text(&to.health_path),
        ),
    ];
    compare_fields(part, fields, list);
}

fn compare_limits(
    from: &CallerLimits,
    to: &CallerLimits,
    list: &mut BoundedList<ConfigDifference>,
) {
    let fields = [
        (
            ConfigField::HeaderBytes,
            from.header_bytes.into(),
            to.header_bytes.into(),
        ),
        (
            ConfigField::BodyBytes,
            from.body_bytes.into(),
            to.body_bytes.into(),
        ),
        (
            ConfigField::HeaderTimeout,
            from.header_timeout.into(),
            to.header_timeout.into(),
        ),
        (
            ConfigField::IdleTimeout,
            from.idle_timeout.into(),
            to.idle_timeout.into(),
        ),
    ];
    compare_fields(&ConfigPart::Limits, fields, list);
}
