use std::time::Instant;

use medlarpin_core::ids::{Fingerprint, Incarnation, TeamName, VmName};
use medlarpin_core::tickets::{IssueRefusal, RedeemOutcome, Ticket, TicketLimits, TicketTable};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Events of a ticket table; tickets are written in their text form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TicketEvent {
    /// The daemon starts with an empty table.
    New {
        vm: String,
        incarnation: u64,
    },
    Issue {
        team: String,
        random: u64,
    },
    /// A request redeems a ticket.
    #[serde(rename = "burn")]
    Redeem {
        ticket: String,
        team: String,
        fingerprint: u64,
    },
    /// The run of a ticket completes with an outcome, which the table stores.
    Finish {
        ticket: String,
        outcome: String,
    },
    /// The run of a ticket completes, but no leaf ran its request, so the ticket can be redeemed
    /// again.
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
    let table = subject.as_mut()?;
    let parse = |ticket: &str| ticket.parse::<Ticket>();
    let result = match event {
        TicketEvent::New { .. } => json!({"tickets": 0}),
        TicketEvent::Issue { team, random } => {
            match table.issue(&TeamName::new(team), u128::from(*random), now) {
                Ok(ticket) => json!({"ticket": ticket.to_string()}),
                Err(IssueRefusal::TableFull) => json!({"refused": "book_full"}),
                Err(IssueRefusal::TeamFull) => json!({"refused": "team_full"}),
                Err(IssueRefusal::RandomInUse) => json!({"refused": "random_in_use"}),
            }
        }
        TicketEvent::Redeem {
            ticket,
            team,
            fingerprint,
        } => match parse(ticket) {
            Ok(ticket) => {
                let fingerprint = Fingerprint(*fingerprint);
                outcome_value(&table.redeem(&ticket, &TeamName::new(team), fingerprint, now))
            }
            Err(_malformed) => json!("malformed"),
        },
        TicketEvent::Finish { ticket, outcome } => {
            if let Ok(ticket) = parse(ticket) {
                table.finish(&ticket, outcome.as_bytes().into(), now);
            }
            json!({"outcome_bytes": table.outcome_bytes()})
        }
        TicketEvent::Release { ticket } => {
            if let Ok(ticket) = parse(ticket) {
                table.release(&ticket);
            }
            json!({"tickets": table.len()})
        }
    };
    Some(result)
}

fn outcome_value(outcome: &RedeemOutcome) -> Value {
    match outcome {
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
