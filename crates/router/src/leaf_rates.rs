use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{RateAccess, RateStatement, StatedRate};

use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_rate_reports::LeafRateReport;
use crate::shared::{Shared, UNLISTED_SHARE};

/// What this daemon may send to leafs that state a request rate, and what it tells the others of it.
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
            RateAccess::Own(_) => None,
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

    /// Returns the end of the wait that the request rate stated by a leaf requires, if there is one.
    pub(crate) fn wait_until(self, leaf: &Leaf, now: Instant) -> Option<Instant> {
        let access = self.access(leaf, now)?;
        let available_at = leaf.rate_available_at(access, now);
        available_at.filter(|at| now < *at)
    }

    /// Counts a request against the rate that the leaf states, if it states one.
    pub(crate) fn record_request(self, leaf: &Leaf, now: Instant) {
        if let Some(access) = self.access(leaf, now) {
            leaf.record_request(access, now);
        }
    }

    /// Returns the time until a leaf of the service takes a request, if only the request rates that
    /// its leafs state prevent one now.
    pub(crate) fn wait(self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let leafs = self.shared.leafs.for_service(service);
        let usable = leafs.iter().filter(|leaf| leaf.is_usable(now));
        let until = usable.filter_map(|leaf| self.wait_until(leaf, now)).min()?;
        Some(until.saturating_duration_since(now))
    }
}
