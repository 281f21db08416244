//! The `status` command for a daemon that serves published routes.

use serde_json::json;

use crate::exit::Exit;
use crate::report::{Report, Table};
use crate::state::{DaemonState, JsonView, duration_text};

/// Returns true if a state is that of a daemon that serves published routes.
pub(crate) fn is_router(state: &DaemonState) -> bool {
    state.view().get("is_ready").value().is_boolean()
}

/// Reports a summary of the state; the exit code tells whether the daemon is ready.
pub(crate) fn router_status(state: &DaemonState, json: bool) -> Report {
    let view = state.view();
    let exit = if view.flag("is_ready") {
        Exit::Success
    } else {
        Exit::CheckFailed
    };
    if json {
        return Report::from_json(&summary(view), exit);
    }
    let mut table = Table::default();
    let mut push = |name: &str, text: String| table.push([name.to_owned(), text]);
    push("vm", view.text("vm"));
    push("ready", view.text("is_ready"));
    push("config", format!("version {}", view.text("config_version")));
    push("store", store_line(view));
    let leafs = view.get("leafs").items().count();
    push("leafs", format!("{leafs} published"));
    for evacuation in view.get("evacuated_domains").items() {
        push("evacuated", evacuation_line(evacuation));
    }
    Report::from_text(table.render(), exit)
}

fn summary(view: JsonView<'_>) -> serde_json::Value {
    let keys = [
        "vm",
        "is_ready",
        "is_stopping",
        "config_version",
        "era",
        "revision",
        "store_silent_ms",
        "followed_daemon",
        "evacuated_domains",
    ];
    let mut summary = json!({"leafs": view.get("leafs").items().count()});
    for key in keys {
        summary[key] = view.get(key).value().clone();
    }
    summary
}

fn store_line(view: JsonView<'_>) -> String {
    let [era, revision] = ["era", "revision"].map(|key| view.text(key));
    let silent = duration_text(view.get("store_silent_ms"));
    format!("era {era}, revision {revision}, heard {silent} ago")
}

fn evacuation_line(evacuation: JsonView<'_>) -> String {
    let [domain, leafs, in_flight] =
        ["failure_domain", "leafs", "in_flight"].map(|key| evacuation.text(key));
    let since = duration_text(evacuation.get("evacuated_ms"));
    let line = format!("{domain} since {since}; {leafs} leafs, {in_flight} requests in progress");
    let kept = evacuation.get("kept_ms");
    if kept.value().is_null() {
        return line;
    }
    let left = duration_text(kept);
    format!("{line}; the restored store lacks the key, {left} left")
}
