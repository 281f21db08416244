use std::net::SocketAddr;
use std::time::Duration;

use super::report_owners;
use crate::ids::Fingerprint;

/// Delay before a report is sent again that did not arrive.
pub const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of rounds in which a report is sent. An RPC fails after 0.8 s, and all daemons have to
/// know of a request that ends leafs within 4 s.
const ROUNDS_MAX: u32 = 3;

/// The delivery of one report to the daemons that collect those of its accounts.
///
/// A daemon that does not get the report is replaced by the next one by rank, which other senders choose as
/// well if their reports do not arrive there.
#[derive(Debug, Clone)]
pub struct ReportDelivery {
    accounts: Vec<Fingerprint>,
    /// Daemons that have the report; sorted, without duplicates.
    reached: Vec<SocketAddr>,
    /// Daemons that did not get it; sorted, without duplicates.
    failed: Vec<SocketAddr>,
    rounds_left: u32,
}

impl ReportDelivery {
    /// Creates the delivery of a report of these accounts by this daemon, which has it.
    #[must_use]
    pub fn new(accounts: Vec<Fingerprint>, own: SocketAddr) -> Self {
        Self {
            accounts,
            reached: vec![own],
            failed: Vec::new(),
            rounds_left: ROUNDS_MAX,
        }
    }

    /// Starts a round; returns the daemons to which the report is to be sent, none if it has arrived or enough
    /// was tried. `daemons` are those that are known now, with this one.
    #[must_use]
    pub fn next_round(&mut self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        if self.rounds_left == 0 {
            return Vec::new();
        }
        self.rounds_left -= 1;
        let candidates = daemons
            .iter()
            .copied()
            .filter(|daemon| self.failed.binary_search(daemon).is_err());
        let mut receivers: Vec<SocketAddr> = self
            .accounts
            .iter()
            .flat_map(|account| report_owners(*account, candidates.clone()))
            .filter(|daemon| self.reached.binary_search(daemon).is_err())
            .collect();
        receivers.sort();
        receivers.dedup();
        receivers
    }

    /// Records whether a daemon got the report.
    pub fn sent(&mut self, daemon: SocketAddr, has_arrived: bool) {
        let known = if has_arrived {
            &mut self.reached
        } else {
            &mut self.failed
        };
        if let Err(index) = known.binary_search(&daemon) {
            known.insert(index, daemon);
        }
    }
}
