//! Finds out which leafs this VM does not reach, and when it reaches them again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use medlarpin_core::prelude::LeafId;
use medlarpin_core::routing::{LEAF_SILENCE_TIMEOUT, ProbeDue, Unreachable};
use tokio::sync::Semaphore;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout, timeout_at};

use crate::event::Event;
use crate::leaf::{Leaf, LeafConnection};
use crate::leaf_rates::LeafRates;
use crate::shared::Shared;

/// Interval at which all leafs are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of first probes at a time, and of further ones. It bounds the connections that are opened
/// together when the links of a VM are back, and the cost while hundreds of leafs are out of reach. Leafs
/// that are still down take the time limit of a connection each, and must not delay those that are back.
const PROBES_MAX: usize = 16;
/// Time limit of the answer to a health check. A leaf answers it after the requests in its queue.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Checks the leafs until the process ends.
pub(crate) async fn check_leafs(shared: Arc<Shared>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let first_probes = Arc::new(Semaphore::new(PROBES_MAX));
    let further_probes = Arc::new(Semaphore::new(PROBES_MAX));
    loop {
        ticks.tick().await;
        let now = shared.now();
        shared.leafs.check_links(now);
        // Few of the leafs need anything. The silence of an evacuated one tells nothing: its VM may have been
        // stopped.
        let concerned = shared
            .leafs
            .filter(|leaf| !leaf.is_evacuated() && leaf.load().needs_check(now));
        let mut due = Vec::new();
        for leaf in concerned {
            check_silence(&shared, &leaf);
            report_unanswered(&shared, &leaf);
            let probe_due = leaf.load().probe_due(now);
            let Some(probe_due) = probe_due.filter(|_| leaf.is_usable(now)) else {
                continue;
            };
            // A health check counts as a request; opening a connection does not.
            let is_held_back = LeafRates::new(&shared)
                .cold_wait_until(&leaf, now)
                .is_some();
            if probe_due.how() != Unreachable::Silent || !is_held_back {
                due.push((probe_due, leaf));
            }
        }
        due.sort_by_key(|(probe_due, _)| probe_due.order());
        let (first, further): (Vec<_>, Vec<_>) = due
            .into_iter()
            .partition(|(probe_due, _)| probe_due.is_first());
        tokio::join!(
            start_probes(&shared, first, &first_probes),
            start_probes(&shared, further, &further_probes),
        );
    }
}

/// Starts probes in the given order, as many as get a permit within the interval of the checks.
async fn start_probes(
    shared: &Arc<Shared>,
    due: Vec<(ProbeDue, Arc<Leaf>)>,
    permits: &Arc<Semaphore>,
) {
    let until = Instant::now() + CHECK_INTERVAL;
    for (probe_due, leaf) in due {
        let Some(guard) = leaf.start_probe() else {
            continue;
        };
        let Ok(Ok(permit)) = timeout_at(until, Arc::clone(permits).acquire_owned()).await else {
            return;
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            probe(&shared, &leaf, probe_due.how()).await;
            drop((guard, permit));
        });
    }
}

/// Records the requests that an unreachable leaf may have been running when it ended.
fn report_unanswered(shared: &Shared, leaf: &Arc<Leaf>) {
    let now = shared.now();
    let unreachable = leaf.load().unreachable();
    let sent_by = match unreachable {
        None => return,
        Some(Unreachable::Refused) => Some(now),
        // A leaf may be taken for silent because others are.
        Some(Unreachable::Silent) => now.checked_sub(LEAF_SILENCE_TIMEOUT),
    };
    if let Some(sent_by) = sent_by {
        let runs = leaf.runs().take(sent_by);
        shared.crash_memory.record_unanswered(leaf, &runs, now);
    }
}

/// Records the requests that leafs may have been running which the store no longer lists.
pub(crate) fn report_withdrawn(shared: &Shared, withdrawn: &[Arc<Leaf>]) {
    let now = shared.now();
    for leaf in withdrawn {
        shared.crash_memory.leaf_withdrawn(leaf);
        let runs = leaf.runs().take(now);
        // Leafs of an evacuated domain are stopped, whatever they run.
        if !shared.leafs.is_evacuated(leaf) {
            shared.crash_memory.record_unanswered(leaf, &runs, now);
        }
    }
}

fn check_silence(shared: &Shared, leaf: &Leaf) {
    if leaf.load().check_silence(shared.now()) {
        Event::LeafSilent {
            leaf: leaf.entry.id.as_str(),
            service: leaf.entry.service.as_str(),
        }
        .log();
        // They have probably fallen silent as well.
        leaf.close_idle();
        let now = shared.now();
        let others = shared.leafs.for_service(&leaf.entry.service);
        for other in others.iter().filter(|other| !other.is_evacuated()) {
            other.load().suspect(now);
        }
    }
}

async fn probe(shared: &Shared, leaf: &Leaf, how: Unreachable) {
    let connections_max = shared.connections_max(&leaf.entry.service);
    let opened = leaf.open_new(connections_max, shared).await.ok();
    let connection = match (opened, how) {
        (Some(connection), Unreachable::Refused) => Some(connection),
        (Some(connection), Unreachable::Silent) => {
            let answer = check_health(shared, leaf, connection).await;
            answer.map(|answer| answer.connection)
        }
        (None, _) => None,
    };
    let now = shared.now();
    let Some(connection) = connection else {
        if !shared.leafs.is_evacuated(leaf) {
            leaf.load().probe_failed(now);
        }
        return;
    };
    leaf.load().reached(now);
    Event::LeafReached {
        leaf: leaf.entry.id.as_str(),
        service: leaf.entry.service.as_str(),
    }
    .log();
    leaf.release(connection, None, now);
}

/// The answer to a health check, whatever it says.
pub(crate) struct HealthAnswer {
    /// The connection, which can be used again.
    pub(crate) connection: LeafConnection,
    /// The leaf that answered, if it states its identifier.
    pub(crate) answered_by: Option<LeafId>,
}

/// Sends a health check; `None` if there is no answer, if the leaf's failure domain has been evacuated, or if
/// the leaf is cold and takes no further requests of this daemon for now.
pub(crate) async fn check_health(
    shared: &Shared,
    leaf: &Leaf,
    mut connection: LeafConnection,
) -> Option<HealthAnswer> {
    let config = shared.config.load_full()?;
    let service = config.service(&leaf.entry.service);
    let path = service.map_or(platform::HEALTH_PATH_DEFAULT, |known| &*known.health_path);
    let request = Request::get(path)
        .header(HOST, leaf.entry.address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    // The domain may have been evacuated while the connection was being opened.
    if shared.leafs.is_evacuated(leaf) {
        shared.metrics.evacuation.unsent_requests.inc();
        return None;
    }
    let asked_at = shared.now();
    if !LeafRates::new(shared).take_cold_request(leaf, asked_at) {
        return None;
    }
    let answered = timeout(
        HEALTH_CHECK_TIMEOUT,
        connection.sender.send_request(request),
    );
    let response = answered.await.ok()?.ok()?;
    platform::check_answer_status(response.status()).ok()?;
    let answered_by = platform::health_check_leaf(response.headers());
    if answered_by.as_ref().is_none_or(|id| *id == leaf.entry.id) {
        leaf.record_stated_load(platform::stated_load(response.headers()), shared.now());
        if let Some(left) = platform::health_check_warm_up(response.headers()) {
            leaf.record_checked_warm_up(left, asked_at, shared.now());
        }
    }
    // An answer with a body would be taken for that of the next request.
    let body =
        shared
            .clients
            .callers
            .read(response.into_body(), HEALTH_BODY_BYTES_MAX, None, || {});
    let read = timeout(HEALTH_CHECK_TIMEOUT, body).await;
    matches!(read, Ok(Ok(_))).then_some(HealthAnswer {
        connection,
        answered_by,
    })
}

/// Limit of the size of the answer to a health check.
const HEALTH_BODY_BYTES_MAX: usize = 4_096;
