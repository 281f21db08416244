//! Leafs: each decides with a function of its own how it answers a request.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::http::{Message, read_message};
use crate::record::Record;

/// A request as it reaches a leaf.
#[derive(Debug, Clone)]
pub struct LeafRequest {
    pub message: Message,
    pub id: String,
    pub path: String,
}

/// What a leaf writes to the connection of a request.
pub enum LeafAnswer {
    /// These bytes.
    Bytes(Vec<u8>),
    /// These bytes at once, and others later.
    Early(Vec<u8>, Pin<Box<dyn Future<Output = Vec<u8>> + Send>>),
    /// Nothing, and the connection closes.
    Close,
    /// Nothing, and the connection stays open.
    Nothing,
}

type Answering = Pin<Box<dyn Future<Output = LeafAnswer> + Send>>;
/// Answers the requests of one connection in turn; the number is that of the connection.
type Behaviour = Arc<dyn Fn(u64, LeafRequest) -> Answering + Send + Sync>;

/// A leaf; it listens until the script ends.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Requests that it runs at the same time, as its entry states.
    pub slots: u32,
    /// Identifiers of the requests that it began to run, in order.
    pub ran: Arc<Mutex<Vec<String>>>,
    is_dark: Arc<AtomicBool>,
}

impl Leaf {
    /// Starts a leaf that answers with `behave`, which also records what runs.
    pub async fn start(
        id: &str,
        service: &str,
        record: &Record,
        behave: impl Fn(Leaf, u64, LeafRequest) -> Answering + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let leaf = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            slots: 6,
            ran: Arc::default(),
            is_dark: Arc::default(),
        };
        let own = leaf.clone();
        let behave: Behaviour =
            Arc::new(move |number, request| behave(own.clone(), number, request));
        let (served, record) = (leaf.clone(), record.clone());
        tokio::spawn(async move {
            let mut number = 0;
            let mut held = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                if served.is_dark() {
                    held.push(stream);
                    continue;
                }
                number += 1;
                let (served, behave, record) =
                    (served.clone(), Arc::clone(&behave), record.clone());
                tokio::spawn(async move { served.serve(stream, number, behave, record).await });
            }
        });
        Ok(leaf)
    }

    /// From now on nothing is answered, and no connection closes.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::Relaxed);
    }

    pub fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::Relaxed)
    }

    /// Returns the leaf's entry in the store.
    pub fn entry(&self, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "agadir-drying",
            "version": "v1", "slots": self.slots, "state": "ready", "warmupLeftMs": 0, "seq": sequence,
            "born": 1_780_000_000_000_u64,
        })
    }

    /// Returns the leaf's signature of a request.
    pub fn stamp(&self, id: &str) -> String {
        format!("{}.{id}", self.id)
    }

    /// Returns an answer to a request that ran.
    pub fn answer(&self, id: &str, status: &str, more: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Medlarpin-Request-Id: {id}\r\nX-Medlarpin-Server-Stamp: {}\r\n\
             {more}Content-Length: {}\r\n\r\n",
            self.stamp(id),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    /// Returns the rejection of a request that did not run.
    pub fn rejection(id: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Medlarpin-Request-Id: {id}\r\n\
             X-Medlarpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    /// Records that the leaf begins to run a request.
    pub fn runs(&self, record: &Record, id: &str) {
        self.ran.lock().unwrap().push(id.to_owned());
        record.line(&format!("leaf {} runs {id}", self.id));
    }

    async fn serve(
        self,
        stream: TcpStream,
        number: u64,
        behave: Behaviour,
        record: Record,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let message = read_message(&mut reader, false).await?;
            if self.is_dark() {
                std::future::pending::<()>().await;
            }
            let expected = message.header("x-medlarpin-expect-instance").to_owned();
            let id = message.header("x-medlarpin-request-id").to_owned();
            let path = message.word(1).to_owned();
            if path == "/health" && expected.is_empty() {
                record.line(&format!("leaf {} gets a health check", self.id));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Medlarpin-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                reader.get_mut().write_all(answer.as_bytes()).await?;
                continue;
            }
            if expected != self.id {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Medlarpin-Request-Id: {id}\r\n\
                     X-Medlarpin-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                reader.get_mut().write_all(answer.as_bytes()).await?;
                continue;
            }
            record.line(&format!(
                "leaf {} connection {number}: request {id}",
                self.id
            ));
            let answer = behave(
                number,
                LeafRequest {
                    message,
                    id: id.clone(),
                    path,
                },
            )
            .await;
            if self.is_dark() {
                std::future::pending::<()>().await;
            }
            match answer {
                LeafAnswer::Bytes(bytes) => {
                    let end = bytes
                        .iter()
                        .position(|byte| *byte == b'\r')
                        .unwrap_or(bytes.len());
                    let status = String::from_utf8_lossy(&bytes[..end]).into_owned();
                    record.line(&format!(
                        "leaf {} connection {number}: {status} for {id}",
                        self.id
                    ));
                    reader.get_mut().write_all(&bytes).await?;
                }
                LeafAnswer::Early(early, rest) => {
                    record.line(&format!(
                        "leaf {} connection {number}: extra answer",
                        self.id
                    ));
                    reader.get_mut().write_all(&early).await?;
                    let rest = rest.await;
                    record.line(&format!(
                        "leaf {} connection {number}: answer for {id}",
                        self.id
                    ));
                    reader.get_mut().write_all(&rest).await?;
                }
                LeafAnswer::Close => return Ok(()),
                LeafAnswer::Nothing => {}
            }
        }
    }
}
