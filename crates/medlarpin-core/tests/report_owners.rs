//! Tests of the choice of the daemons that collect crash reports.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{REPORT_OWNERS, report_owners};

fn daemons(count: u8) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| SocketAddr::from(([192, 0, 2, number], 8106)))
        .collect()
}

/// Guards against reports of one request that never meet, because daemons choose different owners or
/// lose all of them with one daemon.
#[test]
fn all_daemons_choose_the_same_owners() {
    let known = daemons(20);
    for fingerprint in (0..100).map(Fingerprint) {
        let owners = report_owners(fingerprint, known.iter().copied());
        assert_eq!(owners.len(), REPORT_OWNERS);
        assert_eq!(
            owners,
            report_owners(fingerprint, known.iter().rev().copied())
        );
        // A daemon that does not know one of the owners still tells the other one.
        let others = known.iter().copied().filter(|daemon| *daemon != owners[0]);
        assert!(report_owners(fingerprint, others).contains(&owners[1]));
    }
    assert_eq!(
        report_owners(Fingerprint(1), known[..1].iter().copied()),
        known[..1]
    );
    assert!(report_owners(Fingerprint(1), std::iter::empty()).is_empty());
}

/// Guards against a daemon that collects the reports of most requests.
#[test]
fn owners_are_spread() {
    let known = daemons(10);
    let mut counts = vec![0; known.len()];
    for fingerprint in (0..1_000).map(Fingerprint) {
        for owner in report_owners(fingerprint, known.iter().copied()) {
            counts[known.iter().position(|daemon| *daemon == owner).unwrap()] += 1;
        }
    }
    assert!(
        counts.iter().all(|count| (100..300).contains(count)),
        "{counts:?}"
    );
}
