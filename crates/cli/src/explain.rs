//! `explain`: who serves a shard, and what became of a recent request.

use std::path::Path;

use medlarpin_core::prelude::{ShardId, ShardMap};
use serde_json::{Value, json};
use settings::{Subtree, parse_subtree};

use crate::check_files::{FileKind, files_below, read_in_tree};
use crate::error::CliError;
use crate::exit::Exit;
use crate::reasons::{outcome_text, reason_text};
use crate::report::{Report, Table};
use crate::state::{State, View, duration_text};
use crate::teams::known;

/// Shorter prefixes of a request id would often match several requests.
const LEAST_ID_DIGITS: usize = 8;

/// Explains a shard (`SERVICE/SHARD`) or a request (its id or the start of it).
pub(crate) fn explain(
    state: &State,
    tree: Option<&Path>,
    subject: &str,
    json: bool,
) -> Result<Report, CliError> {
    if let Some((service, shard)) = subject.rsplit_once('/')
        && let Ok(shard) = shard.parse()
    {
        return explain_shard(state.view(), tree, service, ShardId(shard), json);
    }
    let is_id = subject.len() >= LEAST_ID_DIGITS && subject.chars().all(|c| c.is_ascii_hexdigit());
    if is_id {
        return explain_request(state.view(), subject, json);
    }
    Err(CliError::BadSubject {
        subject: subject.to_owned(),
    })
}

fn explain_request(view: View<'_>, id: &str, json: bool) -> Result<Report, CliError> {
    let id = id.to_ascii_lowercase();
    let recent = view.get("recent");
    let found: Vec<View<'_>> = recent
        .items()
        .filter(|request| request.text("request_id").starts_with(&id))
        .collect();
    if found.is_empty() {
        return Err(CliError::NoRequest { id });
    }
    if json {
        let requests = found
            .iter()
            .map(|request| request.value().clone())
            .collect();
        return Ok(Report::json(&Value::Array(requests), Exit::Success));
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
    Ok(Report::text_only(table.render(), Exit::Success))
}

fn explain_shard(
    view: View<'_>,
    tree: Option<&Path>,
    service: &str,
    shard: ShardId,
    json: bool,
) -> Result<Report, CliError> {
    let services = view.get("services");
    let Some(entry) = services.items().find(|entry| entry.is("service", service)) else {
        return Err(CliError::NoService {
            name: service.to_owned(),
            known: known(services, "service"),
        });
    };
    let placed = match tree {
        Some(root) => placed_by_tree(root, service, shard)?,
        None => placed_by_state(entry, shard)?,
    };
    let leafs = placed.as_ref().map(|placed| &*placed.leafs);
    let groups: Vec<View<'_>> = view
        .get("groups")
        .items()
        .filter(|group| group.is("service", service) && serves(*group, leafs))
        .collect();
    if json {
        let groups: Vec<&Value> = groups.iter().map(|group| group.value()).collect();
        let body = json!({
            "service": service,
            "shard": shard.0,
            "versions": entry.get("versions").value(),
            "shard_map_version": placed.as_ref().map(|placed| &placed.version),
            "leafs": leafs,
            "groups": groups,
        });
        return Ok(Report::json(&body, Exit::Success));
    }
    let mut table = Table::default();
    table.push(["shard".to_owned(), format!("{} of {service}", shard.0)]);
    table.push(["versions".to_owned(), entry.text("versions")]);
    match &placed {
        Some(Placed { version, leafs }) => {
            let text = format!("{} at version {version}", leafs.join(", "));
            table.push(["leafs".to_owned(), text]);
        }
        None => table.push([
            "leafs",
            "the daemon does not tell them; add --tree; all groups of the service follow",
        ]),
    }
    for group in groups {
        push_group(&mut table, view, group, leafs);
    }
    Ok(Report::text_only(table.render(), Exit::Success))
}

fn push_group(table: &mut Table, view: View<'_>, group: View<'_>, leafs: Option<&[String]>) {
    let mut line = |label: &str, text: String| table.push([label.to_owned(), text]);
    line("group", group.text("group"));
    line("  active", group.text("active"));
    line("  holders", group.text("holders"));
    if !group.flag("held_here") {
        line(
            "  leafs",
            "held elsewhere; ask the active holder".to_owned(),
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

fn serves(group: View<'_>, leafs: Option<&[String]>) -> bool {
    let Some(leafs) = leafs else {
        return true;
    };
    let listed = group.get("leafs");
    listed.items().any(|id| leafs.contains(&id.to_text()))
}

/// The leafs of a shard at one index version.
struct Placed {
    version: String,
    leafs: Vec<String>,
}

/// Reads the leafs of a shard from the newest shard map that the daemon has in force.
fn placed_by_state(service: View<'_>, shard: ShardId) -> Result<Option<Placed>, CliError> {
    let mut shards = service.get("replicas").items().peekable();
    if shards.peek().is_none() {
        return Ok(None);
    }
    let version = service.text("map_version");
    let Some(found) =
        shards.find(|entry| entry.get("shard").value().as_u64() == Some(shard.0.into()))
    else {
        return Err(CliError::NoShard {
            service: service.text("service"),
            shard: shard.0,
            version,
        });
    };
    let leafs = found.get("leafs").items().map(View::to_text).collect();
    Ok(Some(Placed { version, leafs }))
}

/// Reads the leafs of a shard from the newest shard map in a settings tree.
fn placed_by_tree(root: &Path, service: &str, shard: ShardId) -> Result<Option<Placed>, CliError> {
    let Some(map) = newest_map(root, service)? else {
        return Ok(None);
    };
    let version = map.version().0.to_string();
    let Some(leafs) = map.replicas(shard) else {
        return Err(CliError::NoShard {
            service: service.to_owned(),
            shard: shard.0,
            version,
        });
    };
    let leafs = leafs.iter().map(|leaf| leaf.as_str().to_owned()).collect();
    Ok(Some(Placed { version, leafs }))
}

/// Returns the newest valid shard map of a service in a settings tree.
fn newest_map(root: &Path, service: &str) -> Result<Option<ShardMap>, CliError> {
    let mut newest: Option<ShardMap> = None;
    for path in files_below(root)? {
        let file = read_in_tree(root, &path)?;
        let FileKind::Subtree(path) = &file.kind else {
            continue;
        };
        if let Ok(Subtree::Index(map)) = parse_subtree(path, &file.text)
            && map.service().as_str() == service
            && newest
                .as_ref()
                .is_none_or(|known| known.version() < map.version())
        {
            newest = Some(map);
        }
    }
    Ok(newest)
}
