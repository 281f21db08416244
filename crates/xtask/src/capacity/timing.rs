use std::time::Instant;

use crate::capacity::error::CapacityError;

/// Times repeated runs of a piece of work.
#[derive(Debug, Clone, Copy)]
pub struct Timer {
    /// Runs of each measurement, at least 1.
    runs: usize,
}

impl Timer {
    /// Creates a timer that runs each measurement `runs` times.
    #[must_use]
    pub fn new(runs: usize) -> Self {
        Self { runs: runs.max(1) }
    }

    /// Returns the lower quartile of the time that `work` takes, in microseconds.
    ///
    /// Other processes can only add time, so the faster runs describe the code best. The input is
    /// prepared, and the output dropped, outside the measured time.
    pub fn time_us<I, O>(
        self,
        mut prepare: impl FnMut() -> I,
        mut work: impl FnMut(I) -> O,
    ) -> f64 {
        let time_one = |_| {
            let input = prepare();
            let started = Instant::now();
            let output = std::hint::black_box(work(input));
            let elapsed = started.elapsed();
            drop(output);
            elapsed.as_secs_f64() * 1e6
        };
        let mut times: Vec<f64> = (0..self.runs).map(time_one).collect();
        times.sort_by(f64::total_cmp);
        times[times.len() / 4]
    }
}

/// Returns the processor time that this thread has used, in microseconds.
pub fn thread_time_us() -> Result<f64, CapacityError> {
    const PATH: &str = "/proc/thread-self/schedstat";
    let text = std::fs::read_to_string(PATH).map_err(|error| CapacityError::File {
        path: PATH.to_owned(),
        error,
    })?;
    let nanoseconds: Option<f64> = text.split(' ').next().and_then(|text| text.parse().ok());
    Ok(nanoseconds.ok_or(CapacityError::NoThreadTime)? / 1e3)
}
