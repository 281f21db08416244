//! The `query` command: sends a query as a caller does.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::http::{JsonResponse, excerpt, send_request};
use crate::reasons::{outcome_text, reason_text};
use crate::report::{Report, Table, printable};
use crate::state::JsonView;

/// Time to wait beyond the query's deadline, so that the daemon can still report the outcome.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// Timeout of a query without `--deadline-ms`; the tool does not know the team's default deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);

/// A query and the daemon to which it is sent.
#[derive(Debug)]
pub(crate) struct QueryRequest {
    pub(crate) query_address: SocketAddr,
    pub(crate) team: String,
    pub(crate) service: String,
    pub(crate) shards: Vec<u32>,
    pub(crate) deadline_ms: Option<u64>,
    /// The query is not idempotent and needs a ticket.
    pub(crate) at_most_once: bool,
    /// Ticket of an earlier submission of the same query.
    pub(crate) ticket: Option<String>,
    pub(crate) query: String,
}

/// Sends the query; the exit code reports the outcome.
pub(crate) async fn query(request: &QueryRequest, json: bool) -> Result<Report, CliError> {
    let ticket = match &request.ticket {
        Some(ticket) => Some(ticket.clone()),
        None if request.at_most_once => Some(fetch_ticket(request).await?),
        None => None,
    };
    let timeout = request.deadline_ms.map_or(DEFAULT_TIMEOUT, |ms| {
        Duration::from_millis(ms).saturating_add(RESPONSE_MARGIN)
    });
    let body = request_body(request, ticket.as_deref());
    let started = Instant::now();
    let answer = match send_request(request.query_address, "/v1/query", Some(&body), timeout).await
    {
        Ok(answer) => answer,
        Err(error @ (CliError::ConnectionLost { .. } | CliError::Timeout { .. })) => {
            return Ok(unknown_outcome_report(&error, ticket.as_deref(), json));
        }
        Err(error) => return Err(error),
    };
    let round_trip_ms = started.elapsed().as_millis();
    let view = JsonView::new(&answer.body);
    let exit = match view.get("outcome").value().as_str() {
        Some("complete") => Exit::Success,
        Some("partial") => Exit::Partial,
        Some("not_run") => Exit::NotRun,
        Some("unknown") => Exit::OutcomeUnknown,
        _ => {
            return Err(unexpected_response(
                request.query_address,
                "/v1/query",
                &answer,
            ));
        }
    };
    if json {
        return Ok(Report::from_json(&answer.body, exit));
    }
    Ok(Report::from_text(
        response_text(view, ticket.as_deref(), round_trip_ms),
        exit,
    ))
}

async fn fetch_ticket(request: &QueryRequest) -> Result<String, CliError> {
    let path = "/v1/tickets";
    let body = json!({ "team": request.team });
    let answer = send_request(request.query_address, path, Some(&body), TICKET_TIMEOUT).await?;
    match answer.body.get("ticket").and_then(Value::as_str) {
        Some(ticket) if answer.status == 200 => Ok(ticket.to_owned()),
        _ => Err(unexpected_response(request.query_address, path, &answer)),
    }
}

fn request_body(request: &QueryRequest, ticket: Option<&str>) -> Value {
    let mut body = json!({
        "team": request.team,
        "service": request.service,
        "query": request.query,
        "idempotent": ticket.is_none(),
    });
    if !request.shards.is_empty() {
        body["shards"] = json!(request.shards);
    }
    if let Some(deadline_ms) = request.deadline_ms {
        body["deadline_ms"] = json!(deadline_ms);
    }
    if let Some(ticket) = ticket {
        body["ticket"] = json!(ticket);
    }
    body
}

/// Reports an unknown outcome: the request was sent and no response arrived, so a leaf may have run
/// the query.
fn unknown_outcome_report(error: &CliError, ticket: Option<&str>, json: bool) -> Report {
    if json {
        let body =
            json!({ "outcome": "unknown", "error": error.message_with_causes(), "ticket": ticket });
        return Report::from_json(&body, Exit::OutcomeUnknown);
    }
    let advice = ticket.map_or_else(
        || "an idempotent query can be sent again".to_owned(),
        |ticket| format!("send it again with --ticket {}", printable(ticket)),
    );
    let text = format!(
        "outcome unknown: {}; {advice}\n",
        error.message_with_causes()
    );
    Report::from_text(text, Exit::OutcomeUnknown)
}

fn unexpected_response(address: SocketAddr, path: &'static str, answer: &JsonResponse) -> CliError {
    CliError::UnexpectedStatus {
        address,
        path,
        status: answer.status,
        body: excerpt(answer.body.to_string().as_bytes()),
    }
}

fn response_text(view: JsonView<'_>, ticket: Option<&str>, round_trip_ms: u128) -> String {
    let mut table = Table::default();
    let mut line = |label: &str, text: String| table.push([label.to_owned(), text]);
    let outcome = view.text("outcome");
    line("outcome", format!("{outcome}: {}", outcome_text(&outcome)));
    if let Some(reason) = view.get("reason").value().as_str() {
        line("reason", format!("{reason}: {}", reason_text(reason)));
    }
    if let Some(after_ms) = view.get("retry_after_ms").value().as_u64() {
        line("retry after", format!("{after_ms} ms"));
    }
    let covered = view.get("covered").items().count();
    let uncovered = view.get("uncovered").items().count();
    line(
        "coverage",
        format!("{covered} of {} shards", covered + uncovered),
    );
    for shard in view.get("uncovered").items() {
        let reason = shard.text("reason");
        let text = format!("shard {}: {}", shard.text("shard"), reason_text(&reason));
        line("  uncovered", text);
    }
    line("version", view.text("index_version"));
    line(
        "timing",
        format!(
            "{} ms in the daemon, {round_trip_ms} ms round trip",
            view.text("elapsed_ms")
        ),
    );
    line("extra requests", view.text("extra_leaf_requests"));
    line("request", view.text("request_id"));
    if let Some(ticket) = ticket {
        let replayed = if view.flag("replayed") {
            "; recorded outcome of an earlier run"
        } else {
            ""
        };
        line("ticket", format!("{ticket}{replayed}"));
    }
    let mut text = table.render();
    for row in view.get("rows").items() {
        let [shard, row] = ["shard", "row"].map(|key| printable(&row.text(key)));
        let _ = writeln!(text, "{shard}\t{row}");
    }
    text
}
