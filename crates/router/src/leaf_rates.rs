use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{ColdLeafBound, RateAccess, RateStatement, RequestRate, StatedRate};

use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_rate_reports::LeafRateReport;
use crate::shared::{Shared, UNLISTED_SHARE};

/// Entries of a leaf that may have been written and are not known here yet: they are written every
/// 1.2 s, and a daemon that follows another one knows them within 3 s.
const ENTRIES_IN_TRANSIT: u64 = 3;

/// What this daemon may send to leafs that state a request rate or are cold, and what it tells the others of
/// stated rates.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeafRates<'a> {
    shared: &'a Shared,
}

impl<'a> LeafRates<'a> {
    pub(crate) fn new(shared: &'a Shared) -> Self {
        Self { shared }
    }

    /// Returns how this daemon may send requests to a leaf; `None` if the leaf states no rate.
    fn access(self, leaf: &Leaf, now: Instant) -> Option<RateAccess> {
        let stated = leaf.stated_rate()?;
        let Some(daemons) = &self.shared.daemons else {
            return Some(RateAccess::share(stated, UNLISTED_SHARE));
        };
        let config = self.shared.config.load();
        let is_gathered_only = config
            .as_ref()
            .is_some_and(|config| config.is_gathered_only(&leaf.entry.service));
        let selector = self.shared.delegate_selector.as_ref();
        let excluded = selector.map_or_else(Vec::new, |selector| selector.lock().backed_off(now));
        let daemons = daemons.lock();
        Some(daemons.rate_access(&leaf.entry.id, stated, is_gathered_only, &excluded, now))
    }

    /// Returns the daemon that permits the requests to a leaf, if this daemon has to ask another one.
    pub(crate) fn permit_issuer(self, leaf: &Leaf, now: Instant) -> Option<SocketAddr> {
        match self.access(leaf, now)? {
            RateAccess::Permit(issuer) => Some(issuer),
            RateAccess::Own(_) | RateAccess::Paced(_) | RateAccess::Nothing => None,
        }
    }

    /// Asks another daemon for permission to send one request to a leaf.
    ///
    /// Returns false if it is denied or the daemon cannot be asked; the leaf is then unavailable for
    /// the time that the daemon states, or another daemon is asked next.
    pub(crate) async fn ask_permit(self, leaf: &Leaf, issuer: SocketAddr) -> bool {
        let (stated, heard_at) = leaf.known_rate();
        let known = LeafRateReport {
            leaf: leaf.entry.id.clone(),
            stated: stated.map_or(StatedRate::Unlimited, StatedRate::Limited),
            heard_at: heard_at.unwrap_or_else(|| self.shared.now()),
        };
        match self.shared.leaf_permits.ask(issuer, known).await {
            Ok(answer) => {
                if let Some(known) = answer.known {
                    self.record_statement(leaf, known.statement());
                }
                if let Some(wait) = answer.wait {
                    leaf.deny_requests(wait, self.shared.now());
                }
                answer.wait.is_none()
            }
            Err(error) => {
                Event::DaemonUnreachable {
                    daemon: issuer,
                    error: &error,
                }
                .log();
                self.shared.back_off_delegate(issuer, self.shared.now());
                false
            }
        }
    }

    /// Records what a leaf stated to this or another daemon, and passes on a change.
    pub(crate) fn record_statement(self, leaf: &Leaf, statement: RateStatement) {
        if leaf.record_rate_statement(statement, self.shared.now()) {
            self.shared.leaf_rate_reports.pass_on(LeafRateReport {
                leaf: leaf.entry.id.clone(),
                stated: statement.stated,
                heard_at: statement.heard_at,
            });
        }
    }

    /// Returns the end of the wait that the request rate stated by a leaf, or the limit of a cold one,
    /// requires, if there is one.
    pub(crate) fn wait_until(self, leaf: &Leaf, now: Instant) -> Option<Instant> {
        let access = self.access(leaf, now);
        let available_at = access.and_then(|access| leaf.rate_available_at(access, now));
        let stated_wait = available_at.filter(|at| now < *at);
        stated_wait.max(self.cold_wait_until(leaf, now))
    }

    /// Returns how this daemon may send requests to a cold leaf; `None` if the leaf is warm or its service
    /// has no limit.
    pub(crate) fn cold_access(self, leaf: &Leaf, now: Instant) -> Option<RateAccess> {
        self.record_return_of_domain(leaf);
        // Nearly all leafs are warm, so that their limit need not be looked up.
        let rate = leaf
            .cold_until(now)
            .and_then(|_| self.cold_rate(&leaf.entry.service));
        if leaf.set_cold_limit(rate, now) {
            log_cold_limit(leaf, rate, now);
        }
        let (rate, bound) = (rate?, self.cold_leaf_bound()?);
        Some(match &self.shared.daemons {
            Some(daemons) => daemons.lock().cold_access(&leaf.entry.id, rate, bound, now),
            // The others do not know of this daemon, so it can have no share.
            None if !self.shared.settings.load().seed_addresses.is_empty() => RateAccess::Nothing,
            None => bound
                .plan(rate)
                .map_or(RateAccess::Nothing, |plan| RateAccess::Paced(plan.per_s)),
        })
    }

    /// Returns the rate of requests that a cold leaf of the service tolerates, if it is limited.
    fn cold_rate(self, service: &ServiceName) -> Option<RequestRate> {
        self.cold_leaf_bound()?;
        let config = self.shared.config.load();
        config.as_ref()?.service(service)?.cold_rate
    }

    /// Returns the bound of the requests to cold leafs; `None` if the settings give none. If they give only
    /// one of its numbers, the other one allows no more than the rate itself.
    fn cold_leaf_bound(self) -> Option<ColdLeafBound> {
        let settings = self.shared.settings.load();
        match (settings.warm_up_overage, settings.warm_up_slack) {
            (None, None) => None,
            (overage, slack) => Some(ColdLeafBound::new(
                overage.unwrap_or(1.0),
                slack.unwrap_or(0.0),
            )),
        }
    }

    /// Returns the end of the wait that the limit of a cold leaf requires, if there is one.
    pub(crate) fn cold_wait_until(self, leaf: &Leaf, now: Instant) -> Option<Instant> {
        let access = self.cold_access(leaf, now)?;
        let available_at = leaf.cold_available_at(access, now);
        available_at.filter(|at| now < *at)
    }

    /// Takes a request from the limit of a cold leaf, directly before it is written to the connection, so
    /// that requests whose connections open late do not arrive together. Returns false if it must not be
    /// sent.
    pub(crate) fn take_cold_request(self, leaf: &Leaf, now: Instant) -> bool {
        let Some(access) = self.cold_access(leaf, now) else {
            return true;
        };
        let is_allowed = leaf.take_cold_request(access, now).is_none();
        self.shared.metrics.cold_leafs.record_request(is_allowed);
        is_allowed
    }

    /// Lets a leaf count as cold for the warm-up time of its service from the time at which its failure
    /// domain was returned to service.
    fn record_return_of_domain(self, leaf: &Leaf) {
        let domain = &leaf.entry.failure_domain;
        if let Some(returned_at) = self.shared.leafs.returned_at(domain)
            && let Some(warm_up) = self.limited_warm_up(&leaf.entry.service)
        {
            let until = returned_at + warm_up;
            leaf.record_return_of_domain(returned_at, until, ENTRIES_IN_TRANSIT);
        }
    }

    /// Lets a leaf that may have started again without an entry of it count as cold for the warm-up time of
    /// its service, unless an entry that was written later or a health check shows otherwise.
    pub(crate) fn assume_restarted(self, leaf: &Leaf, now: Instant) {
        if let Some(warm_up) = self.limited_warm_up(&leaf.entry.service) {
            leaf.assume_cold(now + warm_up, ENTRIES_IN_TRANSIT, now);
        }
    }

    /// Returns the warm-up time of a service; `None` unless the configuration limits its cold leafs.
    fn limited_warm_up(self, service: &ServiceName) -> Option<Duration> {
        let config = self.shared.config.load();
        let service = config.as_ref()?.service(service)?;
        service.cold_rate.map(|_| service.warm_up)
    }

    /// Counts a request against the rate that the leaf states, if it states one.
    pub(crate) fn record_request(self, leaf: &Leaf, now: Instant) {
        if let Some(access) = self.access(leaf, now) {
            leaf.record_request(access, now);
        }
    }

    /// Returns the time until a leaf of the service takes a request, if only the request rates that
    /// its leafs state, or the limits of cold ones, prevent one now.
    pub(crate) fn wait(self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let leafs = self.shared.leafs.for_service(service);
        let usable = leafs.iter().filter(|leaf| leaf.is_usable(now));
        let until = usable.filter_map(|leaf| self.wait_until(leaf, now)).min()?;
        Some(until.saturating_duration_since(now))
    }
}

/// Logs the start, change or end of the limit of a cold leaf.
fn log_cold_limit(leaf: &Leaf, rate: Option<RequestRate>, now: Instant) {
    let (id, service) = (leaf.entry.id.as_str(), leaf.entry.service.as_str());
    match (rate, leaf.cold_until(now)) {
        (Some(rate), Some(until)) => Event::LeafCold {
            leaf: id,
            service,
            requests_per_s: rate.per_s(),
            left_ms: until.saturating_duration_since(now).as_millis(),
        }
        .log(),
        _ => Event::LeafWarm { leaf: id, service }.log(),
    }
}
