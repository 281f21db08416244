//! `teams` and `team`: limits, shares and refusals.

use serde_json::Value;

use crate::error::CliError;
use crate::exit::Exit;
use crate::reasons::reason_text;
use crate::report::{Report, Table};
use crate::state::{State, View, duration_text};

/// Newest refused requests that `team` lists.
const REFUSALS_SHOWN: usize = 5;

/// All teams, one line each.
pub(crate) fn teams(state: &State, json: bool) -> Report {
    let teams = state.view().get("teams");
    if json {
        let list: Vec<Value> = teams.items().map(|team| team.value().clone()).collect();
        return Report::json(&Value::Array(list), Exit::Success);
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
    Report::text_only(table.render(), Exit::Success)
}

/// One team in full.
pub(crate) fn team(state: &State, name: &str, json: bool) -> Result<Report, CliError> {
    let teams = state.view().get("teams");
    let Some(team) = teams.items().find(|team| team.is("team", name)) else {
        return Err(CliError::NoTeam {
            name: name.to_owned(),
            known: known(teams, "team"),
        });
    };
    if json {
        return Ok(Report::json(team.value(), Exit::Success));
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
        .filter(|request| request.is("team", name) && request.is("outcome", "not_run"));
    for request in refusals.take(REFUSALS_SHOWN) {
        let [id, reason] = ["request_id", "reason"].map(|key| request.text(key));
        let age = duration_text(request.get("age_ms"));
        line("not run", format!("{id} {reason}, {age} ago"));
    }
    Ok(Report::text_only(table.render(), Exit::Success))
}

/// Lists the names in a list of the state.
pub(crate) fn known(list: View<'_>, key: &str) -> String {
    let names: Vec<String> = list.items().map(|item| item.text(key)).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

fn rate_share(team: View<'_>) -> String {
    match team.get("rate_share_milli").value().as_u64() {
        Some(milli) => format!("{}.{:03}", milli / 1_000, milli % 1_000),
        None => "-".to_owned(),
    }
}

fn refused_total(team: View<'_>) -> u64 {
    let counts = team
        .get("refused")
        .items()
        .map(|refused| refused.number("count"));
    counts.fold(0, u64::saturating_add)
}
