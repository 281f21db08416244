use std::time::{Duration, Instant};

/// Time without requests after a shed one; a queued request of a full leaf ends within it.
pub const SHED_BACK_OFF: Duration = Duration::from_millis(40);
/// First time without requests after a failed exchange.
pub const FAILURE_BACK_OFF_MIN: Duration = Duration::from_millis(100);
/// Longest time without requests after failed exchanges; bounds the delay until a leaf that is
/// back is noticed.
pub const FAILURE_BACK_OFF_MAX: Duration = Duration::from_millis(800);

/// Weight of a new latency ratio in the moving average.
const RATIO_WEIGHT: f64 = 0.3;
/// Time in which half of what was learned about a leaf's speed is forgotten.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(2);
/// Largest latency ratio that is recorded; bounds the time until a recovered leaf is tried again.
const RATIO_MAX: f64 = 20.0;
/// Weight of a new answer or rejection in the moving average of rejections.
const SHED_WEIGHT: f64 = 0.2;
/// How strongly a leaf's rejections count against it: a rejected request costs little time, but a
/// part of the limited repeats.
const SHED_PENALTY: f64 = 4.0;
/// A request that takes longer than this multiple of the expected latency raises the estimate
/// before it is answered.
const OVERDUE_RATIO: f64 = 2.0;

/// What this daemon has observed of one leaf.
///
/// Each [`sent`](Self::sent) is followed by exactly one [`ended`](Self::ended).
#[derive(Debug, Clone, Default)]
pub struct LeafLoad {
    /// Start times of the requests in flight, oldest first.
    in_flight: Vec<Instant>,
    /// Moving average of latency over the route's typical latency; 1 for an ordinary leaf.
    ratio: Option<(f64, Instant)>,
    /// Moving average of rejections and lost answers, from 0 to 1.
    shed_share: Option<(f64, Instant)>,
    /// Failed exchanges in a row.
    failures: u32,
    /// No requests before this time.
    blocked_until: Option<Instant>,
}

impl LeafLoad {
    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records the end of the request that was sent at this time.
    pub fn ended(&mut self, sent_at: Instant) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent_at) {
            self.in_flight.remove(index);
        }
    }

    /// Records an answer; `typical` is the typical latency of the request's route.
    pub fn answered(&mut self, latency: Duration, typical: Duration, now: Instant) {
        self.failures = 0;
        self.blocked_until = None;
        self.observe_shed(0.0, now);
        self.observe(latency, typical, now);
    }

    /// Records a request that was given up after `waited` without an answer.
    pub fn abandoned(&mut self, waited: Duration, typical: Duration, now: Instant) {
        if waited > typical {
            self.observe(waited, typical, now);
        }
    }

    /// Records that the leaf turned a request away because it is full.
    pub fn shed(&mut self, now: Instant) {
        self.observe_shed(1.0, now);
        self.block(now + SHED_BACK_OFF);
    }

    /// Records an exchange that broke off after the request was sent.
    ///
    /// A leaf that loses single answers still serves the others, so only the second in a row blocks
    /// it; a leaf that has ended refuses the next connection.
    pub fn answer_lost(&mut self, now: Instant) {
        self.observe_shed(1.0, now);
        if self.failures > 0 {
            self.failed(now);
        } else {
            self.failures = 1;
        }
    }

    /// Records a failed connection attempt, or an address that another leaf has.
    pub fn failed(&mut self, now: Instant) {
        let factor = 1_u32 << self.failures.min(3);
        self.failures = self.failures.saturating_add(1);
        self.block(now + (FAILURE_BACK_OFF_MIN * factor).min(FAILURE_BACK_OFF_MAX));
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the end of the time without requests, if it is ahead.
    #[must_use]
    pub fn blocked_until(&self, now: Instant) -> Option<Instant> {
        self.blocked_until.filter(|until| now < *until)
    }

    /// Returns the expected latency of one more request, as a multiple of the typical one.
    #[must_use]
    pub fn expected_ratio(&self, slots: u32, typical: Duration, now: Instant) -> f64 {
        let queued = self.in_flight.len() as f64 / f64::from(slots.max(1));
        let rejections = 1.0 + SHED_PENALTY * self.shed_share(now);
        let expected = self.ratio(now) * (1.0 + queued) * rejections;
        let overdue = self.overdue_ratio(typical, now);
        if overdue > expected * OVERDUE_RATIO {
            expected + overdue
        } else {
            expected
        }
    }

    /// Returns the latency ratio, which returns to 1 with time.
    #[must_use]
    pub fn ratio(&self, now: Instant) -> f64 {
        let Some((ratio, at)) = self.ratio else {
            return 1.0;
        };
        1.0 + (ratio - 1.0) * kept_share(at, now)
    }

    /// Returns the share of requests that the leaf rejects, which returns to 0 with time.
    #[must_use]
    pub fn shed_share(&self, now: Instant) -> f64 {
        self.shed_share
            .map_or(0.0, |(share, at)| share * kept_share(at, now))
    }

    fn overdue_ratio(&self, typical: Duration, now: Instant) -> f64 {
        let oldest = self.in_flight.first().copied().unwrap_or(now);
        ratio_of(now.saturating_duration_since(oldest), typical)
    }

    fn observe(&mut self, latency: Duration, typical: Duration, now: Instant) {
        let observed = ratio_of(latency, typical).min(RATIO_MAX);
        let before = self.ratio(now);
        self.ratio = Some((before + (observed - before) * RATIO_WEIGHT, now));
    }

    fn observe_shed(&mut self, observed: f64, now: Instant) {
        let before = self.shed_share(now);
        if before > 0.0 || observed > 0.0 {
            self.shed_share = Some((before + (observed - before) * SHED_WEIGHT, now));
        }
    }

    fn block(&mut self, until: Instant) {
        self.blocked_until = self.blocked_until.max(Some(until));
    }
}

/// Returns the part of an observation that is not forgotten yet.
fn kept_share(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5_f64.powf(age / RATIO_HALF_LIFE.as_secs_f64())
}

fn ratio_of(latency: Duration, typical: Duration) -> f64 {
    latency.as_secs_f64() / typical.as_secs_f64().max(0.001)
}
