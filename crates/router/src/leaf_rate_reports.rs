//! Passes the request rates that leafs state on among the daemons, so that all of them soon know the
//! start and the end of a limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::LeafId;
use medlarpin_core::routing::{RateStatement, RequestRate, StatedRate};
use tokio::sync::mpsc;
use wire::peer_capnp::{leaf_rate, route_peer};

use crate::event::Event;
use crate::flooding::{self, REPORTS_MAX};
use crate::leaf_rates::LeafRates;
use crate::peers::{self, PeerError, len_u32, millis_u32};
use crate::shared::Shared;

/// Maximum number of reports that wait to be passed on.
const QUEUE_MAX: usize = 1_024;

/// What a leaf stated, as passed on among the daemons.
#[derive(Debug, Clone)]
pub(crate) struct LeafRateReport {
    pub(crate) leaf: LeafId,
    pub(crate) stated: StatedRate,
    pub(crate) heard_at: Instant,
}

/// Hands reports to the task that passes them on.
#[derive(Debug)]
pub(crate) struct LeafRateReports {
    outgoing: mpsc::Sender<LeafRateReport>,
}

impl LeafRateReports {
    pub(crate) fn new() -> (Self, mpsc::Receiver<LeafRateReport>) {
        let (outgoing, queue) = mpsc::channel(QUEUE_MAX);
        (Self { outgoing }, queue)
    }

    /// Passes a report on. One that does not fit the queue is dropped: the other daemons then learn
    /// of the change from the leaf.
    pub(crate) fn pass_on(&self, report: LeafRateReport) {
        if let Err(error) = self.outgoing.try_send(report) {
            Event::LeafRateReportDropped {
                error: &error.to_string(),
            }
            .log();
        }
    }
}

/// Passes reports on until the process ends.
pub(crate) async fn pass_on(shared: Arc<Shared>, reports: mpsc::Receiver<LeafRateReport>) {
    let sender = Arc::clone(&shared);
    flooding::pass_on(shared, reports, move |daemon, batch| {
        let shared = Arc::clone(&sender);
        async move { send(&shared, daemon, &batch).await }
    })
    .await;
}

/// Records the reports of another daemon.
pub(crate) fn receive(
    shared: &Shared,
    params: route_peer::report_leaf_rates_params::Reader<'_>,
) -> Result<(), capnp::Error> {
    let now = shared.now();
    for rate in params.get_rates()?.iter().take(REPORTS_MAX) {
        if let Some(report) = read_report(rate, now)?
            && let Some(leaf) = shared.leafs.find(&report.leaf)
        {
            LeafRates::new(shared).record_statement(&leaf, report.statement());
        }
    }
    Ok(())
}

/// Reads a report; `None` if its rate is not a number of at least 0.
pub(crate) fn read_report(
    rate: leaf_rate::Reader<'_>,
    now: Instant,
) -> Result<Option<LeafRateReport>, capnp::Error> {
    let age = Duration::from_millis(rate.get_age_ms().into());
    let stated = if rate.get_is_limited() {
        RequestRate::new(rate.get_requests_per_s()).map(StatedRate::Limited)
    } else {
        Some(StatedRate::Unlimited)
    };
    let leaf = LeafId::new(rate.get_leaf()?.to_str()?);
    Ok(stated.map(|stated| LeafRateReport {
        leaf,
        stated,
        heard_at: now.checked_sub(age).unwrap_or(now),
    }))
}

pub(crate) fn write_report(
    report: &LeafRateReport,
    now: Instant,
    mut rate: leaf_rate::Builder<'_>,
) {
    rate.set_leaf(report.leaf.as_str());
    if let StatedRate::Limited(limit) = report.stated {
        rate.set_is_limited(true);
        rate.set_requests_per_s(limit.per_s());
    }
    rate.set_age_ms(millis_u32(now.saturating_duration_since(report.heard_at)));
}

impl LeafRateReport {
    /// Returns the statement that the report passes on.
    pub(crate) fn statement(&self) -> RateStatement {
        RateStatement {
            stated: self.stated,
            asked_at: self.heard_at,
            heard_at: self.heard_at,
        }
    }
}

async fn send(
    shared: &Shared,
    daemon: SocketAddr,
    reports: &[LeafRateReport],
) -> Result<(), PeerError> {
    peers::call(shared, daemon, async |client| {
        let mut request = client.report_leaf_rates_request();
        let mut list = request.get().init_rates(len_u32(reports));
        let now = shared.now();
        for (index, report) in (0..).zip(reports) {
            write_report(report, now, list.reborrow().get(index));
        }
        request.send().promise.await?;
        Ok(())
    })
    .await
}
