//! Memory that is held for clients, and their connections, with bounds and fair shares.
//!
//! One [`Clients`] serves all front ends of a process. [`HeldMemory`] is a part of the common memory, which
//! stays attached to the bytes until their last reference is dropped. [`ClientStream`] measures the progress of
//! a caller and [`PeerStream`] bounds the results that another daemon does not read.

mod answer_size;
mod client;
mod client_stream;
mod clients;
mod held_memory;
mod peer_stream;

pub use answer_size::AnswerSize;
pub use client::{Client, OpenClient};
pub use client_stream::ClientStream;
pub use clients::{ClientCounts, Clients};
pub use held_memory::{BodyError, HeldMemory, Room};
pub use peer_stream::{PeerPlace, PeerResults, PeerRoom, PeerStream};
