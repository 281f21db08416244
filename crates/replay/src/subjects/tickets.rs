use std::time::Instant;

use medlarpin_core::ids::{Fingerprint, Incarnation, TeamName, VmName};
use medlarpin_core::tickets::{IssueRefusal, RedeemOutcome, Ticket, TicketLimits, TicketTable};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Events of a ticket book; tickets have their text form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TicketEvent {
    /// The daemon starts with an empty book.
    New {
        vm: String,
        incarnation: u64,
    },
    Issue {
        team: String,
        random: u64,
    },
    /// A request presents a ticket.
    Burn {
        ticket: String,
        team: String,
        fingerprint: u64,
    },
    /// The run of a ticket ends with an outcome.
    Finish {
        ticket: String,
        outcome: String,
    },
    /// The run of a ticket ends and no leaf saw it.
    Release {
        ticket: String,
    },
}

pub(crate) fn apply(
    subject: &mut Option<TicketTable>,
    event: &TicketEvent,
    now: Instant,
) -> Option<Value> {
    if let TicketEvent::New { vm, incarnation } = event {
        let limits = TicketLimits::default();
        *subject = Some(TicketTable::new(
            VmName::new(vm),
            Incarnation(*incarnation),
            limits,
        ));
    }
    let book = subject.as_mut()?;
    let parse = |ticket: &str| ticket.parse::<Ticket>();
    let result = match event {
        TicketEvent::New { .. } => json!({"tickets": 0}),
        TicketEvent::Issue { team, random } => {
            match book.issue(&TeamName::new(team), u128::from(*random), now) {
                Ok(ticket) => json!({"ticket": ticket.to_string()}),
                Err(IssueRefusal::TableFull) => json!({"refused": "book_full"}),
                Err(IssueRefusal::TeamFull) => json!({"refused": "team_full"}),
                Err(IssueRefusal::RandomInUse) => json!({"refused": "random_in_use"}),
            }
        }
        TicketEvent::Burn {
            ticket,
            team,
            fingerprint,
        } => match parse(ticket) {
            Ok(ticket) => {
                let fingerprint = Fingerprint(*fingerprint);
                burn_outcome(&book.redeem(&ticket, &TeamName::new(team), fingerprint, now))
            }
            Err(_malformed) => json!("malformed"),
        },
        TicketEvent::Finish { ticket, outcome } => {
            if let Ok(ticket) = parse(ticket) {
                book.finish(&ticket, outcome.as_bytes().into(), now);
            }
            json!({"outcome_bytes": book.outcome_bytes()})
        }
        TicketEvent::Release { ticket } => {
            if let Ok(ticket) = parse(ticket) {
                book.release(&ticket);
            }
            json!({"tickets": book.len()})
        }
    };
    Some(result)
}

fn burn_outcome(burn: &RedeemOutcome) -> Value {
    match burn {
        RedeemOutcome::MayRun => json!("first"),
        RedeemOutcome::Running => json!("running"),
        RedeemOutcome::Finished(outcome) => json!({"finished": String::from_utf8_lossy(outcome)}),
        RedeemOutcome::OutcomeDropped => json!("forgotten"),
        RedeemOutcome::WrongIssuer => json!("wrong_issuer"),
        RedeemOutcome::Unknown => json!("unknown"),
        RedeemOutcome::Expired => json!("expired"),
        RedeemOutcome::Mismatch => json!("mismatch"),
    }
}
