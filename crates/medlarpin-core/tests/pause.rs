//! Tests of the detection of pauses.

use medlarpin_core::pause::{DEFAULT_PAUSE_THRESHOLD, PauseDetector, Paused};
use medlarpin_core::prelude::*;

/// Guards against work sent after a pause and against a rejoin by a reply older than the pause.
#[test]
fn paused_daemon_refuses_work_until_a_fresh_exchange() {
    fn check(gap_ms: u64, expected: Result<(), Paused>) {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut detector = PauseDetector::new(start, DEFAULT_PAUSE_THRESHOLD);
        assert_eq!(detector.check(after(gap_ms)), expected);
        assert_eq!(detector.tick(after(gap_ms)), expected.is_err());
        assert_eq!(detector.check(after(gap_ms + 1)), expected);
        let fresh = after(gap_ms + 2);
        assert!(!detector.rejoined(after(gap_ms - 1), fresh));
        assert_eq!(detector.check(fresh), expected);
        assert_eq!(
            detector.rejoined(fresh, after(gap_ms + 3)),
            expected.is_err()
        );
        assert_eq!(detector.check(after(gap_ms + 4)), Ok(()));
        // A reply read before the first tick after a second pause must not end it.
        let resumed = after(gap_ms + 5000);
        assert!(!detector.rejoined(fresh, resumed));
        assert_eq!(detector.check(resumed), Err(Paused));
    }
    check(1000, Ok(()));
    check(1001, Err(Paused));
    check(60_000, Err(Paused));
}
