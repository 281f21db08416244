//! Traces of decisions and their replay against the code that ships.
//!
//! A trace is JSON with comments. Each event names its subject (`on`: the kind, and a name), what
//! happens (`do`) and the outcome that the shipped code must give (`expect`). A subject's first
//! event creates it.

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
