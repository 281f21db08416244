use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::{Head, read_body, read_head};

/// Time that the client waits beyond the time limit which it states.
const MARGIN: Duration = Duration::from_secs(2);

/// What a client has got for a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Head of the answer.
    pub head: Option<Head>,
    /// Body of the answer.
    pub body: Vec<u8>,
    /// Why there was no answer.
    pub error: String,
}

impl Answer {
    fn none(error: &io::Error) -> Self {
        Self {
            status: 0,
            head: None,
            body: Vec::new(),
            error: error.to_string(),
        }
    }
}

/// A client's connection to a daemon, used for one request at a time.
#[derive(Debug)]
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub async fn connect(daemon: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(daemon).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a request and waits for the answer.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
        body: &[u8],
    ) -> Answer {
        let exchange = self.exchange(method, path, id, limit_ms, body);
        match timeout(Duration::from_millis(limit_ms) + MARGIN, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => Answer::none(&error),
            Err(_elapsed) => Answer::none(&io::ErrorKind::TimedOut.into()),
        }
    }

    async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
        body: &[u8],
    ) -> io::Result<Answer> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: search.example\r\nX-Medlarpin-Request-Id: {id}\r\n\
             X-Medlarpin-Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), body].concat();
        self.stream.get_mut().write_all(&bytes).await?;
        let head = read_head(&mut self.stream).await?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_body(&mut self.stream, &head).await?;
        Ok(Answer {
            status: head.status(),
            head: Some(head),
            body,
            error: String::new(),
        })
    }
}

/// Sends a request on a connection of its own.
pub async fn ask(
    daemon: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    limit_ms: u64,
    body: &[u8],
) -> Answer {
    match Client::connect(daemon).await {
        Ok(mut client) => client.send(method, path, id, limit_ms, body).await,
        Err(error) => Answer::none(&error),
    }
}
