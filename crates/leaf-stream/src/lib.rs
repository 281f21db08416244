//! Connections to leafs that end if the leaf sends bytes without progress of its answer, and whose buffers are
//! counted.
//!
//! An HTTP library limits a head and a body, but skips informational heads and leading zeros of
//! chunk sizes without end.

mod buffer_memory;
mod progress_limit;
mod stream;

pub use buffer_memory::{BufferMemory, BufferSizes};
pub use progress_limit::{BYTES_WITHOUT_PROGRESS_MAX, ProgressLimit};
pub use stream::LeafStream;
