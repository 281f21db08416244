//! Tests of the review of a configuration: each finding on a configuration that has just this
//! problem, differences, and example requests.

use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::config_review::{
    ConfigDraft, ConfigField, ConfigPart, FINDINGS_MAX, Findings, LeafSurvey, ReviewContext,
    attempts_paid, moved_requests, review_config,
};
use medlarpin_core::routing::{
    CallerLimits, ConfigVersion, LeafEntry, LeafPhase, Repeatability, Route, RouteTable,
    RouteTarget, RoutedService, RoutingConfig, Scatter, WeightedService,
};
use proptest::prelude::*;

const RETRY_RATIO: f64 = 0.2;

/// A configuration in published order, whose routes and services tests replace.
#[derive(Debug, Clone)]
struct Draft {
    version: u64,
    routes: Vec<Route>,
    services: Vec<RoutedService>,
    limits: CallerLimits,
}

impl Draft {
    fn decoded(&self) -> ConfigDraft {
        let routes: Vec<Arc<Route>> = self.routes.iter().cloned().map(Arc::new).collect();
        let names = self.services.iter().map(|service| service.name.clone());
        let mut services = self.services.clone();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services.dedup_by(|later, first| later.name == first.name);
        ConfigDraft {
            config: RoutingConfig {
                version: ConfigVersion(self.version),
                routes: RouteTable::new(routes.clone()),
                services,
                limits: self.limits,
            },
            routes,
            services: names.collect(),
            decoding: Findings::default(),
        }
    }
}

/// Two routes and three services without any problem.
fn valid() -> Draft {
    Draft {
        version: 2,
        routes: vec![
            route("orders", "o.example", "/v1/", to_service("a")),
            route("search", "s.example", "/", scatter(&["b", "c"], 0.5)),
        ],
        services: ["a", "b", "c"].map(service).to_vec(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 65_536,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        },
    }
}

fn route(name: &str, host: &str, prefix: &str, target: RouteTarget) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        target,
        repeatability: Repeatability::Idempotent,
        leafs_max: 2,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(60),
        priority: 1,
    }
}

fn service(name: &str) -> RoutedService {
    RoutedService {
        name: name.into(),
        connections_max: 32,
        health_path: "/health".into(),
        warm_up: Duration::ZERO,
        cold_rate: None,
    }
}

fn to_service(name: &str) -> RouteTarget {
    RouteTarget::Service(name.into())
}

fn split(parts: &[(&str, u32)]) -> RouteTarget {
    let parts = parts.iter().map(|(name, weight)| WeightedService {
        service: (*name).into(),
        weight: *weight,
    });
    RouteTarget::Split(parts.collect())
}

fn scatter(shards: &[&str], coverage_min: f64) -> RouteTarget {
    RouteTarget::Scatter(Scatter {
        shards: shards.iter().map(|shard| ServiceName::new(shard)).collect(),
        records_max: 10,
        coverage_min,
    })
}

fn leaf(service: &str, domain: &str, phase: LeafPhase) -> LeafEntry {
    LeafEntry {
        id: LeafId::new(&format!("{service}-{domain}")),
        service: service.into(),
        address: ([192, 0, 2, 1], 80).into(),
        failure_domain: domain.into(),
        slots: 2,
        phase,
        warm_up_left: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: 1,
    }
}

fn part_text(part: &ConfigPart) -> String {
    match part {
        ConfigPart::Whole => "whole".to_owned(),
        ConfigPart::Limits => "limits".to_owned(),
        ConfigPart::Route { name, .. } => format!("route {name}"),
        ConfigPart::Service { name, .. } => format!("service {name}"),
    }
}

/// Returns place, field and text of each finding.
fn findings(draft: &Draft, context: &ReviewContext<'_>) -> Vec<String> {
    let review = review_config(&draft.decoded(), context);
    let kept = review.findings.kept().iter();
    kept.map(|finding| {
        let part = part_text(&finding.part);
        match finding.field {
            Some(field) => format!("{part}, {field:?}: {}", finding.problem),
            None => format!("{part}: {}", finding.problem),
        }
    })
    .collect()
}

fn alone() -> ReviewContext<'static> {
    ReviewContext {
        in_force: None,
        leafs: None,
        retry_ratio: RETRY_RATIO,
    }
}

/// Guards against a problem that is not found, is found at another place, or is reported where there
/// is none: each change of the valid configuration has exactly the findings named beside it.
#[test]
fn each_problem_is_found_at_its_place() {
    fn check(change: impl FnOnce(&mut Draft), expected: &[&str]) {
        let mut draft = valid();
        change(&mut draft);
        assert_eq!(findings(&draft, &alone()), expected);
    }
    check(|_| {}, &[]);
    check(
        |draft| {
            let hidden = route("orders-2", "o.example", "/v1/", to_service("b"));
            draft.routes.push(hidden);
        },
        &[
            "route orders-2, Prefix: never used, because the earlier route \"orders\" has the same host and prefix",
        ],
    );
    check(
        |draft| draft.routes[1].name = "orders".into(),
        &[
            "route orders, Name: an earlier entry has the same name, which logs and metrics do not tell apart",
        ],
    );
    for host in ["", "o.example:80", "*.example", "o example", "ö.example"] {
        check(
            |draft| {
                let unmatched = route("x", host, "/", to_service("a"));
                draft.routes.push(unmatched);
            },
            &[
                "route x, Host: never matches, because no request names this host (a name without port, wildcard or space)",
            ],
        );
    }
    for prefix in ["", "v1/", "/v1", "*"] {
        check(
            |draft| {
                let unmatched = route("x", "o.example", prefix, to_service("a"));
                draft.routes.push(unmatched);
            },
            &["route x, Prefix: never matches, because a prefix begins and ends with a slash"],
        );
    }
    check(
        |draft| {
            let unmatched = route("x", "o.example", "/a?b/", to_service("a"));
            draft.routes.push(unmatched);
        },
        &["route x, Prefix: never matches, because the path of a request cannot contain '?'"],
    );
    check(
        |draft| {
            let prefix = format!("/{}/", "p".repeat(20_000));
            let unmatched = route("x", "o.example", &prefix, to_service("a"));
            draft.routes.push(unmatched);
        },
        &[
            "route x, Prefix: never matches, because the prefix has 20002 bytes and a request's head at most 16384",
        ],
    );
    check(
        |draft| draft.routes[0].target = split(&[("a", 9), ("b", 0)]),
        &[
            "route orders, Split: the service \"b\" gets no request, because its weight is 0 or rounds to 0",
        ],
    );
    check(
        |draft| draft.services.push(service("d")),
        &["service d, Name: no route that can match names the service"],
    );
    check(
        |draft| draft.services.push(service("a")),
        &["service a, Name: ignored, because an earlier service has the same name"],
    );
    check(
        |draft| {
            draft.services.remove(0);
        },
        &[
            "route orders, Service: the service \"a\" is not in the list of services, so defaults apply to it",
        ],
    );
    // A service that only a route that cannot match names is unused.
    check(
        |draft| draft.routes[0].host = "o.example:1".into(),
        &[
            "route orders, Host: never matches, because no request names this host (a name without port, wildcard or space)",
            "service a, Name: no route that can match names the service",
        ],
    );
}

/// Guards against limits that contradict each other and are not found, and against limits that are
/// reported although they agree.
#[test]
fn contradicting_limits_are_found() {
    fn check(change: impl FnOnce(&mut Draft), expected: &[&str]) {
        let mut draft = valid();
        change(&mut draft);
        assert_eq!(findings(&draft, &alone()), expected);
    }
    let ms = Duration::from_millis;
    check(
        |draft| draft.routes[0].timeout = ms(59),
        &["route orders, Timeout: the time limit 59ms is below the target latency 60ms"],
    );
    check(|draft| draft.routes[0].timeout = ms(60), &[]);
    check(
        |draft| draft.routes[0].timeout = ms(0),
        &["route orders, Timeout: 0 leaves no time"],
    );
    check(
        |draft| draft.routes[0].target_latency = ms(0),
        &["route orders, TargetLatency: 0 leaves no time"],
    );
    check(
        |draft| draft.routes[1].target = scatter(&["a", "b", "c"], 0.667),
        &[
            "route search, CoverageMin: 0.667 of 3 shards is no whole number: an answer needs 3 of them",
        ],
    );
    check(
        |draft| draft.routes[1].target = scatter(&["b", "c"], 0.0),
        &["route search, CoverageMin: 0 of 2 shards is no whole number: an answer needs 1 of them"],
    );
    check(
        |draft| draft.routes[1].target = scatter(&["a", "b", "c"], 2.0 / 3.0),
        &[],
    );
    check(
        |draft| {
            if let RouteTarget::Scatter(scatter) = &mut draft.routes[1].target {
                scatter.records_max = 0;
            }
        },
        &["route search, RecordsMax: answers hold no records, because their maximum is 0"],
    );
    check(|draft| draft.routes[0].leafs_max = 4, &[]);
    check(
        |draft| draft.routes[0].leafs_max = 5,
        &[
            "route orders, LeafsMax: a request may go to 5 leafs, but the retry budget (0.2 per request) pays for 4",
        ],
    );
    check(
        |draft| draft.services[0].connections_max = 0,
        &["service a, ConnectionsMax: 0 allows no connection to the leafs of the service"],
    );
    check(
        |draft| draft.services[0].health_path = "health".into(),
        &["service a, HealthPath: the path of the health check does not begin with a slash"],
    );
    check(
        |draft| draft.limits.header_timeout = ms(30_001),
        &[
            "limits, HeaderTimeout: the time limit of a request's head, 30.001s, is above the idle time, 30s",
        ],
    );
    check(
        |draft| draft.limits.header_timeout = ms(0),
        &["limits, HeaderTimeout: 0 leaves no time"],
    );
    check(
        |draft| draft.limits.header_bytes = 8_191,
        &["limits, HeaderBytes: daemons use 8192 instead of 8191"],
    );
}

/// Guards against a bound on leafs that ignores the published budget.
#[test]
fn a_larger_retry_budget_pays_for_more_leafs() {
    let paid = [0.0, 0.05, 0.2, 1.0, 10.0].map(attempts_paid);
    assert_eq!(paid, [1, 3, 4, 9, 63]);
    assert_eq!(attempts_paid(f64::NAN), 1);
    assert!(attempts_paid(f64::INFINITY) >= 1);
}

/// Guards against an evacuation that leaves a service without leafs and is not reported, and against
/// one that is reported although leafs are left.
#[test]
fn services_without_usable_leafs_are_found() {
    const ALL: [&str; 3] = ["a", "b", "c"];
    fn check(leafs: &[LeafEntry], evacuated: &[&str], expected: &[&str]) {
        let evacuated: Vec<FailureDomain> = evacuated.iter().map(|name| (*name).into()).collect();
        let survey = LeafSurvey::new(leafs, &evacuated);
        let context = ReviewContext {
            leafs: Some(&survey),
            ..alone()
        };
        assert_eq!(findings(&valid(), &context), expected);
    }
    let ready = |service, domain| leaf(service, domain, LeafPhase::Ready);
    let both: Vec<LeafEntry> = ALL
        .iter()
        .flat_map(|service| [ready(service, "z1"), ready(service, "z2")])
        .collect();
    check(&both, &[], &[]);
    check(&both, &["z1"], &[]);
    check(
        &both,
        &["z3"],
        &["whole: no leaf is in the evacuated failure domain \"z3\""],
    );
    check(
        &both,
        &["z1", "z2", "z1"],
        &[
            "service a: all leafs of the service (2) are in evacuated failure domains",
            "service b: all leafs of the service (2) are in evacuated failure domains",
            "service c: all leafs of the service (2) are in evacuated failure domains",
            "route search, Shards: every query is refused: 0 of 2 shards have a leaf, and an answer needs 1",
        ],
    );
    // One shard of two is enough for the coverage of the route.
    check(
        &[ready("a", "z1"), ready("b", "z1"), ready("c", "z2")],
        &["z2"],
        &["service c: all leafs of the service (1) are in evacuated failure domains"],
    );
    check(
        &[ready("b", "z1"), leaf("c", "z1", LeafPhase::Draining)],
        &[],
        &[
            "service a: no leaf serves the service",
            "service c: all leafs of the service (1) are leaving",
        ],
    );
}

/// Guards against a configuration that daemons would ignore and that is reported as usable.
#[test]
fn a_version_that_is_not_newer_is_an_error() {
    fn check(version: u64, is_changed: bool, errors: usize) {
        let in_force = valid().decoded().config;
        let mut draft = valid();
        draft.version = version;
        if is_changed {
            draft.routes[0].priority = 3;
        }
        let context = ReviewContext {
            in_force: Some(&in_force),
            ..alone()
        };
        let review = review_config(&draft.decoded(), &context);
        assert_eq!(review.findings.errors(), errors, "{version} {is_changed}");
    }
    check(3, true, 0);
    check(2, false, 0);
    check(2, true, 1);
    check(1, false, 1);
}

/// Checks the differences of a changed configuration from the valid one, and the example requests.
fn check_differences(change: impl FnOnce(&mut Draft), expected: &[&str]) {
    let in_force = valid().decoded().config;
    let mut draft = valid();
    change(&mut draft);
    let context = ReviewContext {
        in_force: Some(&in_force),
        ..alone()
    };
    let review = review_config(&draft.decoded(), &context);
    let differences = review.differences.unwrap();
    let parts = differences.parts.kept().iter().map(|difference| {
        let kind = format!("{:?}", difference.change);
        let kind: String = kind.chars().take_while(char::is_ascii_alphabetic).collect();
        let field = difference.change.field();
        let field = field.map_or_else(String::new, |field| format!(" {field:?}"));
        let part = part_text(&difference.part);
        format!("{kind}{field} of {part}: {}", difference.change)
    });
    let examples = differences.examples.kept().iter().map(|example| {
        let side = |answer: &Option<(_, _)>| answer.as_ref().map(|(route, _)| route).cloned();
        let (from, to) = (side(&example.from), side(&example.to));
        format!("{}{}: {from:?} -> {to:?}", example.host, example.path)
    });
    let found: Vec<String> = parts.chain(examples).collect();
    assert_eq!(found, expected);
}

/// Guards against a difference that is not reported, or that is reported as another one.
#[test]
fn differences_are_named() {
    check_differences(|_| {}, &[]);
    check_differences(
        |draft| draft.routes[0].target = to_service("b"),
        &[
            "Moved of route orders: service a -> service b",
            "o.example/v1/: Some(\"orders\") -> Some(\"orders\")",
        ],
    );
    check_differences(
        |draft| draft.routes[0].target = split(&[("a", 90), ("b", 10)]),
        &[
            "Split of route orders: service a -> split a 90.0%, b 10.0%",
            "o.example/v1/: Some(\"orders\") -> Some(\"orders\")",
        ],
    );
    check_differences(
        |draft| {
            draft
                .routes
                .push(route("new", "o.example", "/v1/x/", to_service("b")));
        },
        &[
            "RouteAdded of route new: service b",
            "o.example/v1/x/: Some(\"orders\") -> Some(\"new\")",
        ],
    );
    // A new route to the same service answers nothing elsewhere.
    check_differences(
        |draft| {
            draft
                .routes
                .push(route("new", "o.example", "/v1/x/", to_service("a")));
        },
        &["RouteAdded of route new: service a"],
    );
    check_differences(
        |draft| {
            draft.routes.remove(0);
        },
        &[
            "RouteRemoved of route orders: service a",
            "o.example/v1/: Some(\"orders\") -> None",
        ],
    );
}

/// As above, for parts that keep their place or name.
#[test]
fn differences_of_fields_are_named() {
    check_differences(
        |draft| draft.routes[0].name = "renamed".into(),
        &["Field Name of route renamed: \"orders\" -> \"renamed\""],
    );
    check_differences(
        |draft| draft.routes[0].prefix = "/v2/".into(),
        &[
            "Field Prefix of route orders: \"/v1/\" -> \"/v2/\"",
            "o.example/v1/: Some(\"orders\") -> None",
            "o.example/v2/: None -> Some(\"orders\")",
        ],
    );
    check_differences(
        |draft| draft.routes[1].target = scatter(&["a", "b"], 1.0),
        &[
            "Shards Shards of route search: 2 -> 2 shards: 1 added, 1 removed, first \"a\"",
            "Field CoverageMin of route search: 0.5 -> 1",
            "s.example/: Some(\"search\") -> Some(\"search\")",
        ],
    );
    check_differences(
        |draft| {
            draft.routes[0].timeout = Duration::from_millis(900);
            draft.routes[0].repeatability = Repeatability::AtMostOnce;
            draft.services[0].connections_max = 7;
            draft.services.remove(2);
            draft.limits.body_bytes = 1;
        },
        &[
            "Field Repeatability of route orders: may be repeated -> runs at most once",
            "Field Timeout of route orders: 800ms -> 900ms",
            "Field ConnectionsMax of service a: 32 -> 7",
            "ServiceRemoved of service c: not in this version",
            "Field BodyBytes of limits: 65536 -> 1",
        ],
    );
}

/// Guards against a report as large as the configuration, in number and in length of its lines.
#[test]
fn a_report_is_bounded() {
    let mut draft = valid();
    let name = "n".repeat(10_000);
    let routes = (0..3_000).map(|_| route(&name, &name, "x", to_service(&name)));
    draft.routes = routes.collect();
    let review = review_config(&draft.decoded(), &alone());
    assert_eq!(review.findings.kept().len(), FINDINGS_MAX);
    assert!(review.findings.warnings() > 3 * 3_000);
    assert_eq!(
        review.findings.omitted(),
        review.findings.warnings() - FINDINGS_MAX
    );
    for finding in review.findings.kept() {
        assert!(finding.problem.to_string().len() < 500);
        assert!(part_text(&finding.part).len() < 500);
    }
    let mut kept = review.findings.kept().iter();
    assert!(kept.any(|finding| finding.field == Some(ConfigField::Host)));
}

fn any_routes() -> impl Strategy<Value = Vec<Route>> {
    let any_route = ("[ab]", "(/[xy]{0,1}){0,4}/?", "[pqr]");
    let any_route = any_route
        .prop_map(|(host, prefix, service)| route("r", &host, &prefix, to_service(&service)));
    prop::collection::vec(any_route, 0..12)
}

proptest! {
    /// Guards against requests that are answered elsewhere and have no example, and against examples
    /// that are answered as before: both must agree with the lookup that daemons use.
    #[test]
    fn examples_agree_with_the_lookup(
        from in any_routes(),
        to in any_routes(),
        host in "[ab]",
        path in "(/[xy]{0,1}){1,5}",
    ) {
        let config = |routes: Vec<Route>| Draft { routes, ..valid() }.decoded().config;
        let (from, to) = (config(from), config(to));
        let answer = |config: &RoutingConfig, host: &str, path: &str| {
            config.routes.find(host, path).map(|route| route.target.clone())
        };
        let examples = moved_requests(&from, &to);
        for example in examples.kept() {
            let (host, path) = (example.host.as_str(), example.path.as_str());
            prop_assert_ne!(answer(&from, host, path), answer(&to, host, path));
        }
        if answer(&from, &host, &path) != answer(&to, &host, &path) {
            prop_assert!(examples.total() > 0);
        }
        prop_assert_eq!(moved_requests(&from, &from).total(), 0);
    }
}
