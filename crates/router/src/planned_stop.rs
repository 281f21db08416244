use std::time::{Duration, Instant};

use medlarpin_core::routing::Route;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::caller_request::CallerRequest;
use crate::refusal::Refusal;

/// Multiple of the target latency that a request has to be left during a planned stop. It covers a
/// slow leaf and a retry; with less, the caller is better served by another daemon at once.
const TARGET_LATENCIES_LEFT_MIN: u32 = 4;

/// Times of a planned stop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopTimes {
    /// End of the time for which new connections of callers and requests of other daemons are
    /// accepted.
    pub(crate) accepts_until: Instant,
    /// Time by which all answers have to be written.
    pub(crate) answers_until: Instant,
}

/// Whether the daemon is stopping as planned, and when its process will exit.
#[derive(Debug)]
pub(crate) struct PlannedStop {
    /// `None` unless the daemon is stopping.
    times: watch::Sender<Option<StopTimes>>,
}

impl PlannedStop {
    pub(crate) fn new() -> Self {
        Self {
            times: watch::Sender::new(None),
        }
    }

    /// Begins the stop.
    pub(crate) fn begin(&self, times: StopTimes) {
        self.times.send_replace(Some(times));
    }

    /// Returns true if the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.times.borrow().is_some()
    }

    /// Refuses a request of another daemon that is unlikely to end before the process exits, or that
    /// arrives when callers' connections are no longer accepted; no leaf has got it.
    pub(crate) fn admit_of_daemon(
        &self,
        route: &Route,
        request: &CallerRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        let times = *self.times.borrow();
        if times.is_some_and(|times| now >= times.accepts_until) {
            return Err(Refusal::Stopping);
        }
        self.admit(route, request, now)
    }

    /// Refuses a request that is unlikely to end before the process exits; no leaf has got it.
    pub(crate) fn admit(
        &self,
        route: &Route,
        request: &CallerRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(StopTimes { answers_until, .. }) = *self.times.borrow() else {
            return Ok(());
        };
        let needed: Duration = route.target_latency * TARGET_LATENCIES_LEFT_MIN;
        if answers_until.saturating_duration_since(now) < needed.min(request.time_left(now)) {
            return Err(Refusal::Stopping);
        }
        Ok(())
    }

    /// Waits for the result of a request, but not beyond the time by which all answers have to be
    /// written, so that its caller gets an answer in any case.
    pub(crate) async fn limit<T>(
        &self,
        result: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let mut times = self.times.subscribe();
        let exit = async {
            let begun = times.wait_for(Option::is_some).await;
            let times = begun.ok().and_then(|times| *times);
            match times {
                Some(times) => sleep_until(times.answers_until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            result = result => result,
            () = exit => Err(Refusal::Stopped),
        }
    }
}
