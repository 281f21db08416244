use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use medlarpin_core::canary::Quarantine;
use replay::{LeafHealth, Millis};

use super::*;
use crate::leafs::RecordedLeaf;

fn leaf(recorder: &Arc<Recorder>, id: &str, now: Instant) -> RecordedLeaf {
    let leaf = Leaf {
        id: id.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        failure_domain: "domain-0".into(),
        slots: 3,
        connection_limit: 60,
        new_connection_ms: 1,
    };
    RecordedLeaf::new(&"order-desk".into(), &leaf, Arc::clone(recorder), now)
}

/// Returns events that together take a leaf through all its conditions.
fn event(step: u64) -> LeafEvent {
    let fractional_time = Millis(Duration::from_nanos(1_234_567 * (1 + step % 5)));
    match step % 97 {
        11 => LeafEvent::ConnectionLost,
        31 => LeafEvent::Draining,
        32..42 => LeafEvent::Health {
            state: LeafHealth::Ready,
            load: 0.1,
        },
        50 => LeafEvent::Health {
            state: LeafHealth::Starting,
            load: 0.97,
        },
        60 => LeafEvent::Shed {
            retry_after_ms: fractional_time,
        },
        70 => LeafEvent::Released,
        step if step % 2 == 0 => LeafEvent::Sent,
        _ => LeafEvent::Answered {
            latency_ms: fractional_time,
        },
    }
}

fn change_fingerprint(table: &mut RecordedFingerprints, step: u64, now: Instant) {
    let fingerprint = Fingerprint(step / 5 % 40);
    match step % 5 {
        0 => {
            table.start_canary(fingerprint);
        }
        1 if step.is_multiple_of(3) => {
            table.strike(fingerprint, &"a".into(), RequestId(step.into()));
        }
        1 if step.is_multiple_of(7) => {
            table.strike(fingerprint, &"b".into(), RequestId(step.into()));
        }
        2 => table.canary_inconclusive(fingerprint),
        3 => table.canary_succeeded(fingerprint),
        4 if step.is_multiple_of(31) => {
            let until = now + Duration::from_secs(100);
            table.merge_quarantines(&[Quarantine { fingerprint, until }]);
        }
        _ => {}
    }
}

/// Guards against a recording that cannot be replayed because it started in the middle of a history
/// or its oldest events were evicted, and against events recorded while recording is off.
#[test]
fn a_full_recording_replays() {
    let (clock, recorder) = (Arc::new(ManualClock::new()), Arc::new(Recorder::default()));
    let mut leafs = ["a", "b", "c"].map(|id| leaf(&recorder, id, clock.now()));
    let mut table = RecordedFingerprints::new(Arc::clone(&recorder), Arc::clone(&clock) as _);
    for step in 0..8_000 {
        if step == 1_000 {
            assert_eq!(recorder.trace(&"vm-0".into()).events, []);
            recorder.start(clock.now());
        }
        clock.advance(Duration::from_nanos(7_654_321));
        let [a, b, c] = &mut leafs;
        let leaf = if step % 10 == 0 {
            c
        } else if step % 3 == 0 {
            b
        } else {
            a
        };
        leaf.apply(event(step), clock.now());
        change_fingerprint(&mut table, step, clock.now());
    }
    recorder.stop();
    leafs[0].apply(LeafEvent::Sent, clock.now());
    let trace = recorder.trace(&"vm-0".into());
    assert!(
        (3_000..=MAX_EVENTS).contains(&trace.events.len()),
        "{}",
        trace.events.len()
    );
    let text = serde_json::to_string(&trace).unwrap();
    let parsed = Trace::parse(&text).unwrap();
    assert_eq!(replay::replay(&parsed), Ok(trace.events.len()));
}
