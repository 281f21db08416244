use std::time::{Duration, Instant};

/// Next step of a query whose shard answers are being gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherStep {
    /// Wait for more shards, at most until this time.
    Wait {
        /// Time of the next decision.
        until: Instant,
    },
    /// Answer with the shards that are covered.
    Answer,
    /// Fail the query because too few shards are covered.
    GiveUp,
}

/// Share of the target latency reserved for sending the answer to the caller.
const ANSWER_MARGIN_SHARE: f64 = 0.1;
/// Minimum time reserved for the network round trip to the caller.
const ANSWER_MARGIN_MIN: Duration = Duration::from_millis(13);

/// Decides when a scatter-gather query is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherPolicy {
    /// Number of shards queried; at least 1.
    pub shard_count: usize,
    /// Minimum number of covered shards of a successful answer; from 1 to `shard_count`.
    pub needed: usize,
    /// Time from which a partial answer with enough shards is sent instead of waiting for the rest.
    pub answer_by: Instant,
    /// Time at which the query is answered or failed, whatever is covered.
    pub deadline: Instant,
}

impl GatherPolicy {
    /// Creates the policy of a query that has just arrived.
    #[must_use]
    pub fn new(
        shard_count: usize,
        coverage_min: f64,
        target_latency: Duration,
        time_left: Duration,
        now: Instant,
    ) -> Self {
        let margin = target_latency
            .mul_f64(ANSWER_MARGIN_SHARE)
            .max(ANSWER_MARGIN_MIN);
        let deadline = now + time_left;
        let answer_by = now + target_latency.saturating_sub(margin);
        Self {
            shard_count,
            needed: shards_needed(shard_count, coverage_min),
            answer_by: answer_by.min(deadline),
            deadline,
        }
    }

    /// Decides the next step; `pending` shards still have a leaf request in flight.
    #[must_use]
    pub fn step(&self, covered: usize, pending: usize, now: Instant) -> GatherStep {
        let is_enough = covered >= self.needed;
        let is_final = covered >= self.shard_count || pending == 0 || now >= self.deadline;
        if is_final || covered + pending < self.needed {
            return if is_enough {
                GatherStep::Answer
            } else {
                GatherStep::GiveUp
            };
        }
        if now < self.answer_by {
            return GatherStep::Wait {
                until: self.answer_by,
            };
        }
        if is_enough {
            return GatherStep::Answer;
        }
        GatherStep::Wait {
            until: self.deadline,
        }
    }
}

/// Returns the number of shards that a successful answer covers.
pub(super) fn shards_needed(shard_count: usize, coverage_min: f64) -> usize {
    // Floating-point rounding can put the product just above a whole number.
    const ROUNDING: f64 = 1e-9;
    let least = (coverage_min * shard_count as f64 - ROUNDING)
        .ceil()
        .max(1.0);
    (1..=shard_count)
        .find(|count| *count as f64 >= least)
        .unwrap_or(shard_count)
}
