use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// A page or the answer to a watch ends with the item that reaches this size.
const ANSWER_BYTES: usize = 1 << 20;
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Default)]
struct Items {
    revision: u64,
    /// Base64 of the value, and the revision, of each key.
    by_key: BTreeMap<String, (String, u64)>,
    /// Revision and item of each change, oldest first.
    history: Vec<(u64, Value)>,
    /// True while calls get 503.
    is_down: bool,
    calls: u64,
}

/// A store whose answers are bounded like those of the platform's store: pages of at most 500 items or
/// about a megabyte.
#[derive(Debug)]
pub struct BoundedStore {
    items: Arc<Mutex<Items>>,
    changed: Arc<Notify>,
    /// Address.
    pub address: SocketAddr,
}

impl BoundedStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let store = Self {
            items: Arc::default(),
            changed: Arc::default(),
            address,
        };
        let (items, changed) = (Arc::clone(&store.items), Arc::clone(&store.changed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (items, changed) = (Arc::clone(&items), Arc::clone(&changed));
                tokio::spawn(async move {
                    // A connection that breaks is the daemon's choice or the end of the run.
                    let _ = serve(stream, &items, &changed).await;
                });
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        let value = STANDARD.encode(value);
        let mut items = self.items.lock().expect("no holder panics");
        items.revision += 1;
        let revision = items.revision;
        let event = item(key, &value, revision);
        items.by_key.insert(key.to_owned(), (value, revision));
        items.history.push((revision, event));
        drop(items);
        self.changed.notify_waiters();
    }

    /// Answers all calls with 503, or serves them again. Waiting watches end as well.
    pub fn set_down(&self, is_down: bool) {
        self.items.lock().expect("no holder panics").is_down = is_down;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.items.lock().expect("no holder panics").calls
    }
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": 0})
}

async fn serve(mut stream: TcpStream, items: &Mutex<Items>, changed: &Notify) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let is_down = {
            let mut items = items.lock().expect("no holder panics");
            items.calls += 1;
            items.is_down
        };
        let body = match path {
            _ if is_down => None,
            "/api/kv-range" => Some(range(query, items)),
            "/api/kv-watch" => watch(query, items, changed).await,
            _ => Some(json!({})),
        };
        let status = match &body {
            Some(_) => "200 OK",
            None => "503 Service Unavailable",
        };
        let body = body.unwrap_or_else(|| json!({})).to_string();
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
    }
}

fn range(query: &str, items: &Mutex<Items>) -> Value {
    let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
    let items = items.lock().expect("no holder panics");
    let mut matching = items
        .by_key
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .peekable();
    let mut page = Vec::new();
    let mut bytes = 0;
    while bytes < ANSWER_BYTES && page.len() < PAGE_ITEMS {
        let Some((key, (value, revision))) = matching.next() else {
            break;
        };
        bytes += key.len() + value.len();
        page.push(item(key, value, *revision));
    }
    let has_more = matching.peek().is_some();
    json!({"items": page, "hasMore": has_more, "currentRev": items.revision})
}

/// Returns the answer to a watch, or `None` if the store is down.
async fn watch(query: &str, items: &Mutex<Items>, changed: &Notify) -> Option<Value> {
    let after: u64 = parameter(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "waitMs").parse().unwrap_or(0));
    let changes = async {
        loop {
            let change = changed.notified();
            tokio::pin!(change);
            change.as_mut().enable();
            {
                let items = items.lock().expect("no holder panics");
                if items.is_down {
                    return None;
                }
                let mut events = Vec::new();
                let (mut bytes, mut revision) = (0, items.revision);
                for (at, event) in items.history.iter().filter(|(at, _)| *at > after) {
                    bytes += event["value"].as_str().map_or(0, str::len);
                    events.push(event.clone());
                    if bytes >= ANSWER_BYTES {
                        revision = *at;
                        break;
                    }
                }
                if !events.is_empty() {
                    return Some(json!({"events": events, "currentRev": revision}));
                }
            }
            change.await;
        }
    };
    match timeout(wait, changes).await {
        Ok(answer) => answer,
        Err(_elapsed) => {
            let revision = items.lock().expect("no holder panics").revision;
            Some(json!({"events": [], "currentRev": revision}))
        }
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}
