use std::time::Instant;

use medlarpin_core::extra_budget::{ExtraBudget, Urgency};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::Millis;

/// Events of a team's budget for extra leaf requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BudgetEvent {
    /// Creates a budget without credit.
    New,
    /// Records this many first requests, each of which earns part of an extra request.
    Earn { requests: u32 },
    /// Requests budget for a late hedge or a retry.
    Spend,
    /// Records the results of `count` leaf requests.
    Results {
        count: u32,
        refused: bool,
        queue_wait_ms: Millis,
    },
}

pub(crate) fn apply(
    subject: &mut Option<ExtraBudget>,
    event: &BudgetEvent,
    now: Instant,
) -> Option<Value> {
    if matches!(event, BudgetEvent::New) {
        *subject = Some(ExtraBudget::new());
    }
    let budget = subject.as_mut()?;
    match *event {
        BudgetEvent::New => {}
        BudgetEvent::Earn { requests } => (0..requests).for_each(|_| budget.earn()),
        BudgetEvent::Spend => {
            let granted = budget.try_spend(Urgency::Late, now);
            return Some(json!({"granted": granted, "extra": budget.extra_requests()}));
        }
        BudgetEvent::Results {
            count,
            refused,
            queue_wait_ms,
        } => {
            for _ in 0..count {
                budget.record_result(refused, queue_wait_ms.0, now);
            }
        }
    }
    Some(json!({"open": budget.is_open(now), "extra": budget.extra_requests()}))
}
