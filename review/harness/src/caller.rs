use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which a caller waits beyond its deadline.
const GRACE: Duration = Duration::from_millis(1_000);

/// A complete answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Head of the answer.
    pub head: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails if the connection breaks or no complete answer arrives in time.
pub async fn ask(
    daemon: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> io::Result<Answer> {
    let connect = TcpStream::connect(daemon);
    let mut stream = timeout(Duration::from_secs(1), connect).await??;
    ask_on(&mut stream, method, path, id, deadline).await
}

/// Sends one request on an open connection.
///
/// # Errors
///
/// Fails if the connection breaks or no complete answer arrives in time.
pub async fn ask_on(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> io::Result<Answer> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Medlarpin-Request-Id: {id}\r\n\
         X-Medlarpin-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        deadline.as_millis()
    );
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        read_answer(stream).await
    };
    timeout(deadline + GRACE, exchange).await?
}

async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut answer = Answer {
        status: status.ok_or_else(|| io::Error::other("no status"))?,
        head,
        body: Vec::new(),
    };
    let length = answer.header("content-length");
    let length = length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0);
    answer.body = vec![0; length];
    stream.read_exact(&mut answer.body).await?;
    Ok(answer)
}
