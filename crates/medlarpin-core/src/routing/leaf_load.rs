use std::time::{Duration, Instant};

use super::statement_trust::StatementTrust;
use super::usual_ratio::UsualRatio;
use super::{LoadStatement, ProbeDue, RatioEvidence};

/// Back-off after a rejected request; within this time, a full leaf finishes a queued request.
pub const SHED_BACK_OFF: Duration = Duration::from_millis(40);
/// First back-off after a failed connection attempt or repeatedly lost answers; doubles with each
/// further failure.
pub const FAILURE_BACK_OFF_MIN: Duration = Duration::from_millis(100);
/// Maximum back-off after such failures; bounds the time until a recovered leaf is noticed.
pub const FAILURE_BACK_OFF_MAX: Duration = Duration::from_millis(800);

/// Longest pause that a leaf may ask for. A longer one is taken for a mistake of the leaf, which
/// would otherwise be lost for good.
pub const PAUSE_MAX: Duration = Duration::from_mins(5);
/// Time without any answer after which a leaf with a request in flight counts as silent.
pub const LEAF_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time that a cancelled request must have waited to count as unanswered. Leafs pause for
/// up to 250 ms.
pub const UNANSWERED_MIN: Duration = Duration::from_millis(400);
/// Unanswered requests in a row after which a leaf counts as silent.
const UNANSWERED_MAX: u32 = 2;

/// Weight of a new latency ratio in its exponential moving average.
const RATIO_WEIGHT: f64 = 0.3;
/// Half-life with which the averages decay towards the leaf's usual latency and towards 0.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(2);
/// Upper bound of a recorded latency ratio; bounds the time until a recovered leaf is tried again.
const RATIO_MAX: f64 = 20.0;
/// Weight of a new answer or rejection in the exponential moving average of rejections.
const SHED_WEIGHT: f64 = 0.2;
/// Factor by which rejections raise a leaf's expected latency. A rejected request costs little
/// time, but its retry uses part of the retry budget.
const SHED_PENALTY: f64 = 4.0;
/// A request in flight for longer than this multiple of the expected latency raises the estimate
/// before it completes.
const OVERDUE_RATIO: f64 = 2.0;
/// Weight of the own requests per slot in the choice of a leaf, where 1 would be their part of the latency.
/// They are the only count that is never out of date, and where a leaf holds some of them, it holds those
/// of other daemons as well. In the model of `tests/routing_balance.rs` at half load, weight 1 left 1.5 times as
/// many requests waiting beside an idle leaf with 20 daemons and 1.1 times with 300; 8 gained little over 6.
const OWN_REQUESTS_WEIGHT: f64 = 6.0;

/// How a leaf was found to be unreachable from this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreachable {
    /// Connections could not be opened. One that opens shows that the leaf can be reached.
    Refused,
    /// Requests got no answer, or their connections broke. Only an answer shows that the leaf can be
    /// reached.
    Silent,
}

impl Unreachable {
    /// Returns the value in log lines and state dumps.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: Instant,
    /// Deviation of the leaf's stated load from the average when the request was sent.
    stated_deviation: f64,
}

/// Load and health of one leaf as observed by this daemon.
///
/// Each call of [`sent`](Self::sent) must be followed by exactly one call of
/// [`remove_in_flight`](Self::remove_in_flight).
#[derive(Debug, Clone, Default)]
pub struct LeafLoad {
    /// The requests in flight, oldest first.
    in_flight: Vec<InFlight>,
    /// Moving average of the latency divided by the route's typical latency, and the time of its
    /// last update; 1 for an ordinary leaf.
    ratio: Option<(f64, Instant)>,
    /// The same over minutes, towards which the moving average decays.
    usual_ratio: UsualRatio,
    /// What the leaf states of its load.
    statements: StatementTrust,
    /// Moving average of rejections and lost answers, from 0 to 1, and the time of its last update.
    shed_share: Option<(f64, Instant)>,
    /// Consecutive failed connection attempts and lost answers.
    failures: u32,
    /// End of the latest back-off, which may have passed.
    blocked_until: Option<Instant>,
    /// End of the time for which the leaf asked for no requests of this daemon. Neither an answer nor
    /// a probe shortens it.
    pause_until: Option<Instant>,
    /// Time of the last answer of any kind.
    heard_at: Option<Instant>,
    /// Requests that were cancelled without an answer since then.
    unanswered: u32,
    /// How the leaf was found to be unreachable; `None` while it may be reached.
    unreachable: Option<Unreachable>,
    /// True if another leaf answers at the published address.
    is_replaced: bool,
}

impl LeafLoad {
    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.in_flight.push(InFlight {
            sent_at: now,
            stated_deviation: self.statements.deviation(now),
        });
    }

    /// Records that the request sent at `sent_at` is no longer in flight, whatever its outcome.
    pub fn remove_in_flight(&mut self, sent_at: Instant) {
        if let Some(index) = self.position_in_flight(sent_at) {
            self.in_flight.remove(index);
        }
    }

    /// Records an answer, which ends the back-off; `typical` is the typical latency of the
    /// request's route.
    pub fn answered(&mut self, latency: Duration, typical: Duration, now: Instant) {
        self.failures = 0;
        self.reached(now);
        self.observe_shed(0.0, now);
        let sent_at = now.checked_sub(latency).unwrap_or(now);
        if let Some(index) = self.position_in_flight(sent_at) {
            let expected = self.ratio(now).max(0.01);
            let deviation = self.in_flight[index].stated_deviation;
            self.statements
                .observe(deviation, ratio_of(latency, typical) / expected);
        }
        self.observe(latency, typical, now);
    }

    /// Records what the leaf stated of its load, in an answer of any kind.
    pub fn record_statement(&mut self, statement: LoadStatement) {
        self.statements.record(statement);
    }

    /// Returns the latest statement of the leaf's load.
    #[must_use]
    pub fn statement(&self) -> Option<LoadStatement> {
        self.statements.latest()
    }

    /// Returns how far the leaf's statements are believed, from 0 to 1.
    #[must_use]
    pub fn statement_trust(&self) -> f64 {
        self.statements.trust()
    }

    /// Returns the latency ratios of the last minutes.
    #[must_use]
    pub fn ratio_evidence(&self) -> RatioEvidence {
        self.usual_ratio.evidence()
    }

    /// Records a request that was cancelled or timed out after `waited` without an answer.
    ///
    /// Its latency is at least `waited`, which is only informative above the typical latency.
    pub fn abandoned(&mut self, waited: Duration, typical: Duration, now: Instant) {
        if waited > typical {
            self.observe(waited, typical, now);
        }
        let sent_at = now.checked_sub(waited).unwrap_or(now);
        if waited >= UNANSWERED_MIN && !self.has_heard_since(sent_at) {
            self.unanswered += 1;
            if waited >= LEAF_SILENCE_TIMEOUT || self.unanswered >= UNANSWERED_MAX {
                self.fell_silent(now);
            }
        }
    }

    /// Records that the leaf is silent if a request has been in flight for [`LEAF_SILENCE_TIMEOUT`] without
    /// any answer of the leaf; returns true if it is found to be silent now.
    pub fn check_silence(&mut self, now: Instant) -> bool {
        let is_silent = self.oldest_sent_at().is_some_and(|sent_at| {
            now.saturating_duration_since(sent_at) >= LEAF_SILENCE_TIMEOUT
                && !self.has_heard_since(sent_at)
        });
        let is_new = is_silent && self.unreachable != Some(Unreachable::Silent);
        if is_new {
            self.fell_silent(now);
        }
        is_new
    }

    /// Lets the leaf be probed at once if it has not answered for [`LEAF_SILENCE_TIMEOUT`], because
    /// another leaf of its service was found to be silent: the links to both may have failed, and a
    /// VM that gets few requests would find out with one caller's request for each leaf.
    pub fn suspect(&mut self, now: Instant) {
        let recently = now.checked_sub(LEAF_SILENCE_TIMEOUT).unwrap_or(now);
        self.suspect_unless_heard_since(recently);
    }

    /// Lets the leaf be probed at once if it has not answered since then.
    pub fn suspect_unless_heard_since(&mut self, at: Instant) {
        if !self.has_heard_since(at) {
            self.unreachable.get_or_insert(Unreachable::Silent);
        }
    }

    /// Returns true if [`Self::check_silence`] or [`Self::probe_due`] may have a result now.
    #[must_use]
    pub fn needs_check(&self, now: Instant) -> bool {
        let is_overdue = self
            .oldest_sent_at()
            .is_some_and(|sent_at| now.saturating_duration_since(sent_at) >= LEAF_SILENCE_TIMEOUT);
        is_overdue || self.unreachable.is_some()
    }

    /// Records that the leaf can be reached, which ends the back-off.
    pub fn reached(&mut self, now: Instant) {
        self.heard(now);
        self.unreachable = None;
        self.blocked_until = None;
    }

    /// Returns how the leaf was found to be unreachable. It gets no requests until a probe has
    /// reached it; callers' requests are no probes, as they can be handed over to another daemon.
    #[must_use]
    pub fn unreachable(&self) -> Option<Unreachable> {
        self.unreachable
    }

    /// Returns the probe that the leaf needs now: it is unreachable, and the back-off since the last
    /// attempt is over.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> Option<ProbeDue> {
        let how = self
            .unreachable
            .filter(|_| self.blocked_until(now).is_none())?;
        Some(ProbeDue::new(how, self.failures))
    }

    /// Records a probe without an answer.
    pub fn probe_failed(&mut self, now: Instant) {
        self.start_failure_back_off(now);
    }

    /// Records that the leaf rejected a request because it is full.
    pub fn shed(&mut self, now: Instant) {
        self.heard(now);
        self.observe_shed(1.0, now);
        self.back_off_until(now + SHED_BACK_OFF);
    }

    /// Records that the leaf rejected a request and asked for no further ones for `pause`.
    pub fn asked_for_pause(&mut self, pause: Duration, now: Instant) {
        let until = now + pause.min(PAUSE_MAX);
        self.pause_until = self.pause_until.max(Some(until));
    }

    /// Returns the end of the time for which the leaf asked for no requests.
    #[must_use]
    pub fn pause_until(&self, now: Instant) -> Option<Instant> {
        self.pause_until.filter(|until| now < *until)
    }

    /// Records that a request was sent and its answer was lost or unusable.
    ///
    /// A leaf that loses single answers still serves other requests, so the back-off starts only
    /// with the second failure in a row. A leaf that has stopped refuses the next connection.
    pub fn answer_lost(&mut self, now: Instant) {
        self.observe_shed(1.0, now);
        if self.failures > 0 {
            self.unreachable.get_or_insert(Unreachable::Silent);
            self.start_failure_back_off(now);
        } else {
            self.failures = 1;
        }
    }

    /// Records that another leaf answers at the published address.
    ///
    /// The entry stays unusable until the leaf publishes another one. Further attempts would only
    /// add load to the other leaf, which may belong to another service.
    pub fn replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Records that the leaf published another entry.
    pub fn republished(&mut self) {
        self.is_replaced = false;
    }

    /// Returns true if another leaf answers at the published address.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Records a failed connection attempt.
    pub fn failed(&mut self, now: Instant) {
        self.unreachable.get_or_insert(Unreachable::Refused);
        self.start_failure_back_off(now);
    }

    /// Returns true if the leaf has answered anything since then.
    #[must_use]
    pub fn has_heard_since(&self, at: Instant) -> bool {
        self.heard_at.is_some_and(|heard_at| heard_at >= at)
    }

    /// Returns the time of the last answer of any kind.
    #[must_use]
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at
    }

    /// Returns true if the leaf has ever answered.
    #[must_use]
    pub fn has_been_heard(&self) -> bool {
        self.heard_at.is_some()
    }

    fn heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.unanswered = 0;
    }

    fn fell_silent(&mut self, now: Instant) {
        self.unreachable = Some(Unreachable::Silent);
        self.start_failure_back_off(now);
    }

    fn start_failure_back_off(&mut self, now: Instant) {
        let factor = 1_u32 << self.failures.min(3);
        self.failures = self.failures.saturating_add(1);
        self.back_off_until(now + (FAILURE_BACK_OFF_MIN * factor).min(FAILURE_BACK_OFF_MAX));
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the end of the back-off, or of the pause that the leaf asked for, if it is in one.
    #[must_use]
    pub fn blocked_until(&self, now: Instant) -> Option<Instant> {
        let back_off = self.blocked_until.filter(|until| now < *until);
        back_off.max(self.pause_until(now))
    }

    /// Returns the expected latency of one more request, as a multiple of the typical latency, without
    /// regard to the other leafs of the service.
    #[must_use]
    pub fn expected_ratio(&self, slots: u32, typical: Duration, now: Instant) -> f64 {
        self.expected_among(RatioEvidence::default(), slots, typical, now)
    }

    /// Returns the ratio by which the leaf is chosen: the expected one with the own requests and the
    /// leaf's statements weighted. `service` is the evidence of all leafs of the service.
    #[must_use]
    pub fn choice_ratio(
        &self,
        service: RatioEvidence,
        slots: u32,
        typical: Duration,
        now: Instant,
    ) -> f64 {
        let own = self.own_requests_per_slot(slots);
        let crowding = (1.0 + OWN_REQUESTS_WEIGHT * own) / (1.0 + own);
        let expected = self.expected_among(service, slots, typical, now);
        expected * crowding * self.statements.factor(now)
    }

    fn expected_among(
        &self,
        service: RatioEvidence,
        slots: u32,
        typical: Duration,
        now: Instant,
    ) -> f64 {
        let queued = self.own_requests_per_slot(slots);
        let rejections = 1.0 + SHED_PENALTY * self.shed_share(now);
        let expected = self.ratio_among(service, now) * (1.0 + queued) * rejections;
        let overdue = self.overdue_ratio(typical, now);
        if overdue > expected * OVERDUE_RATIO {
            expected + overdue
        } else {
            expected
        }
    }

    fn own_requests_per_slot(&self, slots: u32) -> f64 {
        self.in_flight.len() as f64 / f64::from(slots.max(1))
    }

    /// Returns the average latency ratio, which decays to the usual one.
    #[must_use]
    pub fn ratio(&self, now: Instant) -> f64 {
        self.ratio_among(RatioEvidence::default(), now)
    }

    fn ratio_among(&self, service: RatioEvidence, now: Instant) -> f64 {
        let usual = self.ratio_evidence().ratio_among(service);
        let Some((ratio, at)) = self.ratio else {
            return usual;
        };
        usual + (ratio - usual) * decay_factor(at, now)
    }

    /// Returns the average share of rejected requests and lost answers, which decays to 0.
    #[must_use]
    pub fn shed_share(&self, now: Instant) -> f64 {
        self.shed_share
            .map_or(0.0, |(share, at)| share * decay_factor(at, now))
    }

    fn overdue_ratio(&self, typical: Duration, now: Instant) -> f64 {
        let oldest = self.oldest_sent_at().unwrap_or(now);
        ratio_of(now.saturating_duration_since(oldest), typical)
    }

    fn oldest_sent_at(&self) -> Option<Instant> {
        self.in_flight.first().map(|request| request.sent_at)
    }

    fn position_in_flight(&self, sent_at: Instant) -> Option<usize> {
        let mut requests = self.in_flight.iter();
        requests.position(|request| request.sent_at == sent_at)
    }

    fn observe(&mut self, latency: Duration, typical: Duration, now: Instant) {
        let observed = ratio_of(latency, typical).min(RATIO_MAX);
        let before = self.ratio(now);
        self.ratio = Some((before + (observed - before) * RATIO_WEIGHT, now));
        self.usual_ratio.observe(observed, now);
    }

    fn observe_shed(&mut self, observed: f64, now: Instant) {
        let before = self.shed_share(now);
        if before > 0.0 || observed > 0.0 {
            self.shed_share = Some((before + (observed - before) * SHED_WEIGHT, now));
        }
    }

    fn back_off_until(&mut self, until: Instant) {
        self.blocked_until = self.blocked_until.max(Some(until));
    }
}

/// Returns the weight of an observation made at `at`, after exponential decay.
fn decay_factor(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5_f64.powf(age / RATIO_HALF_LIFE.as_secs_f64())
}

fn ratio_of(latency: Duration, typical: Duration) -> f64 {
    latency.as_secs_f64() / typical.as_secs_f64().max(0.001)
}
