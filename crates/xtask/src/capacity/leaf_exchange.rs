//! Processor time of leaf requests over HTTP on loopback, on the gatherer's side only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use daemon::{ConnectionPool, LeafRequest, exchange};
use hyper::Method;
use medlarpin_core::prelude::*;

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;
use crate::capacity::timing::thread_time_us;

/// Requests in flight, each on its own connection; a holder of 8 leafs with 2 slots has about as
/// many.
const IN_FLIGHT: u32 = 16;

/// Measures the processor time of the thread that sends the requests.
pub fn measure() -> Result<Slope, CapacityError> {
    let address = start_leaf().map_err(leaf_error)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(leaf_error)?;
    let points = runtime.block_on(async {
        let pool = ConnectionPool::new(address, IN_FLIGHT);
        send_all(&pool, IN_FLIGHT).await?;
        let mut points = Vec::new();
        for requests in [2_000, 8_000, 16_000] {
            let before = thread_time_us()?;
            send_all(&pool, requests).await?;
            points.push((f64::from(requests), thread_time_us()? - before));
        }
        Ok::<_, CapacityError>(points)
    })?;
    Ok(Slope {
        quantity: "processor time of leaf requests over HTTP, one row of 64 B, us",
        mechanism: "daemon leafs",
        size: "requests",
        points,
    })
}

async fn send_all(pool: &ConnectionPool, requests: u32) -> Result<(), CapacityError> {
    for _ in 0..requests / IN_FLIGHT {
        let in_flight = (0..IN_FLIGHT).map(|_| send_one(pool));
        futures::future::try_join_all(in_flight).await?;
    }
    Ok(())
}

async fn send_one(pool: &ConnectionPool) -> Result<(), CapacityError> {
    let request = request();
    let mut connection = pool.acquire().await.map_err(leaf_error)?;
    let sender = connection.sender().ok_or(CapacityError::NoService)?;
    let body = request.to_json(Duration::from_millis(280));
    let reply = exchange(
        sender,
        Method::POST,
        "/search",
        pool.authority(),
        body,
        None,
    );
    let (status, body) = reply.await.map_err(leaf_error)?;
    connection.recycle();
    request.parse_reply(status, &body).map_err(leaf_error)?;
    Ok(())
}

fn request() -> LeafRequest {
    LeafRequest {
        request: RequestId(1),
        attempt: 0,
        team: "team-000".into(),
        query: "recall batch 2291 Tiznit".into(),
        version: IndexVersion(7),
        shard: ShardId(3),
    }
}

/// Starts a fake leaf on threads of its own that sends the same reply to every request at once.
fn start_leaf() -> std::io::Result<SocketAddr> {
    let body = format!(
        "{{\"request_id\":\"{}\",\"index_version\":7,\"shard\":3,\"rows\":[\"{}\"]}}",
        request().id(),
        "x".repeat(64)
    );
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
    let answer = format!("{head} {}\r\n\r\n{body}", body.len());
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let answer = answer.clone();
            std::thread::spawn(move || serve(stream, answer.as_bytes()));
        }
    });
    Ok(address)
}

/// Replies to each request; the closing brace of its JSON body marks its end.
fn serve(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        if buffer[..length].ends_with(b"}") {
            stream.write_all(answer)?;
        }
    }
}

fn leaf_error(error: impl std::fmt::Display) -> CapacityError {
    CapacityError::Leaf(error.to_string())
}
