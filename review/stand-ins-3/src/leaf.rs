use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::http::{Head, read_body, read_head};
use crate::record::Record;

/// What a leaf does with a request.
#[derive(Debug, Clone)]
pub enum LeafReply {
    /// Runs it for this time and answers.
    Run(Duration),
    /// Answers with these lines of a head instead, without a run.
    Plain(PlainReply),
    /// Never answers.
    Silent,
}

/// An answer without a run.
#[derive(Debug, Clone)]
pub struct PlainReply {
    /// Status and reason.
    pub status: String,
    /// Further lines of the head, each with its line end.
    pub lines: String,
}

type Choose = Arc<dyn Fn(&Head) -> LeafReply + Send + Sync>;

#[derive(Debug)]
struct Ran {
    at: Instant,
    id: String,
}

struct Inner {
    id: String,
    choose: Mutex<Choose>,
    /// Lines that each answer has beside the usual ones.
    lines: Mutex<String>,
    ran: Mutex<Vec<Ran>>,
    arrived: Mutex<Vec<(Instant, String)>>,
    body: Vec<u8>,
    record: Record,
}

/// A sound leaf that follows the protocol.
pub struct Leaf {
    inner: Arc<Inner>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Leaf {
    /// Starts a leaf on a free port.
    pub async fn start(id: &str, body: &[u8], record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let choose: Choose = Arc::new(|_| LeafReply::Run(Duration::from_millis(5)));
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            choose: Mutex::new(choose),
            lines: Mutex::default(),
            ran: Mutex::default(),
            arrived: Mutex::default(),
            body: body.to_vec(),
            record: record.clone(),
        });
        let served = Arc::clone(&inner);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let inner = Arc::clone(&served);
                connections.spawn(async move {
                    // The daemon ends the connection.
                    let _ = inner.serve(stream).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            inner,
            address,
            task,
        })
    }

    /// Returns the leaf's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the leaf's identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Changes what the leaf does with requests, health checks included.
    pub fn set_reply(&self, choose: impl Fn(&Head) -> LeafReply + Send + Sync + 'static) {
        if let Ok(mut current) = self.inner.choose.lock() {
            *current = Arc::new(choose);
        }
    }

    /// Adds lines to the head of each answer.
    pub fn set_lines(&self, lines: &str) {
        if let Ok(mut current) = self.inner.lines.lock() {
            lines.clone_into(&mut current);
        }
    }

    /// Returns the identifiers of the requests that have run, with their times.
    #[must_use]
    pub fn ran(&self) -> Vec<(Instant, String)> {
        let ran = self.inner.ran.lock();
        ran.map(|ran| ran.iter().map(|run| (run.at, run.id.clone())).collect())
            .unwrap_or_default()
    }

    /// Returns the identifiers of the requests that have arrived, with their times; those of health checks are empty.
    #[must_use]
    pub fn arrived(&self) -> Vec<(Instant, String)> {
        let arrived = self.inner.arrived.lock();
        arrived.map(|arrived| arrived.clone()).unwrap_or_default()
    }

    /// Returns the leaf's entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, seq: u64) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "slots": 4, "state": "ready", "warmupLeftMs": 0, "seq": seq, "born": 1_790_000_000_000_u64,
        })
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream).await? {
            let _body = read_body(&mut stream, &head).await?;
            let id = head.get("x-medlarpin-request-id").to_owned();
            let expected = head.get("x-medlarpin-expect-instance");
            if let Ok(mut arrived) = self.arrived.lock() {
                arrived.push((Instant::now(), id.clone()));
            }
            if !expected.is_empty() && expected != self.id {
                self.record.line(format!("leaf {}: 421 to {id}", self.id));
                let answer = self.head("421 Misdirected Request", &id, "", 0);
                stream.get_mut().write_all(answer.as_bytes()).await?;
                continue;
            }
            let choose = self.choose.lock().map(|choose| Arc::clone(&choose));
            let reply = choose.map_or(LeafReply::Silent, |choose| choose(&head));
            match reply {
                LeafReply::Silent => std::future::pending().await,
                LeafReply::Plain(plain) => {
                    self.record.line(format!(
                        "leaf {}: {} to {id:?}, not run",
                        self.id, plain.status
                    ));
                    let answer = self.head(&plain.status, &id, &plain.lines, 0);
                    stream.get_mut().write_all(answer.as_bytes()).await?;
                }
                LeafReply::Run(work) if expected.is_empty() => {
                    sleep(work).await;
                    let lines = format!("X-Medlarpin-Instance-Id: {}\r\n", self.id);
                    let answer = self.head("200 OK", "", &lines, 0);
                    stream.get_mut().write_all(answer.as_bytes()).await?;
                }
                LeafReply::Run(work) => {
                    if let Ok(mut ran) = self.ran.lock() {
                        let at = Instant::now();
                        ran.push(Ran { at, id: id.clone() });
                    }
                    self.record.line(format!("leaf {}: runs {id}", self.id));
                    sleep(work).await;
                    let lines = format!("X-Medlarpin-Server-Stamp: {}.{id}\r\n", self.id);
                    let answer = self.head("200 OK", &id, &lines, self.body.len());
                    let bytes = [answer.as_bytes(), &self.body].concat();
                    stream.get_mut().write_all(&bytes).await?;
                }
            }
        }
        Ok(())
    }

    fn head(&self, status: &str, id: &str, lines: &str, length: usize) -> String {
        let id = if id.is_empty() {
            String::new()
        } else {
            format!("X-Medlarpin-Request-Id: {id}\r\n")
        };
        let common = self.lines.lock().map(|lines| lines.clone());
        let common = common.unwrap_or_default();
        format!("HTTP/1.1 {status}\r\n{id}{common}{lines}Content-Length: {length}\r\n\r\n")
    }
}
