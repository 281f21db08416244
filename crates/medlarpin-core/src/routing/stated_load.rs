/// The load that a leaf states of itself. Nothing guarantees that it is true.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLoad {
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests in the queue.
    pub waiting: u32,
    /// Number of requests that the leaf runs concurrently; at least 1.
    slots: u32,
    /// Time that long work takes on the leaf's VM at present, as a multiple of the ordinary time;
    /// finite and above 0.
    pace: f64,
}

impl StatedLoad {
    /// Creates a statement; `None` if the slots or the pace are not above 0, or if the pace is not
    /// finite.
    #[must_use]
    pub fn new(running: u32, waiting: u32, slots: u32, pace: f64) -> Option<Self> {
        (slots > 0 && pace > 0.0 && pace.is_finite()).then_some(Self {
            running,
            waiting,
            slots,
            pace,
        })
    }

    /// Returns the number of requests that the leaf runs concurrently.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the time that long work takes, as a multiple of the ordinary time.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns the time that one more request would take, as a multiple of the time that it takes on
    /// an idle leaf of ordinary pace.
    #[must_use]
    pub fn expected_ratio(&self) -> f64 {
        let present = f64::from(self.running) + f64::from(self.waiting);
        self.pace * ((present + 1.0) / f64::from(self.slots)).max(1.0)
    }
}
