//! The `status` command: a summary of a daemon's state.

use serde_json::json;

use crate::exit::Exit;
use crate::report::{Report, Table};
use crate::router_status::{is_router, router_status};
use crate::state::{DaemonState, JsonView, duration_text};

/// Reports a summary of the state; the exit code tells whether the daemon is ready.
pub(crate) fn status(state: &DaemonState, json: bool) -> Report {
    if is_router(state) {
        return router_status(state, json);
    }
    let view = state.view();
    let exit = if view.flag("ready") {
        Exit::Success
    } else {
        Exit::CheckFailed
    };
    if json {
        return Report::from_json(&summary(view), exit);
    }
    let mut table = Table::default();
    table.push(["vm".to_owned(), vm_line(view)]);
    table.push(["ready".to_owned(), ready_line(view)]);
    table.push(["settings".to_owned(), settings_line(view.get("settings"))]);
    for rejected in view.get("settings").get("rejected").items() {
        let [path, revision, error] = ["path", "revision", "error"].map(|key| rejected.text(key));
        table.push([
            "  rejected".to_owned(),
            format!("{path} at revision {revision}: {error}"),
        ]);
    }
    let list = view.get("vm_list");
    let vms = list.get("vms");
    let vms = vms
        .value()
        .as_array()
        .map_or_else(|| vms.to_text(), |all| all.len().to_string());
    table.push([
        "vm list".to_owned(),
        format!("revision {}, {vms} VMs", list.text("revision")),
    ]);
    table.push(["members".to_owned(), members_line(view)]);
    table.push(["groups".to_owned(), groups_line(view)]);
    table.push([
        "leafs held".to_owned(),
        count_by_field(view.get("leafs"), "condition"),
    ]);
    for service in view.get("services").items() {
        let [name, versions, shards] =
            ["service", "versions", "shards"].map(|key| service.text(key));
        table.push([
            "service".to_owned(),
            format!("{name}: versions {versions}; {shards} shards"),
        ]);
    }
    for query in view.get("quarantined").items() {
        let left = duration_text(query.get("left_ms"));
        table.push([
            "quarantined".to_owned(),
            format!("{}, {left} left", query.text("fingerprint")),
        ]);
    }
    table.push(["tickets".to_owned(), tickets_line(view.get("tickets"))]);
    Report::from_text(table.render(), exit)
}

fn summary(view: JsonView<'_>) -> serde_json::Value {
    let keys = [
        "vm",
        "incarnation",
        "failure_domain",
        "region",
        "ready",
        "uptime_ms",
        "settings",
        "vm_list",
        "services",
        "quarantined",
        "tickets",
    ];
    let mut summary = json!({
        "unusable_members": unusable_members(view),
        "groups_held": held_group_count(view),
    });
    for key in keys {
        summary[key] = view.get(key).value().clone();
    }
    summary
}

fn vm_line(view: JsonView<'_>) -> String {
    let [vm, domain, region, incarnation] =
        ["vm", "failure_domain", "region", "incarnation"].map(|key| view.text(key));
    format!("{vm} in {domain}, {region}; incarnation {incarnation}")
}

fn ready_line(view: JsonView<'_>) -> String {
    let uptime = duration_text(view.get("uptime_ms"));
    format!("{}, up {uptime}", view.text("ready"))
}

fn settings_line(settings: JsonView<'_>) -> String {
    let [revision, digest, conflicts] =
        ["revision", "digest", "conflicts"].map(|key| settings.text(key));
    let age = duration_text(settings.get("age_ms"));
    let rejected = settings.get("rejected").items().count();
    format!(
        "revision {revision}, digest {digest}, age {age}, {conflicts} conflicts, {rejected} rejected"
    )
}

fn members_line(view: JsonView<'_>) -> String {
    let unusable = unusable_members(view);
    let states = count_by_field(view.get("members"), "state");
    if unusable.is_empty() {
        states
    } else {
        format!("{states}; not usable: {}", unusable.join(", "))
    }
}

fn groups_line(view: JsonView<'_>) -> String {
    let all = view.get("groups").items().count();
    let without_active = view
        .get("groups")
        .items()
        .filter(|group| group.get("active").value().is_null());
    format!(
        "{} held here of {all}, {} without an active holder",
        held_group_count(view),
        without_active.count()
    )
}

fn tickets_line(tickets: JsonView<'_>) -> String {
    let [records, bytes] = ["records", "outcome_bytes"].map(|key| tickets.text(key));
    format!("{records} kept, with {bytes} bytes of outcomes")
}

fn held_group_count(view: JsonView<'_>) -> usize {
    let groups = view.get("groups");
    groups
        .items()
        .filter(|group| group.flag("held_here"))
        .count()
}

fn unusable_members(view: JsonView<'_>) -> Vec<String> {
    let members = view.get("members");
    let unusable = members
        .items()
        .filter(|member| member.get("usable").value().as_bool() == Some(false));
    unusable.map(|member| member.text("vm")).collect()
}

/// Counts the items by the value of a field, for example `2 alive, 1 suspect`.
fn count_by_field(list: JsonView<'_>, key: &str) -> String {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for item in list.items() {
        let text = item.text(key);
        match counts.iter_mut().find(|(counted, _)| *counted == text) {
            Some((_, count)) => *count += 1,
            None => counts.push((text, 1)),
        }
    }
    if counts.is_empty() {
        return "none".to_owned();
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|(text, count)| format!("{count} {text}"))
        .collect();
    parts.join(", ")
}
