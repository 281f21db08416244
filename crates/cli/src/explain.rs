//! `explain`: who serves a shard, and what became of a recent request.

use std::path::Path;

use medlarpin_core::prelude::{LeafId, ShardId, ShardMap};
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
        let (covered, uncovered) = (count(request, "covered"), count(request, "uncovered"));
        line(
            "  shards",
            format!("{covered} covered, {uncovered} uncovered"),
        );
        for shard in request.get("uncovered").items() {
            let reason = shard.text("reason");
            let number = shard.text("shard");
            line(
                "  uncovered",
                format!("shard {number}: {}", reason_text(&reason)),
            );
        }
        line("  elapsed", duration_text(request.get("elapsed_ms")));
    }
    Ok(Report::text_only(table.render(), Exit::Success))
}

/// Counts shards; the state gives a number or a list.
fn count(request: View<'_>, key: &str) -> String {
    let member = request.get(key);
    member
        .value()
        .as_array()
        .map_or_else(|| member.to_text(), |list| list.len().to_string())
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
    let map = tree
        .map(|root| newest_map(root, service))
        .transpose()?
        .flatten();
    let leafs = match &map {
        Some(map) => Some(map.replicas(shard).ok_or_else(|| CliError::NoShard {
            service: service.to_owned(),
            shard: shard.0,
            version: map.version().0.to_string(),
        })?),
        None => None,
    };
    let groups: Vec<View<'_>> = view
        .get("groups")
        .items()
        .filter(|group| group.is("service", service) && serves(*group, leafs))
        .collect();
    if json {
        let leafs = leafs.map(|leafs| leafs.iter().map(LeafId::as_str).collect::<Vec<_>>());
        let groups: Vec<&Value> = groups.iter().map(|group| group.value()).collect();
        let body = json!({
            "service": service,
            "shard": shard.0,
            "versions": entry.get("versions").value(),
            "shard_map_version": map.as_ref().map(|map| map.version().0),
            "leafs": leafs,
            "groups": groups,
        });
        return Ok(Report::json(&body, Exit::Success));
    }
    let mut table = Table::default();
    table.push(["shard".to_owned(), format!("{} of {service}", shard.0)]);
    table.push(["versions".to_owned(), entry.text("versions")]);
    match (&map, leafs) {
        (Some(map), Some(leafs)) => {
            let ids: Vec<&str> = leafs.iter().map(LeafId::as_str).collect();
            let text = format!("{} at version {}", ids.join(", "), map.version().0);
            table.push(["leafs".to_owned(), text]);
        }
        _ => table.push([
            "leafs",
            "not known without --tree; all groups of the service follow",
        ]),
    }
    for group in groups {
        push_group(&mut table, view, group, leafs);
    }
    Ok(Report::text_only(table.render(), Exit::Success))
}

fn push_group(table: &mut Table, view: View<'_>, group: View<'_>, leafs: Option<&[LeafId]>) {
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
        let wanted = leafs.is_none_or(|leafs| leafs.iter().any(|leaf| leaf.as_str() == id));
        if in_group && wanted && leaf.text("service") == group.text("service") {
            let [condition, in_flight, queued, p95_ms] =
                ["condition", "in_flight", "queued", "p95_ms"].map(|key| leaf.text(key));
            line(
                "  leaf",
                format!(
                    "{id}: {condition}, {in_flight} in flight, {queued} queued, p95 {p95_ms} ms"
                ),
            );
        }
    }
}

fn serves(group: View<'_>, leafs: Option<&[LeafId]>) -> bool {
    let Some(leafs) = leafs else {
        return true;
    };
    let listed = group.get("leafs");
    listed
        .items()
        .any(|id| leafs.iter().any(|leaf| leaf.as_str() == id.to_text()))
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
