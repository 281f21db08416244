//! The `explain` command: the leafs that serve a shard, or the outcome of a recent request.

use std::path::Path;

use medlarpin_core::prelude::{ShardId, ShardMap};
use serde_json::{Value, json};
use settings::{Subtree, parse_subtree};

use crate::check_files::{FileKind, find_settings_files, read_tree_file};
use crate::error::CliError;
use crate::exit::Exit;
use crate::reasons::{outcome_text, reason_text};
use crate::report::{Report, Table};
use crate::state::{DaemonState, JsonView, duration_text};
use crate::teams::joined_names;

/// Minimum length of a request id prefix; shorter ones would often match several requests.
const MIN_REQUEST_ID_DIGITS: usize = 8;

/// Explains a shard (`SERVICE/SHARD`) or a request (its id or a prefix of it).
pub(crate) fn explain(
    state: &DaemonState,
    tree: Option<&Path>,
    subject: &str,
    json: bool,
) -> Result<Report, CliError> {
    if let Some((service, shard)) = subject.rsplit_once('/')
        && let Ok(shard) = shard.parse()
    {
        return explain_shard(state.view(), tree, service, ShardId(shard), json);
    }
    let is_id =
        subject.len() >= MIN_REQUEST_ID_DIGITS && subject.chars().all(|c| c.is_ascii_hexdigit());
    if is_id {
        return explain_request(state.view(), subject, json);
    }
    Err(CliError::InvalidSubject {
        subject: subject.to_owned(),
    })
}

fn explain_request(view: JsonView<'_>, id: &str, json: bool) -> Result<Report, CliError> {
    let id = id.to_ascii_lowercase();
    let recent = view.get("recent");
    let found: Vec<JsonView<'_>> = recent
        .items()
        .filter(|request| request.text("request_id").starts_with(&id))
        .collect();
    if found.is_empty() {
        return Err(CliError::UnknownRequest { id });
    }
    if json {
        let requests = found
            .iter()
            .map(|request| request.value().clone())
            .collect();
        return Ok(Report::from_json(&Value::Array(requests), Exit::Success));
    }
    let mut table = Table::default();
    for request in found {
        let outcome = request.text("outcome");
        let mut line = |label: &str, text: String| table.push([label.to_owned(), text]);
        line("request", request.text("request_id"));
        line("  from", format!("team {}", request.text("team")));
        line("  service", request.text("service"));
        line(
            "  outcome",
            format!("{outcome}: {}", outcome_text(&outcome)),
        );
        if let Some(reason) = request.get("reason").value().as_str() {
            line("  reason", format!("{reason}: {}", reason_text(reason)));
        }
        line("  version", request.text("index_version"));
        let [covered, uncovered] = ["covered", "uncovered"].map(|key| request.text(key));
        line(
            "  shards",
            format!("{covered} covered, {uncovered} uncovered"),
        );
        for uncovered in request.get("uncovered_reasons").items() {
            let [reason, count] = ["reason", "count"].map(|key| uncovered.text(key));
            line(
                "  uncovered",
                format!("{count} with {reason}: {}", reason_text(&reason)),
            );
        }
        line("  extra", request.text("extra_leaf_requests"));
        line("  elapsed", duration_text(request.get("elapsed_ms")));
        line(
            "  answered",
            format!("{} ago", duration_text(request.get("age_ms"))),
        );
    }
    Ok(Report::from_text(table.render(), Exit::Success))
}

fn explain_shard(
    view: JsonView<'_>,
    tree: Option<&Path>,
    service: &str,
    shard: ShardId,
    json: bool,
) -> Result<Report, CliError> {
    let services = view.get("services");
    let Some(entry) = services
        .items()
        .find(|entry| entry.has_text("service", service))
    else {
        return Err(CliError::UnknownService {
            name: service.to_owned(),
            known: joined_names(services, "service"),
        });
    };
    let replicas = match tree {
        Some(root) => replicas_from_tree(root, service, shard)?,
        None => replicas_from_state(entry, shard)?,
    };
    let leafs = replicas.as_ref().map(|replicas| &*replicas.leafs);
    let groups: Vec<JsonView<'_>> = view
        .get("groups")
        .items()
        .filter(|group| group.has_text("service", service) && has_any_leaf(*group, leafs))
        .collect();
    if json {
        let groups: Vec<&Value> = groups.iter().map(|group| group.value()).collect();
        let body = json!({
            "service": service,
            "shard": shard.0,
            "versions": entry.get("versions").value(),
            "shard_map_version": replicas.as_ref().map(|replicas| &replicas.version),
            "leafs": leafs,
            "groups": groups,
        });
        return Ok(Report::from_json(&body, Exit::Success));
    }
    let mut table = Table::default();
    table.push(["shard".to_owned(), format!("{} of {service}", shard.0)]);
    table.push(["versions".to_owned(), entry.text("versions")]);
    match &replicas {
        Some(ShardReplicas { version, leafs }) => {
            let text = format!("{} at version {version}", leafs.join(", "));
            table.push(["leafs".to_owned(), text]);
        }
        None => table.push([
            "leafs",
            "not in the daemon's state; add --tree. All groups of the service are listed",
        ]),
    }
    for group in groups {
        push_group(&mut table, view, group, leafs);
    }
    Ok(Report::from_text(table.render(), Exit::Success))
}

fn push_group(
    table: &mut Table,
    view: JsonView<'_>,
    group: JsonView<'_>,
    leafs: Option<&[String]>,
) {
    let mut line = |label: &str, text: String| table.push([label.to_owned(), text]);
    line("group", group.text("group"));
    line("  active", group.text("active"));
    line("  holders", group.text("holders"));
    if !group.flag("held_here") {
        line(
            "  leafs",
            "held by other daemons; ask the active holder".to_owned(),
        );
        return;
    }
    for leaf in view.get("leafs").items() {
        let id = leaf.text("leaf");
        let in_group = group
            .get("leafs")
            .items()
            .any(|listed| listed.to_text() == id);
        let wanted = leafs.is_none_or(|leafs| leafs.contains(&id));
        if in_group && wanted && leaf.text("service") == group.text("service") {
            let [condition, in_flight, queued] =
                ["condition", "in_flight", "queued"].map(|key| leaf.text(key));
            let p95 = match leaf.get("p95_ms").value().as_f64() {
                Some(p95_ms) => format!("{p95_ms:.1} ms"),
                None => "-".to_owned(),
            };
            line(
                "  leaf",
                format!("{id}: {condition}, {in_flight} in flight, {queued} queued, p95 {p95}"),
            );
        }
    }
}

fn has_any_leaf(group: JsonView<'_>, leafs: Option<&[String]>) -> bool {
    let Some(leafs) = leafs else {
        return true;
    };
    let group_leafs = group.get("leafs");
    group_leafs.items().any(|id| leafs.contains(&id.to_text()))
}

/// The leafs that hold a shard at one index version.
struct ShardReplicas {
    version: String,
    leafs: Vec<String>,
}

/// Reads the replicas of a shard from the newest shard map that the daemon uses; `None` if the
/// daemon's state contains no shard map.
fn replicas_from_state(
    service: JsonView<'_>,
    shard: ShardId,
) -> Result<Option<ShardReplicas>, CliError> {
    let mut shards = service.get("replicas").items().peekable();
    if shards.peek().is_none() {
        return Ok(None);
    }
    let version = service.text("map_version");
    let Some(found) =
        shards.find(|entry| entry.get("shard").value().as_u64() == Some(shard.0.into()))
    else {
        return Err(CliError::UnknownShard {
            service: service.text("service"),
            shard: shard.0,
            version,
        });
    };
    let leafs = found.get("leafs").items().map(JsonView::to_text).collect();
    Ok(Some(ShardReplicas { version, leafs }))
}

/// Reads the replicas of a shard from the newest shard map in a settings tree; `None` if the tree
/// has no shard map of the service.
fn replicas_from_tree(
    root: &Path,
    service: &str,
    shard: ShardId,
) -> Result<Option<ShardReplicas>, CliError> {
    let Some(map) = newest_shard_map(root, service)? else {
        return Ok(None);
    };
    let version = map.version().0.to_string();
    let Some(leafs) = map.replicas(shard) else {
        return Err(CliError::UnknownShard {
            service: service.to_owned(),
            shard: shard.0,
            version,
        });
    };
    let leafs = leafs.iter().map(|leaf| leaf.as_str().to_owned()).collect();
    Ok(Some(ShardReplicas { version, leafs }))
}

/// Returns the newest valid shard map of a service in a settings tree.
fn newest_shard_map(root: &Path, service: &str) -> Result<Option<ShardMap>, CliError> {
    let mut newest: Option<ShardMap> = None;
    for path in find_settings_files(root)? {
        let file = read_tree_file(root, &path)?;
        let FileKind::Subtree(path) = &file.kind else {
            continue;
        };
        if let Ok(Subtree::Index(map)) = parse_subtree(path, &file.text)
            && map.service().as_str() == service
            && newest
                .as_ref()
                .is_none_or(|newest| newest.version() < map.version())
        {
            newest = Some(map);
        }
    }
    Ok(newest)
}
