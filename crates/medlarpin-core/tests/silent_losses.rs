//! Losses of leafs that are silent: when they withhold a request, and for how long.

use medlarpin_core::canary::{SILENCE_TTL, SilentLoss, SilentLossTable, Strike};
use medlarpin_core::prelude::*;

const ACCOUNT: Fingerprint = Fingerprint(7);
const ORIGIN: Fingerprint = Fingerprint(70);

/// A loss of a leaf under a request, with times in milliseconds.
struct Loss {
    leaf: &'static str,
    request: u128,
    intact_ms: u64,
    lost_ms: u64,
    silent_ms: u64,
}

/// Times in milliseconds since the start of a test.
#[derive(Clone, Copy)]
struct Timeline(Instant);

impl Timeline {
    fn at(self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn loss(self, loss: &Loss) -> SilentLoss {
        SilentLoss {
            strike: Strike {
                leaf: LeafId::new(loss.leaf),
                request: RequestId(loss.request),
                origin: ORIGIN,
                intact_at: self.at(loss.intact_ms),
                lost_at: self.at(loss.lost_ms),
            },
            silent_at: self.at(loss.silent_ms),
        }
    }
}

const FIRST: Loss = Loss {
    leaf: "a",
    request: 1,
    intact_ms: 0,
    lost_ms: 1_000,
    silent_ms: 1_500,
};
/// Its leaf lived on after the first one was lost.
const LATER: Loss = Loss {
    leaf: "b",
    request: 2,
    intact_ms: 1_200,
    lost_ms: 2_500,
    silent_ms: 3_000,
};

/// Guards against withholding a request because of losses that do not show that it is at fault, and against running it
/// although they do.
#[test]
fn only_independent_losses_withhold_a_request() {
    let check = |name: &str, second: &Loss, is_withheld: bool| {
        let timeline = Timeline(Instant::now());
        let now = timeline.at(3_000);
        let mut table = SilentLossTable::new();
        assert!(table.record(ACCOUNT, timeline.loss(&FIRST), now), "{name}");
        assert_eq!(table.withheld_until(ACCOUNT, &[], now), None);
        table.record(ACCOUNT, timeline.loss(second), now);
        let until = table.withheld_until(ACCOUNT, &[], now);
        let expected = is_withheld.then(|| timeline.at(FIRST.silent_ms) + SILENCE_TTL);
        assert_eq!(until, expected, "{name}");
        assert_eq!(table.withheld_until(Fingerprint(8), &[], now), None);
        // The same two losses if the second leaf is known to have ended.
        let mut table = SilentLossTable::new();
        table.record(ACCOUNT, timeline.loss(&FIRST), now);
        let ended = timeline.loss(second).strike;
        let until = table.withheld_until(ACCOUNT, &[&ended], now);
        assert_eq!(until, expected, "{name}, ended");
    };
    check("independent", &LATER, true);
    check(
        "same request",
        &Loss {
            request: 1,
            ..LATER
        },
        false,
    );
    check("same leaf", &Loss { leaf: "a", ..LATER }, false);
    let together = Loss {
        intact_ms: 900,
        ..LATER
    };
    check("lost together", &together, false);
}

/// Guards against a loss that counts although its leaf is heard again, or lapses although it is still silent.
#[test]
fn a_loss_counts_for_as_long_as_its_leaf_is_found_silent() {
    let timeline = Timeline(Instant::now());
    let mut table = SilentLossTable::new();
    let renewed = |silent_ms| timeline.loss(&Loss { silent_ms, ..FIRST });
    let counts = |table: &SilentLossTable, ms| table.losses(ACCOUNT, timeline.at(ms)).count() == 1;
    assert!(table.record(ACCOUNT, renewed(1_500), timeline.at(1_500)));
    // Renewals are told at intervals.
    assert!(!table.record(ACCOUNT, renewed(2_500), timeline.at(2_500)));
    assert!(table.record(ACCOUNT, renewed(3_500), timeline.at(3_500)));
    assert!(counts(&table, 7_499));
    assert!(!counts(&table, 7_500));
    // A report that was on its way for too long, and one from a clock that is ahead.
    assert!(!table.record(ACCOUNT, renewed(1_500), timeline.at(9_000)));
    assert!(table.record(ACCOUNT, renewed(60_000), timeline.at(9_000)));
    assert!(counts(&table, 12_999));
    assert!(!counts(&table, 13_000));
    table.expire(timeline.at(13_000));
    assert!(table.is_empty());
}

/// Guards against losses that stay after their leaf was found to live or to have ended, or after a leaf of the service
/// answered such a request.
#[test]
fn losses_are_removed_once_they_are_decided() {
    let timeline = Timeline(Instant::now());
    let now = timeline.at(3_000);
    let mut table = SilentLossTable::new();
    for loss in [&FIRST, &LATER] {
        table.record(ACCOUNT, timeline.loss(loss), now);
    }
    table.remove(ACCOUNT, &LeafId::new("a"), RequestId(2));
    assert_eq!(table.len(), 2);
    table.remove(ACCOUNT, &LeafId::new("a"), RequestId(1));
    assert_eq!(table.len(), 1);
    table.clear_origin(ACCOUNT, Fingerprint(71));
    table.clear_origin(Fingerprint(8), ORIGIN);
    assert_eq!(table.len(), 1);
    table.clear_origin(ACCOUNT, ORIGIN);
    assert!(table.is_empty());
}

/// Guards against a flood of reports that fills the memory, or that hides a loss on another leaf.
#[test]
fn the_number_of_losses_is_bounded() {
    let timeline = Timeline(Instant::now());
    let now = timeline.at(3_000);
    let mut table = SilentLossTable::new();
    for request in 0..100 {
        table.record(ACCOUNT, timeline.loss(&Loss { request, ..FIRST }), now);
    }
    assert_eq!(table.len(), 2);
    let later = Loss {
        request: 1_000,
        ..LATER
    };
    assert!(table.record(ACCOUNT, timeline.loss(&later), now));
    assert!(table.withheld_until(ACCOUNT, &[], now).is_some());
    for account in 0..10_000 {
        table.record(Fingerprint(account), timeline.loss(&FIRST), now);
    }
    assert!(table.len() <= 1_024, "{}", table.len());
}
