//! Guards against a caller that holds a request, or its memory, for ever.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream;

use super::*;

/// A body that stops in the middle, and one whose chunks never end.
#[tokio::test(start_paused = true)]
async fn bodies_without_end_are_refused() {
    let clients = Clients::new(64 << 20, Arc::new(SystemClock));
    let chunk = || Ok::<_, std::io::Error>(Bytes::from_static(b"{"));
    let stops = stream::iter([chunk()]).chain(stream::pending());
    let read = read_body(&clients, Body::from_stream(stops), 100).await;
    assert_eq!(read, Err(RequestError::BodyTimedOut));
    let endless = stream::repeat_with(chunk);
    let read = read_body(&clients, Body::from_stream(endless), 100).await;
    assert_eq!(read, Err(RequestError::BodyTooLarge { limit_bytes: 100 }));
    let whole = stream::iter([chunk(), chunk()]);
    let read = read_body(&clients, Body::from_stream(whole), 100).await;
    assert_eq!(read, Ok(Bytes::from_static(b"{{")));
}
