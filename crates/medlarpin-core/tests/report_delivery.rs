//! Tests of the delivery of crash reports to the daemons that collect them.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{ReportDelivery, report_owners};

const ACCOUNT: Fingerprint = Fingerprint(7);

fn daemons(count: u8) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| SocketAddr::from(([10, 0, 0, number], 7_380)))
        .collect()
}

/// Delivers a report while some daemons do not answer; returns those that have it in the end.
fn deliver(daemons: &[SocketAddr], silent: &[SocketAddr]) -> Vec<SocketAddr> {
    let own = SocketAddr::from(([10, 0, 1, 0], 7_380));
    let mut delivery = ReportDelivery::new(vec![ACCOUNT], own);
    let mut reached = Vec::new();
    loop {
        let receivers = delivery.next_round(daemons);
        if receivers.is_empty() {
            reached.sort();
            return reached;
        }
        for daemon in receivers {
            let has_arrived = !silent.contains(&daemon);
            assert!(!reached.contains(&daemon), "sent twice");
            delivery.sent(daemon, has_arrived);
            if has_arrived {
                reached.push(daemon);
            }
        }
    }
}

/// Guards against reports that are lost because the daemons that should collect them are gone or out of reach:
/// those that are next by rank get them, from all senders.
#[test]
fn the_next_daemons_by_rank_get_what_the_first_do_not() {
    let all = daemons(20);
    let mut ranked = Vec::new();
    while ranked.len() < all.len() {
        let left = all.iter().copied().filter(|known| !ranked.contains(known));
        ranked.push(report_owners(ACCOUNT, left)[0]);
    }
    let check = |silent: &[SocketAddr], expected: &[SocketAddr]| {
        let mut expected = expected.to_vec();
        expected.sort();
        assert_eq!(deliver(&all, silent), expected, "{silent:?}");
    };
    check(&[], &ranked[..2]);
    check(&ranked[..1], &ranked[1..3]);
    check(&ranked[..2], &ranked[2..4]);
    check(&ranked[1..3], &[ranked[0], ranked[3]]);
    // Enough was tried.
    check(&ranked, &[]);
}
