//! Tests of [`PauseDetector`].

use medlarpin_core::pause::{DEFAULT_PAUSE_THRESHOLD, PauseDetector, Paused};
use medlarpin_core::prelude::*;

/// Guards against work sent after a pause, and against a rejoin by an exchange that was started
/// before the pause was detected.
#[test]
fn daemon_refuses_work_after_a_pause_until_a_new_exchange() {
    fn check(gap_ms: u64, expected: Result<(), Paused>) {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut detector = PauseDetector::new(start, DEFAULT_PAUSE_THRESHOLD);
        assert_eq!(detector.check(after(gap_ms)), expected);
        assert_eq!(detector.tick(after(gap_ms)), expected.is_err());
        assert_eq!(detector.check(after(gap_ms + 1)), expected);
        let after_pause = after(gap_ms + 2);
        assert!(!detector.record_exchange(after(gap_ms - 1), after_pause));
        assert_eq!(detector.check(after_pause), expected);
        assert_eq!(
            detector.record_exchange(after_pause, after(gap_ms + 3)),
            expected.is_err()
        );
        assert_eq!(detector.check(after(gap_ms + 4)), Ok(()));
        // After a second pause, a reply that is read before the first tick must not count as a
        // rejoin.
        let resumed = after(gap_ms + 5000);
        assert!(!detector.record_exchange(after_pause, resumed));
        assert_eq!(detector.check(resumed), Err(Paused));
    }
    check(1000, Ok(()));
    check(1001, Err(Paused));
    check(60_000, Err(Paused));
}
