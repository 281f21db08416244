//! Tests of the state of a leaf.

use medlarpin_core::leaf_state::{HealthReport, HealthState, LeafCondition, LeafState, Wait};
use medlarpin_core::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Moves the clock.
    After(u32),
    /// Requests that are sent and answered one by one.
    Serve(u32),
    Send,
    Shed(u32),
    Draining,
    Lost,
    Release,
    Health(HealthState, f64),
    Removed,
    /// Expected window.
    Window(u32),
    Wanted(u32),
    Refused(Option<u32>),
}

use HealthState::{Draining as Leaving, Ready, Starting};
use Step::*;

fn check(steps: &[Step]) {
    let start = Instant::now();
    let mut now = start;
    let mut leaf = LeafState::new(3, now);
    for (index, step) in steps.iter().enumerate() {
        let context = format!("step {index} of {steps:?}: {leaf:?}");
        match *step {
            After(ms) => now += MS * ms,
            Serve(count) => (0..count).for_each(|_| {
                leaf.sent(now);
                leaf.answered(MS, now);
            }),
            Send => leaf.sent(now),
            Shed(ms) => leaf.shed(MS * ms, now),
            Draining => leaf.draining(now),
            Lost => leaf.connection_lost(now),
            Release => leaf.released(now),
            Health(state, load) => leaf.health(HealthReport { state, load }, now),
            Removed => leaf.removed(),
            Window(window) => assert_eq!(leaf.window(now), window, "{context}"),
            Wanted(wanted) => assert_eq!(leaf.connections_wanted(now), wanted, "{context}"),
            Refused(None) => assert_eq!(leaf.may_send(now), Ok(()), "{context}"),
            Refused(Some(0)) => assert!(leaf.may_send(now).is_err(), "{context}"),
            Refused(Some(ms)) => {
                let until = Wait::Until(now + MS * ms);
                assert_eq!(leaf.may_send(now), Err(until), "{context}");
            }
        }
    }
}

/// Guards against a cold leaf that gets its full load at once.
#[test]
fn slow_start_doubles() {
    check(&[Window(1), Serve(7), Window(1), Serve(1), Window(2)]);
    check(&[Serve(100), Window(2), After(199), Serve(1), Window(2)]);
    check(&[
        Serve(8),
        After(200),
        Serve(8),
        Window(4),
        Send,
        Send,
        Send,
        Refused(None),
    ]);
    check(&[
        Serve(8),
        After(200),
        Serve(8),
        Send,
        Send,
        Send,
        Send,
        Refused(Some(0)),
    ]);
    check(&[
        Serve(8),
        After(200),
        Serve(8),
        After(200),
        Serve(8),
        Window(4),
    ]);
}

/// Guards against a retry storm at a leaf that sheds load.
#[test]
fn backs_off_exponentially() {
    check(&[Send, Shed(0), Refused(Some(20)), After(20), Refused(None)]);
    check(&[Send, Shed(70), Refused(Some(70))]);
    check(&[Send, Shed(3_600_000), Refused(Some(10_000))]);
    check(&[Send, Send, Shed(0), Shed(0), Refused(Some(20))]);
    let mut steps = vec![];
    for back_off in [20, 40, 80, 160, 320, 640, 1280, 2000, 2000] {
        steps.extend([
            Send,
            Shed(0),
            Window(0),
            Refused(Some(back_off)),
            After(back_off),
        ]);
    }
    steps.extend([Window(1), Serve(1), Send, Shed(0), Refused(Some(20))]);
    check(&steps);
    check(&[
        Serve(8),
        After(200),
        Serve(8),
        Send,
        Shed(0),
        After(20),
        Window(1),
        Serve(1),
        Window(4),
    ]);
}

/// Guards against new work for a leaf that leaves, and against a full load when it comes back.
#[test]
fn drains_and_returns_with_slow_start() {
    let warm = [Serve(8), After(200), Serve(8), Window(4)];
    let check = |steps: &[Step]| check(&[&warm, steps].concat());
    check(&[
        Draining,
        Window(0),
        Refused(Some(0)),
        Wanted(0),
        Lost,
        Window(0),
    ]);
    check(&[Health(Leaving, 0.0), Window(0), Serve(1), Window(0)]);
    let ready = [Health(Ready, 0.0); 3];
    check(
        &[
            &[Draining],
            &ready[..2],
            &[Window(0)],
            &ready[..1],
            &[Window(1)],
        ]
        .concat(),
    );
    check(
        &[
            &[Draining],
            &ready[..2],
            &[Health(Starting, 0.0)],
            &ready[..2],
            &[Window(0)],
        ]
        .concat(),
    );
    // Reports that proved wrong count less the next time.
    check(
        &[
            &[Draining],
            &ready[..],
            &[Send, Release, Draining],
            &ready[..],
            &[Window(0)],
        ]
        .concat(),
    );
    check(&[
        Draining,
        After(29_999),
        Window(0),
        After(1),
        Refused(None),
        Send,
        Refused(Some(500)),
    ]);
    check(
        &[
            &[Removed, After(60_000)],
            &ready[..],
            &[Window(0), Refused(Some(0))],
        ]
        .concat(),
    );
}

/// Guards against a flood of requests to a lost leaf and against giving it up.
#[test]
fn tries_a_lost_leaf() {
    let warm = [Serve(8), After(200), Serve(8), Window(4)];
    let check = |steps: &[Step]| check(&[&warm, steps].concat());
    check(&[
        Lost,
        Wanted(0),
        Refused(Some(500)),
        After(500),
        Wanted(1),
        Refused(None),
    ]);
    check(&[Lost, After(500), Send, Lost, Release, Refused(Some(500))]);
    check(&[Lost, After(500), Serve(1), Window(1), Serve(8), Window(2)]);
    check(&[Lost, After(500), Send, Shed(0), Refused(Some(20))]);
}

/// Guards against a misleading health endpoint that overrules the daemon's own observations.
#[test]
fn health_only_adds_suspicion() {
    let warm = [Serve(8), After(200), Serve(8), Window(4)];
    let check = |steps: &[Step]| check(&[&warm, steps].concat());
    check(&[
        Health(Ready, 1.0),
        Window(4),
        After(1001),
        Window(2),
        After(1000),
        Window(4),
    ]);
    check(&[
        Health(Starting, 0.0),
        After(1001),
        Window(2),
        Serve(1),
        Window(4),
    ]);
    check(&[Lost, Health(Ready, 0.0), Refused(Some(500))]);
    check(&[Send, Shed(50), Health(Ready, 0.0), Refused(Some(50))]);
}

/// Guards against a first request that pays for opening its connection.
#[test]
fn opens_connections_ahead() {
    check(&[
        Wanted(1),
        Send,
        Send,
        Send,
        Wanted(3),
        After(1100),
        Wanted(1),
    ]);
    check(&[Send, Send, After(1100), Send, Wanted(1), Send, Wanted(2)]);
}

/// Guards against a condition that contradicts the window.
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
