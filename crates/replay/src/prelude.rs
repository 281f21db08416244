//! The types and functions that most users of this crate need.

pub use crate::{
    Event, FingerprintEvent, LeafEvent, Millis, ReplayError, SignedMillis, Timeline, Trace,
    TraceError, TraceEvent, replay,
};
