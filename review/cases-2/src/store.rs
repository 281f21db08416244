//! The platform's store, as far as it can be read.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::http::read_message;

/// Most items of a page.
const PAGE_ITEMS: usize = 500;
/// Most bytes of a page, as base64.
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision and event of each change, oldest first.
    history: Vec<(u64, Value)>,
}

/// A store; it listens until the script ends.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    pub address: SocketAddr,
}

fn item(key: &str, (value, revision, created): &(String, u64, u64)) -> Value {
    json!({"key": key, "value": value, "revision": revision, "created": created, "lease": 0})
}

impl Store {
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = served.clone();
                tokio::spawn(async move { served.serve(stream).await });
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state
            .items
            .get(key)
            .map_or(revision, |(_, _, created)| *created);
        let entry = (STANDARD.encode(value), revision, created);
        state.history.push((revision, item(key, &entry)));
        state.items.insert(key.to_owned(), entry);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let event = json!({"key": key, "revision": revision, "deleted": true});
        state.history.push((revision, event));
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_message(&mut reader, false).await?;
            let target = request.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, body) = match path {
                "/api/kv-range" => ("200 OK", self.range(query)),
                "/api/kv-key" => self.key(query),
                "/api/kv-watch" => self.watch(query).await,
                _ => ("404 Not Found", json!({})),
            };
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            reader.get_mut().write_all(answer.as_bytes()).await?;
        }
    }

    fn range(&self, query: &str) -> Value {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        let is_listed = |key: &&String| key.starts_with(&prefix) && **key > after;
        for key in state.items.keys().filter(is_listed) {
            let entry = &state.items[key];
            let is_full = page.len() >= PAGE_ITEMS || bytes + entry.0.len() > PAGE_BYTES;
            if is_full && !page.is_empty() {
                has_more = true;
                break;
            }
            bytes += entry.0.len();
            page.push(item(key, entry));
        }
        json!({"items": page, "hasMore": has_more, "currentRev": state.revision})
    }

    fn key(&self, query: &str) -> (&'static str, Value) {
        let state = self.state.lock().unwrap();
        let key = parameter(query, "key");
        match state.items.get(&key) {
            Some(entry) => {
                let mut body = item(&key, entry);
                body["currentRev"] = state.revision.into();
                ("200 OK", body)
            }
            None => ("404 Not Found", json!({})),
        }
    }

    async fn watch(&self, query: &str) -> (&'static str, Value) {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(query, "waitMs").parse().unwrap_or(0));
        let prefix = parameter(query, "prefix");
        let changes = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let (events, revision) = self.events(&prefix, after);
                if !events.is_empty() {
                    return json!({"events": events, "currentRev": revision});
                }
                changed.await;
            }
        };
        match timeout(wait, changes).await {
            Ok(body) => ("200 OK", body),
            Err(_elapsed) => {
                let revision = self.state.lock().unwrap().revision;
                ("200 OK", json!({"events": [], "currentRev": revision}))
            }
        }
    }

    fn events(&self, prefix: &str, after: u64) -> (Vec<Value>, u64) {
        let state = self.state.lock().unwrap();
        let is_new = |(revision, event): &&(u64, Value)| {
            *revision > after
                && event["key"]
                    .as_str()
                    .is_some_and(|key| key.starts_with(prefix))
        };
        let events = state.history.iter().filter(is_new);
        (
            events.map(|(_, event)| event.clone()).collect(),
            state.revision,
        )
    }
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    percent_decode(found.map_or("", |(_, value)| value))
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = (*first == b'%').then(|| tail.get(..2)).flatten();
        let decoded = digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(*first));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
