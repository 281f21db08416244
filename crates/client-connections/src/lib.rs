//! Memory that is held for clients, and their connections, with bounds and fair shares.
//!
//! The [`ClientGroups`] of a process have one [`Clients`] for each kind of client, and [`HttpServer`] serves the
//! HTTP addresses of any of them. [`HeldMemory`] is a part of the common memory, which
//! stays attached to the bytes until their last reference is dropped. [`ClientStream`] measures the progress of
//! a caller and [`PeerStream`] bounds the results that another daemon does not read.

mod account;
mod answer_size;
mod body_buffer;
mod client;
mod client_groups;
mod client_stream;
mod clients;
mod common_memory;
mod held_answers;
mod held_memory;
mod http_server;
mod peer_stream;
mod sockets;

pub use answer_size::AnswerSize;
pub use body_buffer::BodyBuffer;
pub use client::{Client, OpenClient};
pub use client_groups::ClientGroups;
pub use client_stream::ClientStream;
pub use clients::{ClientCounts, Clients};
pub use held_answers::hold_answers;
pub use held_memory::{BodyError, HeldMemory, Room};
pub use http_server::HttpServer;
pub use peer_stream::{PeerPlace, PeerResults, PeerRoom, PeerStream};
pub use sockets::{OpenSocket, Sockets};
