use std::time::Instant;

use medlarpin_core::extra_budget::ExtraBudget;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::Millis;

/// Events of a budget of extra requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BudgetEvent {
    New,
    /// First requests are sent.
    Earn {
        requests: u32,
    },
    /// A hedge or a retry asks for its cost.
    Spend,
    /// Leaf requests end.
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
            let granted = budget.try_spend(now);
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
