//! Callers: each request is one client attempt with an id of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::{Message, Reader, read_message};

/// An answer as the caller receives it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub message: Message,
}

/// A connection to a daemon that is kept open for further requests.
pub struct CallerConnection {
    reader: Reader,
}

/// Returns the head of a request, with the headers of the page and `more` of the caller's own.
pub fn head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: usize,
    more: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: search.example\r\nX-Medlarpin-Request-Id: {id}\r\n\
         X-Medlarpin-Deadline-Ms: {deadline_ms}\r\nContent-Length: {body}\r\n{more}\r\n"
    )
}

impl CallerConnection {
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer, for as long as the caller's time limit lasts.
    pub async fn ask(&mut self, head: &str, body: &[u8], limit: Duration) -> io::Result<Answer> {
        let exchange = async {
            self.reader
                .get_mut()
                .write_all(&[head.as_bytes(), body].concat())
                .await?;
            let message = read_message(&mut self.reader, true).await?;
            let status = message.word(1).parse();
            let status = status.map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
            Ok(Answer { status, message })
        };
        timeout(limit, exchange).await?
    }
}

/// Sends a request on a new connection.
pub async fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> io::Result<Answer> {
    let mut connection = CallerConnection::open(address).await?;
    let head = head(method, path, id, deadline_ms, 0, "");
    connection
        .ask(&head, b"", Duration::from_millis(deadline_ms))
        .await
}
