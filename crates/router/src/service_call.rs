use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::stream::{FuturesUnordered, StreamExt};
use medlarpin_core::canary::LossKind;
use medlarpin_core::hedge_timer::HedgeTimer;
use medlarpin_core::prelude::{LeafId, ServiceName};
use medlarpin_core::routing::{CallAttempts, Candidate, RatioEvidence, Route, choose_replica};
use tokio::time::{sleep_until, timeout};

use crate::attempt::run_attempt;
use crate::attempt_result::{AttemptResult, LeafAnswer, LeafFailure};
use crate::call_evidence::{CallEvidence, LostLeaf};
use crate::caller_request::CallerRequest;
use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_rates::LeafRates;
use crate::route_state::RouteState;
use crate::shared::Shared;

/// Time for which an attempt may still complete after another one answered, which keeps its
/// connection reusable. After it, the attempt is cancelled to free the leaf.
const LATE_ATTEMPT_GRACE: Duration = Duration::from_millis(200);
/// Fraction of the target latency, counted from a request's arrival, within which the request may
/// wait for the end of a leaf's back-off, for example after the leaf shed load.
const SHED_WAIT_FRACTION: f64 = 0.3;
/// Factor on the expected latency of leafs in other failure domains. Traffic within the daemon's
/// own failure domain is faster and costs less, so four of five requests stay there while its leafs
/// are as good as the others. A single own request at a leaf outweighs the factor.
const REMOTE_DOMAIN_FACTOR: f64 = 1.6;
/// Lower bound of the expected latency of a leaf whose entry states a warm-up time: leafs answer about
/// 1.6 times slower during it.
const COLD_RATIO_MIN: f64 = 1.6;

/// Interval at which a request that may have crashed leafs checks whether another leaf answered it.
const EVIDENCE_POLL: Duration = Duration::from_millis(5);

type Attempt = Pin<Box<dyn Future<Output = (Arc<Leaf>, Instant, AttemptResult)> + Send>>;

/// Why a service gave no successful answer.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the facts are independent of each other"
)]
pub(crate) struct ServiceFailure {
    /// True if a leaf may have got the request, even if it rejected it.
    pub(crate) may_have_arrived: bool,
    /// True if a leaf may have run the request.
    pub(crate) may_have_run: bool,
    /// True if the service had no leaf that any daemon could use.
    pub(crate) has_no_leaf: bool,
    /// Failure of the last failed attempt; `None` if none failed.
    pub(crate) last: Option<LeafFailure>,
    /// An answer of a leaf with an unsuccessful status.
    pub(crate) leaf_answer: Option<LeafAnswer>,
    /// True if the deadline passed.
    pub(crate) timed_out: bool,
    /// Time until a leaf takes a request, if only the request rates that the leafs state prevented
    /// another attempt.
    pub(crate) rate_wait: Option<Duration>,
}

/// A request to a service: sent to one leaf, with hedges and retries on others.
pub(crate) struct ServiceCall {
    shared: Arc<Shared>,
    service: ServiceName,
    route: Arc<Route>,
    state: Arc<RouteState>,
    request: Arc<CallerRequest>,
    attempts: CallAttempts,
    evidence: Arc<CallEvidence>,
    /// Runs of leafs that an equal request lost; used only if the service has no other leaf.
    avoided: Vec<LeafId>,
    /// True once a hedge was denied, which is logged only once.
    is_hedge_denied: bool,
    failure: ServiceFailure,
}

impl ServiceCall {
    pub(crate) fn new(
        shared: Arc<Shared>,
        service: ServiceName,
        route: Arc<Route>,
        state: Arc<RouteState>,
        request: Arc<CallerRequest>,
        evidence: Arc<CallEvidence>,
    ) -> Self {
        let attempts = CallAttempts::new(route.repeatability, route.leafs_max);
        Self {
            shared,
            service,
            route,
            state,
            request,
            attempts,
            evidence,
            avoided: Vec::new(),
            is_hedge_denied: false,
            failure: ServiceFailure {
                may_have_arrived: false,
                may_have_run: false,
                has_no_leaf: false,
                last: None,
                leaf_answer: None,
                timed_out: false,
                rate_wait: None,
            },
        }
    }

    /// Limits the request to a single leaf, because equal ones have lost the leafs `lost`.
    pub(crate) fn into_canary(mut self, lost: Vec<LeafId>) -> Self {
        let lost_leafs: Vec<&str> = lost.iter().map(LeafId::as_str).collect();
        Event::SentOnSuspicion {
            request: self.request.id_text(),
            service: self.service.as_str(),
            lost: &lost_leafs,
        }
        .log();
        self.attempts = CallAttempts::canary();
        self.avoided = lost;
        self
    }

    /// Sends the request, with hedges and retries, until a leaf answers it successfully, no further
    /// attempt is possible or the deadline passes.
    pub(crate) async fn run(mut self) -> Result<LeafAnswer, ServiceFailure> {
        let started = self.shared.now();
        self.shared.record_request(&self.service, started);
        let hedge_delay = self.state.latency.lock().hedge_delay(started);
        let mut attempts: FuturesUnordered<Attempt> = FuturesUnordered::new();
        let mut hedge = if self.attempts.is_idempotent() {
            HedgeTimer::new(hedge_delay, started)
        } else {
            HedgeTimer::never()
        };
        loop {
            let now = self.shared.now();
            if now >= self.request.deadline {
                self.log_leafs_silent(now);
                self.failure.timed_out = true;
                self.failure.may_have_arrived |= !attempts.is_empty();
                self.failure.may_have_run |= !attempts.is_empty();
                return Err(self.failure);
            }
            if attempts.is_empty() {
                match self.next_step(now) {
                    NextStep::Send(leaf) => attempts.push(self.send(leaf, now)),
                    NextStep::AskPermit(leaf, issuer) => {
                        if LeafRates::new(&self.shared).ask_permit(&leaf, issuer).await {
                            let now = self.shared.now();
                            // The leaf may have asked for no requests meanwhile.
                            if leaf.load().blocked_until(now).is_some() {
                                continue;
                            }
                            if !self.try_send_budget(now) {
                                self.record_retry_denied();
                                return Err(self.failure);
                            }
                            attempts.push(self.send(leaf, now));
                        }
                        continue;
                    }
                    NextStep::WaitUntil(at) => {
                        sleep_until(at.min(self.request.deadline).into()).await;
                        continue;
                    }
                    NextStep::Fail => return Err(self.failure),
                }
            }
            let deadline = self.request.deadline;
            let wake_at = hedge.due_at().map_or(deadline, |at| at.min(deadline));
            tokio::select! {
                biased;
                Some((leaf, sent_at, result)) = attempts.next() => {
                    if let Some(answer) = self.handle_result(&leaf, sent_at, result) {
                        let now = self.shared.now();
                        let elapsed = now.saturating_duration_since(started);
                        self.state.latency.lock().record(elapsed, now);
                        await_in_background(attempts);
                        return Ok(answer);
                    }
                }
                () = sleep_until(wake_at.into()) => {
                    let now = self.shared.now();
                    if hedge.is_due(now) {
                        self.hedge(&mut hedge, &mut attempts, now);
                    }
                }
            }
        }
    }

    /// Sends a hedge to another leaf if one is available and the retry budget allows it.
    fn hedge(
        &mut self,
        hedge: &mut HedgeTimer,
        attempts: &mut FuturesUnordered<Attempt>,
        now: Instant,
    ) {
        if !self.attempts.may_hedge(attempts.len()) || self.evidence.is_suspicious(&self.service) {
            return hedge.stop();
        }
        // The other leafs may be in back-off, which is short.
        let Some(leaf) = self.choose_leaf(now, true) else {
            return hedge.denied(now);
        };
        if !self.try_send_budget(now) {
            self.shared.metrics.hedges_denied.inc();
            if !self.is_hedge_denied {
                self.is_hedge_denied = true;
                self.log_retry_denied();
            }
            return hedge.denied(now);
        }
        hedge.sent(now);
        self.shared.metrics.hedges.inc();
        Event::Hedged {
            request: self.request.id_text(),
            service: self.service.as_str(),
            leaf: leaf.entry.id.as_str(),
            after_ms: now
                .saturating_duration_since(self.request.arrived_at)
                .as_millis(),
        }
        .log();
        attempts.push(self.send(leaf, now));
    }

    /// Records the result of an attempt; returns the answer if it is successful.
    fn handle_result(
        &mut self,
        leaf: &Arc<Leaf>,
        sent_at: Instant,
        result: AttemptResult,
    ) -> Option<LeafAnswer> {
        self.evidence.ended();
        match result {
            Ok(answer) if answer.status.is_success() => {
                self.evidence.answered(&self.service);
                let memory = &self.shared.crash_memory;
                memory.record_answer(&self.request, &self.service);
                Some(answer)
            }
            Ok(answer) => {
                self.record_possible_run(leaf);
                self.failure.leaf_answer = Some(answer);
                None
            }
            Err(failure) => {
                let waited = self.shared.now().saturating_duration_since(sent_at);
                Event::LeafFailed {
                    request: self.request.id_text(),
                    service: self.service.as_str(),
                    leaf: leaf.entry.id.as_str(),
                    failure,
                    after_ms: waited.as_millis(),
                }
                .log();
                self.shared.metrics.record_leaf_failure(failure);
                if failure == LeafFailure::BrokenOff {
                    self.evidence.lost(LostLeaf {
                        service: self.service.clone(),
                        leaf: Arc::clone(leaf),
                        kind: LossKind::Broken,
                        intact_at: sent_at,
                    });
                }
                if failure == LeafFailure::Shed {
                    self.attempts.rejected(&leaf.entry.id);
                }
                if failure.is_not_arrived() {
                    self.attempts.not_arrived();
                } else {
                    self.failure.may_have_arrived = true;
                }
                if failure.may_have_run() {
                    self.record_possible_run(leaf);
                }
                self.failure.last = Some(failure);
                None
            }
        }
    }

    /// Decides on the next attempt while none is in flight.
    fn next_step(&mut self, now: Instant) -> NextStep {
        if !self.attempts.may_send() {
            return NextStep::Fail;
        }
        // The other daemons cannot be told of a request that crashes leafs.
        if self.evidence.has_lost(&self.service) && self.shared.is_isolated() {
            return NextStep::Fail;
        }
        if self.evidence.is_suspicious(&self.service) {
            return if self.evidence.has_in_flight() {
                NextStep::WaitUntil(now + EVIDENCE_POLL)
            } else {
                NextStep::Fail
            };
        }
        if let Some(leaf) = self.choose_leaf(now, false) {
            if let Some(issuer) = LeafRates::new(&self.shared).permit_issuer(&leaf, now) {
                return NextStep::AskPermit(leaf, issuer);
            }
            if self.try_send_budget(now) {
                return NextStep::Send(leaf);
            }
            self.record_retry_denied();
            return NextStep::Fail;
        }
        let wait = self.route.target_latency.mul_f64(SHED_WAIT_FRACTION);
        let latest = self.request.arrived_at + wait;
        let leafs = self.shared.leafs.for_service(&self.service);
        let rates = LeafRates::new(&self.shared);
        // A request is refused at once rather than held back for the limit of a cold leaf.
        let available_at = leafs
            .iter()
            .filter(|leaf| self.attempts.may_send_to(&leaf.entry.id))
            .filter(|leaf| leaf.is_usable(now) && rates.cold_wait_until(leaf, now).is_none())
            .filter_map(|leaf| self.shared.leaf_available_at(leaf, now))
            .min();
        match available_at {
            Some(at) if at <= latest => NextStep::WaitUntil(at),
            _ => {
                let request = self.request.id_text();
                self.shared.log_no_usable_leaf(request, &self.service, now);
                self.failure.has_no_leaf = self.shared.has_no_leaf(&self.service, now);
                self.failure.rate_wait = LeafRates::new(&self.shared).wait(&self.service, now);
                NextStep::Fail
            }
        }
    }

    /// Takes the next leaf request from the service's retry budget if it is extra load; returns
    /// false if the budget is spent.
    fn try_send_budget(&self, now: Instant) -> bool {
        !self.attempts.next_is_extra() || self.shared.try_retry(&self.service, now)
    }

    fn log_leafs_silent(&self, now: Instant) {
        let leafs: Vec<&str> = self.attempts.tried().iter().map(LeafId::as_str).collect();
        let waited = now.saturating_duration_since(self.request.arrived_at);
        Event::LeafsSilent {
            request: self.request.id_text(),
            service: self.service.as_str(),
            leafs: &leafs,
            after_ms: waited.as_millis(),
        }
        .log();
    }

    fn record_possible_run(&mut self, leaf: &Leaf) {
        self.failure.may_have_arrived = true;
        self.failure.may_have_run = true;
        self.attempts.may_have_run(&leaf.entry.id);
    }

    fn record_retry_denied(&self) {
        self.shared.metrics.retries_denied.inc();
        self.log_retry_denied();
    }

    fn log_retry_denied(&self) {
        Event::RetryDenied {
            request: self.request.id_text(),
            service: self.service.as_str(),
        }
        .log();
    }

    /// Chooses a leaf that is available now; `None` if there is none.
    ///
    /// A hedge goes only to leafs that have not got the request and need no permit of another daemon.
    fn choose_leaf(&self, now: Instant, is_hedge: bool) -> Option<Arc<Leaf>> {
        let typical_latency = self.state.latency.lock().typical(now);
        let connections_max = self.shared.connections_max(&self.service);
        let leafs = self.shared.leafs.for_service(&self.service);
        let service_evidence: RatioEvidence =
            leafs.iter().map(|leaf| leaf.load().ratio_evidence()).sum();
        let mut usable = Vec::with_capacity(leafs.len());
        let mut candidates = Vec::with_capacity(leafs.len());
        for leaf in leafs {
            let is_tried = self.attempts.tried().contains(&leaf.entry.id);
            let is_avoided =
                !self.avoided.is_empty() && self.avoided.contains(&leaf.entry.run_id());
            let may_send = self.attempts.may_send_to(&leaf.entry.id);
            if !leaf.is_usable(now) || !may_send || (is_hedge && is_tried) {
                continue;
            }
            if !leaf.has_connection_capacity(connections_max) {
                continue;
            }
            if self.shared.leaf_available_at(&leaf, now).is_some() {
                continue;
            }
            if is_hedge
                && LeafRates::new(&self.shared)
                    .permit_issuer(&leaf, now)
                    .is_some()
            {
                continue;
            }
            let is_cold = LeafRates::new(&self.shared)
                .cold_access(&leaf, now)
                .is_some();
            let load = leaf.load();
            let is_local = leaf.entry.failure_domain == *self.shared.failure_domain();
            let domain_factor = if is_local { 1.0 } else { REMOTE_DOMAIN_FACTOR };
            let slots = leaf.entry.slots;
            let ratio = load.choice_ratio(service_evidence, slots, typical_latency, now);
            let is_slow = !leaf.entry.warm_up_left.is_zero();
            let ratio_min = if is_slow { COLD_RATIO_MIN } else { 0.0 };
            candidates.push(Candidate {
                expected_ratio: ratio.max(ratio_min) * domain_factor,
                is_preferred: !is_tried && !is_avoided && !is_cold && !leaf.is_leaving(),
            });
            drop(load);
            usable.push(leaf);
        }
        let index = choose_replica(&candidates, rand::random())?;
        usable.into_iter().nth(index)
    }

    fn send(&mut self, leaf: Arc<Leaf>, now: Instant) -> Attempt {
        self.attempts.sent(&leaf.entry.id);
        self.evidence.sent();
        LeafRates::new(&self.shared).record_request(&leaf, now);
        self.shared.metrics.leaf_requests.inc();
        let typical_latency = self.state.latency.lock().typical(now);
        let run = run_attempt(
            Arc::clone(&self.shared),
            Arc::clone(&leaf),
            Arc::clone(&self.request),
            Arc::clone(&self.evidence),
            !self.attempts.is_idempotent(),
            typical_latency,
        );
        Box::pin(async move {
            let result = run.await;
            (leaf, now, result)
        })
    }
}

/// The next step of a request that has no attempt in flight.
enum NextStep {
    /// Send the request to this leaf.
    Send(Arc<Leaf>),
    /// Send the request to this leaf if this daemon permits it.
    AskPermit(Arc<Leaf>, SocketAddr),
    /// Wait until a leaf becomes available.
    WaitUntil(Instant),
    /// Give up.
    Fail,
}

/// Lets the remaining attempts complete within the grace period, in a separate task.
fn await_in_background(mut attempts: FuturesUnordered<Attempt>) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let all = async { while attempts.next().await.is_some() {} };
        // Dropping the others closes their connections, which cancels them on the leafs.
        let _ = timeout(LATE_ATTEMPT_GRACE, all).await;
    });
}
