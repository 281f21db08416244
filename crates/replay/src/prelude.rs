//! Re-exports of the commonly used items.

pub use crate::{
    Event, FingerprintEvent, LeafEvent, Millis, ReplayError, SignedMillis, Timeline, Trace,
    TraceError, TraceEvent, replay,
};
