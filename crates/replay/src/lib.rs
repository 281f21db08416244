//! Replay of recorded or hand-written decision traces against the production code.
//!
//! A trace is JSON with comments. Each event has a time (`at_ms`), a subject (`on`: its kind and a
//! name), an input (`do`) and the outcome that the production code must return (`expect`). The
//! first event of a subject creates it.

mod error;
mod event;
pub mod prelude;
mod replayer;
mod subjects;
mod timeline;
mod trace;

pub use crate::error::{ReplayError, TraceError};
pub use crate::event::Event;
pub use crate::replayer::replay;
pub use crate::subjects::fingerprints::{FingerprintEvent, outcome as fingerprint_outcome};
pub use crate::subjects::leaf::{
    LeafEvent, LeafHealth, RecordedLeafState, outcome as leaf_outcome,
};
pub use crate::timeline::{Millis, SignedMillis, Timeline};
pub use crate::trace::{Trace, TraceEvent};
