use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A request that arrived at a leaf.
#[derive(Debug, Clone)]
pub struct LeafRequest {
    /// Request identifier; empty for health checks.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Number of the connection.
    pub connection: u64,
}

/// What a leaf does in answer to a request.
#[derive(Debug, Clone)]
pub enum LeafReply {
    /// Sends these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Closes the connection.
    Close,
}

type Handling = Pin<Box<dyn Future<Output = LeafReply> + Send>>;
type Handler = Arc<dyn Fn(LeafRequest) -> Handling + Send + Sync>;

/// A leaf: it answers health checks and requests for another leaf itself, and passes the others to a handler.
/// A request is dropped when its connection closes.
#[derive(Debug)]
pub struct Leaf {
    /// Identifier.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    is_dark: watch::Sender<bool>,
}

impl Leaf {
    /// Starts a leaf.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start<F>(
        id: &str,
        handler: impl Fn(LeafRequest) -> F + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = LeafReply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let handler: Handler = Arc::new(move |request| Box::pin(handler(request)));
        let connections = AtomicU64::new(0);
        let leaf_id: Arc<str> = id.into();
        let is_dark = watch::Sender::new(false);
        let dark = is_dark.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::Relaxed);
                let (handler, leaf_id) = (Arc::clone(&handler), Arc::clone(&leaf_id));
                let mut dark = dark.subscribe();
                tokio::spawn(async move {
                    let mut stream = stream;
                    tokio::select! {
                        biased;
                        Ok(_) = dark.wait_for(|is_dark| *is_dark) => {}
                        // A connection that breaks is the daemon's choice or the end of the run.
                        _ = serve(&mut stream, number, &leaf_id, &handler) => return,
                    }
                    // The connection stays open without an answer.
                    std::future::pending::<()>().await;
                    drop(stream);
                });
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            is_dark,
        })
    }

    /// Lets the leaf fall silent: its connections and new ones stay open, and it answers nothing and runs
    /// nothing from now on.
    pub fn go_dark(&self) {
        self.is_dark.send_replace(true);
    }

    /// Returns the leaf's entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str, sequence: u64) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "z0", "version": "v1",
            "slots": 2, "state": state, "warmupLeftMs": 0, "seq": sequence, "born": 1_760_000_000_000_u64,
        })
    }
}

/// Returns a successful answer of a leaf; `extra_headers` are complete lines.
#[must_use]
pub fn answer(leaf: &str, id: &str, body: &[u8], extra_headers: &str) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Medlarpin-Request-Id: {id}\r\nX-Medlarpin-Server-Stamp: {leaf}.{id}\r\n\
         {extra_headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the answer of a leaf that turns a request away without running it.
#[must_use]
pub fn rejection(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Medlarpin-Request-Id: {id}\r\n\
         X-Medlarpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

async fn serve(
    stream: &mut TcpStream,
    connection: u64,
    leaf_id: &str,
    handler: &Handler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let head = read_head(stream).await?;
        let length = header(&head, "content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        let mut first_line = head.split(' ');
        let request = LeafRequest {
            id: header(&head, "x-medlarpin-request-id").to_owned(),
            method: first_line.next().unwrap_or_default().to_owned(),
            path: first_line.next().unwrap_or_default().to_owned(),
            connection,
        };
        if request.path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Medlarpin-Instance-Id: {leaf_id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await?;
            continue;
        }
        if header(&head, "x-medlarpin-expect-instance") != leaf_id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Medlarpin-Request-Id: {}\r\n\
                 X-Medlarpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                request.id
            );
            stream.write_all(text.as_bytes()).await?;
            continue;
        }
        let reply = tokio::select! {
            reply = handler(request) => reply,
            () = closed(stream) => return Ok(()),
        };
        match reply {
            LeafReply::Send(bytes) => stream.write_all(&bytes).await?,
            LeafReply::Close => return Ok(()),
        }
    }
}

/// Waits until the peer has closed or reset the connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The peer sends one request at a time, so this does not happen.
        Ok(_) => std::future::pending().await,
    }
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}
