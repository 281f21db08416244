//! The `teams` and `team` commands: limits, shares and refusals of teams.

use serde_json::Value;

use crate::error::CliError;
use crate::exit::Exit;
use crate::reasons::reason_text;
use crate::report::{Report, Table};
use crate::state::{DaemonState, JsonView, duration_text};

/// Maximum number of recent refused requests that `team` lists.
const MAX_RECENT_REFUSALS: usize = 5;

/// Reports all teams, one line each.
pub(crate) fn teams(state: &DaemonState, json: bool) -> Report {
    let teams = state.view().get("teams");
    if json {
        let list: Vec<Value> = teams.items().map(|team| team.value().clone()).collect();
        return Report::from_json(&Value::Array(list), Exit::Success);
    }
    let mut table = Table::with_header(&[
        "TEAM", "WEIGHT", "RATE/S", "SHARE/S", "LIMIT", "SHARE", "RUNNING", "ADMITTED", "REFUSED",
    ]);
    for team in teams.items() {
        table.push([
            team.text("team"),
            team.text("weight"),
            team.text("rate_limit_per_s"),
            rate_share(team),
            team.text("concurrency_limit"),
            team.text("concurrency_share"),
            team.text("running"),
            team.text("admitted"),
            refused_total(team).to_string(),
        ]);
    }
    Report::from_text(table.render(), Exit::Success)
}

/// Reports all details of one team.
pub(crate) fn team(state: &DaemonState, name: &str, json: bool) -> Result<Report, CliError> {
    let teams = state.view().get("teams");
    let Some(team) = teams.items().find(|team| team.has_text("team", name)) else {
        return Err(CliError::UnknownTeam {
            name: name.to_owned(),
            known: joined_names(teams, "team"),
        });
    };
    if json {
        return Ok(Report::from_json(team.value(), Exit::Success));
    }
    let mut table = Table::default();
    let mut line = |label: &str, text: String| table.push([label.to_owned(), text]);
    line("team", team.text("team"));
    line("weight", team.text("weight"));
    line(
        "rate",
        format!(
            "{} queries/s over all daemons, {} here",
            team.text("rate_limit_per_s"),
            rate_share(team)
        ),
    );
    line(
        "concurrency",
        format!(
            "{} queries over all daemons, {} here, {} running here",
            team.text("concurrency_limit"),
            team.text("concurrency_share"),
            team.text("running")
        ),
    );
    line("admitted", team.text("admitted"));
    line("extra budget", team.text("extra_budget"));
    line("refused", refused_total(team).to_string());
    for refused in team.get("refused").items() {
        let reason = refused.text("reason");
        let text = format!(
            "{} {reason}: {}",
            refused.text("count"),
            reason_text(&reason)
        );
        line("", text);
    }
    let recent = state.view().get("recent");
    let refusals = recent
        .items()
        .filter(|request| request.has_text("team", name) && request.has_text("outcome", "not_run"));
    for request in refusals.take(MAX_RECENT_REFUSALS) {
        let [id, reason] = ["request_id", "reason"].map(|key| request.text(key));
        let age = duration_text(request.get("age_ms"));
        line("not run", format!("{id} {reason}, {age} ago"));
    }
    Ok(Report::from_text(table.render(), Exit::Success))
}

/// Joins the texts of one field of all list items, for an error message.
pub(crate) fn joined_names(list: JsonView<'_>, key: &str) -> String {
    let names: Vec<String> = list.items().map(|item| item.text(key)).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

fn rate_share(team: JsonView<'_>) -> String {
    match team.get("rate_share_milli").value().as_u64() {
        Some(milli) => format!("{}.{:03}", milli / 1_000, milli % 1_000),
        None => "-".to_owned(),
    }
}

fn refused_total(team: JsonView<'_>) -> u64 {
    let counts = team
        .get("refused")
        .items()
        .map(|refused| refused.number("count"));
    counts.fold(0, u64::saturating_add)
}
