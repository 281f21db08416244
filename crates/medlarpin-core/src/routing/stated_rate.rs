use super::RequestRate;

/// What a leaf's answer states about the rate of requests that the leaf takes from all daemons
/// together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedRate {
    /// The leaf states no limit.
    Unlimited,
    /// The leaf takes requests at most at this rate.
    Limited(RequestRate),
    /// The leaf states a limit that cannot be read.
    Unreadable,
}
