//! Tests of a leaf's flow control and health.

use medlarpin_core::leaf_state::{HealthReport, HealthState, LeafCondition, LeafState, Wait};
use medlarpin_core::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// Runs steps of the form `name` or `name:number`, separated by spaces. Times are in milliseconds.
/// Steps that start with `=` check the state.
fn check(steps: &str) {
    let mut now = Instant::now();
    let mut leaf = LeafState::new(3, now);
    for (index, step) in steps.split_whitespace().enumerate() {
        let (name, number) = step.split_once(':').unwrap_or((step, "0"));
        let number: u32 = number.parse().unwrap();
        let mut health = |state| {
            let load = f64::from(number) / 100.0;
            leaf.health(HealthReport { state, load }, now);
        };
        let context = format!("step {index}, {step}, of {steps}");
        match name {
            "after" => now += MS * number,
            "serve" => (0..number).for_each(|_| {
                leaf.sent(now);
                leaf.answered(MS, now);
            }),
            "send" => leaf.sent(now),
            "shed" => leaf.shed(MS * number, now),
            "draining" => leaf.draining(now),
            "lost" => leaf.connection_lost(now),
            "release" => leaf.released(now),
            "removed" => leaf.removed(),
            "ready" => health(HealthState::Ready),
            "starting" => health(HealthState::Starting),
            "leaving" => health(HealthState::Draining),
            "=window" => assert_eq!(leaf.window(now), number, "{context}"),
            "=connections" => assert_eq!(leaf.target_idle_connections(now), number, "{context}"),
            "=open" => assert_eq!(leaf.may_send(now), Ok(()), "{context}"),
            "=full" => assert_eq!(leaf.may_send(now), Err(Wait::InFlight), "{context}"),
            "=drains" => assert_eq!(leaf.may_send(now), Err(Wait::Draining), "{context}"),
            "=waits" => {
                let until = Wait::Until(now + MS * number);
                assert_eq!(leaf.may_send(now), Err(until), "{context}");
            }
            unknown => panic!("no step is called {unknown}"),
        }
    }
}

/// Runs the steps with a leaf at its full window.
fn check_warm(steps: &str) {
    check(&format!("serve:8 after:200 serve:8 =window:4 {steps}"));
}

/// Guards against a leaf that gets its full load immediately after its start.
#[test]
fn slow_start_doubles() {
    check("=window:1 serve:7 =window:1 serve:1 =window:2");
    check("serve:100 =window:2 after:199 serve:1 =window:2");
    check_warm("send send send =open send =full");
    check_warm("after:200 serve:8 =window:4");
}

/// Guards against a retry storm at a leaf that sheds load.
#[test]
fn backs_off_exponentially() {
    check("send shed =waits:20 after:20 =open");
    check("send shed:70 =waits:70");
    check("send shed:3600000 =waits:10000");
    check("send send shed shed =waits:20");
    let back_offs = [20, 40, 80, 160, 320, 640, 1280, 2000, 2000];
    let step = |ms| format!("send shed =window:0 =waits:{ms} after:{ms}");
    let steps = back_offs.map(step).join(" ");
    check(&(steps + " =window:1 serve:1 send shed =waits:20"));
    check_warm("send shed after:20 =window:1 serve:1 =window:4");
}

/// Guards against new requests to a draining leaf, and against a full load after its recovery.
#[test]
fn drains_and_recovers_with_slow_start() {
    check_warm("draining =window:0 =drains =connections:0 lost =window:0");
    check_warm("leaving =window:0 serve:1 =window:0");
    check_warm("draining ready ready =window:0 ready =window:1");
    check_warm("draining ready ready starting ready ready =window:0");
    // After reports ended a drain too early, more of them are needed.
    check_warm("draining ready ready ready send release draining ready ready ready =window:0");
    check_warm("draining after:29999 =window:0 after:1 =open send =waits:500");
    check_warm("removed after:60000 ready ready ready =window:0 =drains");
}

/// Guards against a lost leaf that gets many requests, and against one that is never tried again.
#[test]
fn sends_trial_requests_to_a_lost_leaf() {
    check_warm("lost =connections:0 =waits:500 after:500 =connections:1 =open");
    check_warm("lost after:500 send lost release =waits:500");
    check_warm("lost after:500 serve:1 =window:1 serve:8 =window:2");
    check_warm("lost after:500 send shed =waits:20");
}

/// Guards against a wrong health report that overrides the daemon's own observations.
#[test]
fn health_reports_do_not_override_observations() {
    check_warm("ready:100 =window:4 after:1001 =window:2 after:1000 =window:4");
    check_warm("starting after:1001 =window:2 serve:1 =window:4");
    check_warm("lost ready =waits:500");
    check_warm("send shed:50 ready =waits:50");
}

/// Guards against requests that have to wait until a connection is opened.
#[test]
fn opens_connections_ahead_of_demand() {
    check("=connections:1 send send send =connections:3 after:1100 =connections:1");
    check("send send after:1100 send =connections:1 send =connections:2");
}

/// Guards against a reported condition that does not match the leaf's state.
#[test]
fn reports_the_condition() {
    let now = Instant::now();
    let mut leaf = LeafState::new(1, now);
    assert_eq!(leaf.condition(now), LeafCondition::Starting);
    for _ in 0..8 {
        leaf.sent(now);
        leaf.answered(MS, now);
    }
    assert_eq!(leaf.condition(now), LeafCondition::Ready);
    leaf.connection_lost(now);
    assert_eq!(leaf.condition(now + MS), LeafCondition::Lost { since: now });
    leaf.draining(now);
    assert_eq!(leaf.condition(now), LeafCondition::Draining);
    assert!(!leaf.probe_due(now + 999 * MS));
    assert!(leaf.probe_due(now + 1000 * MS) && !leaf.probe_due(now + 1001 * MS));
}
