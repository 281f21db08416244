use std::time::{Duration, Instant};

use medlarpin_core::routing::Route;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::caller_request::CallerRequest;
use crate::refusal::Refusal;

/// Multiple of the target latency that a request has to be left during a planned stop. It covers a
/// slow leaf and a retry; with less, the caller is better served by another daemon at once.
const TARGET_LATENCIES_LEFT_MIN: u32 = 4;

/// Whether the daemon is stopping as planned, and when its process will exit.
#[derive(Debug)]
pub(crate) struct PlannedStop {
    /// Time by which all answers have to be written; `None` unless the daemon is stopping.
    answers_until: watch::Sender<Option<Instant>>,
}

impl PlannedStop {
    pub(crate) fn new() -> Self {
        Self {
            answers_until: watch::Sender::new(None),
        }
    }

    /// Begins the stop.
    pub(crate) fn begin(&self, answers_until: Instant) {
        self.answers_until.send_replace(Some(answers_until));
    }

    /// Returns true if the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.answers_until.borrow().is_some()
    }

    /// Refuses a request that is unlikely to end before the process exits; no leaf has got it.
    pub(crate) fn admit(
        &self,
        route: &Route,
        request: &CallerRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(answers_until) = *self.answers_until.borrow() else {
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
        let mut answers_until = self.answers_until.subscribe();
        let exit = async {
            let begun = answers_until.wait_for(Option::is_some).await;
            let until = begun.ok().and_then(|until| *until);
            match until {
                Some(until) => sleep_until(until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            result = result => result,
            () = exit => Err(Refusal::Stopped),
        }
    }
}
