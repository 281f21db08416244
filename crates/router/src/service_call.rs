use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::stream::{FuturesUnordered, StreamExt};
use medlarpin_core::prelude::{LeafId, ServiceName};
use medlarpin_core::routing::{Candidate, Repeatability, Route, choose_replica};
use tokio::time::{sleep_until, timeout};

use crate::attempt::run_attempt;
use crate::attempt_end::{AttemptEnd, LeafAnswer, LeafFailure};
use crate::caller_request::CallerRequest;
use crate::event::Event;
use crate::leaf::Leaf;
use crate::route_state::RouteState;
use crate::shared::Shared;

/// Time for which a leaf request that lost against a hedge may still end. It then leaves its
/// connection usable; longer ones are cancelled to free the leaf.
const LOSER_GRACE: Duration = Duration::from_millis(200);
/// Share of the target latency for which a request waits for a leaf that shed it.
const SHED_WAIT_SHARE: f64 = 0.3;
/// Preference for leafs in the daemon's own failure domain, whose bytes cost less; leafs elsewhere
/// count as slower by this factor.
const OTHER_DOMAIN_RATIO: f64 = 1.2;
/// Leaf requests beyond the route's limit that did not run, such as those to full leafs.
const NOT_RUN_MAX: u32 = 2;

type Attempt = Pin<Box<dyn Future<Output = (Arc<Leaf>, Instant, AttemptEnd)> + Send>>;

/// Why a service gave no answer.
#[derive(Debug)]
pub(crate) struct ServiceFailure {
    /// True if a leaf may have run the request.
    pub(crate) may_have_run: bool,
    /// The last failure; `None` if there was no leaf to send to.
    pub(crate) last: Option<LeafFailure>,
    /// A leaf's own answer with a failure.
    pub(crate) leaf_answer: Option<LeafAnswer>,
    /// True if the time was over.
    pub(crate) timed_out: bool,
}

/// A request to one leaf of a service, with hedges and retries.
pub(crate) struct ServiceCall {
    shared: Arc<Shared>,
    service: ServiceName,
    route: Arc<Route>,
    state: Arc<RouteState>,
    request: Arc<CallerRequest>,
    /// True if another leaf may get the request although an earlier one may have run it.
    may_repeat: bool,
    tried: Vec<LeafId>,
    /// Leafs that may have run the request, without duplicates.
    ran: Vec<LeafId>,
    sent: u32,
    failure: ServiceFailure,
}

impl ServiceCall {
    pub(crate) fn new(
        shared: Arc<Shared>,
        service: ServiceName,
        route: Arc<Route>,
        state: Arc<RouteState>,
        request: Arc<CallerRequest>,
    ) -> Self {
        let may_repeat = route.repeatability == Repeatability::Idempotent;
        Self {
            shared,
            service,
            route,
            state,
            request,
            may_repeat,
            tried: Vec::new(),
            ran: Vec::new(),
            sent: 0,
            failure: ServiceFailure {
                may_have_run: false,
                last: None,
                leaf_answer: None,
                timed_out: false,
            },
        }
    }

    /// Sends the request until a leaf answers it with success.
    pub(crate) async fn run(mut self) -> Result<LeafAnswer, ServiceFailure> {
        let started = self.shared.now();
        self.shared.record_request(&self.service, started);
        let hedge_delay = self.state.pace.lock().hedge_delay(started);
        let mut attempts: FuturesUnordered<Attempt> = FuturesUnordered::new();
        let mut hedge_at = started + hedge_delay;
        let mut may_hedge = self.may_repeat;
        loop {
            let now = self.shared.now();
            if now >= self.request.deadline {
                self.log_silent(now);
                self.failure.timed_out = true;
                self.failure.may_have_run |= !attempts.is_empty();
                return Err(self.failure);
            }
            if attempts.is_empty() {
                match self.next_leaf(now) {
                    Next::Leaf(leaf) => attempts.push(self.send(leaf, now)),
                    Next::WaitUntil(at) => {
                        sleep_until(at.min(self.request.deadline).into()).await;
                        continue;
                    }
                    Next::None => return Err(self.failure),
                }
            }
            let wake_at = if may_hedge {
                hedge_at.min(self.request.deadline)
            } else {
                self.request.deadline
            };
            tokio::select! {
                biased;
                Some((leaf, sent_at, end)) = attempts.next() => {
                    if let Some(answer) = self.ended(&leaf, sent_at, end) {
                        let now = self.shared.now();
                        self.state.pace.lock().record(now.saturating_duration_since(started), now);
                        finish_in_background(attempts);
                        return Ok(answer);
                    }
                }
                () = sleep_until(wake_at.into()) => {
                    let now = self.shared.now();
                    if may_hedge && now >= hedge_at {
                        may_hedge = self.hedge(&mut attempts, now);
                        hedge_at = now + hedge_delay;
                    }
                }
            }
        }
    }

    /// Sends the request to another leaf as well; returns true if a further hedge makes sense.
    fn hedge(&mut self, attempts: &mut FuturesUnordered<Attempt>, now: Instant) -> bool {
        if self.ran.len() + attempts.len() >= self.leafs_max() {
            return false;
        }
        let Some(leaf) = self.choose(now, true) else {
            return false;
        };
        if !self.shared.try_repeat(&self.service, now) {
            self.shared.metrics.hedges_denied.inc();
            self.repeat_denied();
            return false;
        }
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
        true
    }

    /// Records the end of an attempt; returns the answer if it is a success.
    fn ended(&mut self, leaf: &Leaf, sent_at: Instant, end: AttemptEnd) -> Option<LeafAnswer> {
        match end {
            Ok(answer) if answer.status.is_success() => Some(answer),
            Ok(answer) => {
                self.may_have_run(leaf);
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
                self.shared.metrics.leaf_failed(failure);
                if failure.may_have_run() {
                    self.may_have_run(leaf);
                }
                self.failure.last = Some(failure);
                None
            }
        }
    }

    /// Decides where the request goes while no attempt is in flight.
    fn next_leaf(&mut self, now: Instant) -> Next {
        let is_first = self.sent == 0;
        let may_run_again = self.ran.is_empty() || self.may_repeat;
        if !may_run_again || self.sent >= self.route.leafs_max + NOT_RUN_MAX {
            return Next::None;
        }
        if let Some(leaf) = self.choose(now, false) {
            if is_first || self.shared.try_repeat(&self.service, now) {
                return Next::Leaf(leaf);
            }
            self.shared.metrics.retries_denied.inc();
            self.repeat_denied();
            return Next::None;
        }
        let wait = self.route.target_latency.mul_f64(SHED_WAIT_SHARE);
        let latest = self.request.arrived_at + wait;
        let leafs = self.shared.leafs.of(&self.service);
        let free_at = leafs
            .iter()
            .filter(|leaf| leaf.is_usable(now))
            .filter_map(|leaf| leaf.load.lock().blocked_until(now))
            .min();
        match free_at {
            Some(at) if at <= latest => Next::WaitUntil(at),
            _ => {
                let request = self.request.id_text();
                self.shared.log_no_usable_leaf(request, &self.service, now);
                Next::None
            }
        }
    }

    fn log_silent(&self, now: Instant) {
        let leafs: Vec<&str> = self.tried.iter().map(LeafId::as_str).collect();
        let waited = now.saturating_duration_since(self.request.arrived_at);
        Event::LeafsSilent {
            request: self.request.id_text(),
            service: self.service.as_str(),
            leafs: &leafs,
            after_ms: waited.as_millis(),
        }
        .log();
    }

    fn may_have_run(&mut self, leaf: &Leaf) {
        self.failure.may_have_run = true;
        if !self.ran.contains(&leaf.entry.id) {
            self.ran.push(leaf.entry.id.clone());
        }
    }

    /// Returns the most leafs that may run the request.
    fn leafs_max(&self) -> usize {
        usize::try_from(self.route.leafs_max).unwrap_or(usize::MAX)
    }

    fn repeat_denied(&self) {
        Event::RepeatDenied {
            request: self.request.id_text(),
            service: self.service.as_str(),
        }
        .log();
    }

    /// Chooses a leaf that may get the request now.
    fn choose(&self, now: Instant, untried_only: bool) -> Option<Arc<Leaf>> {
        let usual = self.state.pace.lock().typical(now);
        let connections_max = self.shared.connections_max(&self.service);
        let leafs = self.shared.leafs.of(&self.service);
        let mut usable = Vec::with_capacity(leafs.len());
        let mut candidates = Vec::with_capacity(leafs.len());
        for leaf in leafs {
            let is_tried = self.tried.contains(&leaf.entry.id);
            // The limit counts leafs, so one that ran the request may run it again.
            let is_within_limit =
                self.ran.len() < self.leafs_max() || self.ran.contains(&leaf.entry.id);
            if !leaf.is_usable(now) || !is_within_limit || (untried_only && is_tried) {
                continue;
            }
            if !leaf.has_connection(connections_max) {
                continue;
            }
            let load = leaf.load.lock();
            if load.blocked_until(now).is_some() {
                continue;
            }
            let is_near = leaf.entry.failure_domain == *self.shared.failure_domain();
            let distance = if is_near { 1.0 } else { OTHER_DOMAIN_RATIO };
            candidates.push(Candidate {
                expected_ratio: load.expected_ratio(leaf.entry.slots, usual, now) * distance,
                is_healthy: !is_tried && !leaf.is_leaving(),
            });
            drop(load);
            usable.push(leaf);
        }
        let index = choose_replica(&candidates, rand::random())?;
        usable.into_iter().nth(index)
    }

    fn send(&mut self, leaf: Arc<Leaf>, now: Instant) -> Attempt {
        self.sent += 1;
        self.tried.push(leaf.entry.id.clone());
        self.shared.metrics.leaf_requests.inc();
        let usual = self.state.pace.lock().typical(now);
        let run = run_attempt(
            Arc::clone(&self.shared),
            Arc::clone(&leaf),
            Arc::clone(&self.request),
            !self.may_repeat,
            usual,
        );
        Box::pin(async move {
            let end = run.await;
            (leaf, now, end)
        })
    }
}

/// What a request without an attempt in flight does next.
enum Next {
    Leaf(Arc<Leaf>),
    WaitUntil(Instant),
    None,
}

/// Lets attempts that are no longer needed end for a while.
fn finish_in_background(mut attempts: FuturesUnordered<Attempt>) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let all = async { while attempts.next().await.is_some() {} };
        // Dropping the rest closes their connections, which cancels them at the leafs.
        let _ = timeout(LOSER_GRACE, all).await;
    });
}
