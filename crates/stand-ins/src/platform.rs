//! Fake of the platform's settings tree and VM list.

mod published;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

pub use self::published::{PlatformMode, Snapshot, VmEntry, VmEntryState};

use self::published::Published;
use crate::server::{self, CloseConnection, Handler, Reply, Server, ServerControl};

/// Upper bound of a watch's `wait_ms`.
const MAX_WAIT: Duration = Duration::from_mins(10);

#[derive(Debug, Default)]
struct State {
    current: Published,
    /// Snapshot that is served instead of `current` while the fake is stale.
    frozen: Option<Snapshot>,
    settings_down: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Number of changes of the served state; a new value wakes the waiting watches.
    changes: watch::Sender<u64>,
    calls: AtomicU64,
    waiting: AtomicU64,
}

/// A running fake of the platform; dropping it closes its port.
#[derive(Debug)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    control: ServerControl,
    server: Server,
}

#[expect(
    clippy::must_use_candidate,
    reason = "publishing is useful without the new revision"
)]
impl FakePlatform {
    /// Starts the fake with an empty tree at revision 0.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    #[expect(
        clippy::unused_async,
        reason = "makes the need for a tokio runtime visible"
    )]
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            calls: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
        });
        let control = ServerControl::new();
        let view = Arc::new(View {
            shared: Arc::clone(&shared),
            addresses: Vec::new(),
        });
        let server = Server::start(view, control.clone())?;
        Ok(Self {
            shared,
            control,
            server,
        })
    }

    /// Returns the address of the HTTP listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Opens an additional port that serves the same tree and VM list, but with other RPC
    /// addresses.
    ///
    /// `addresses` holds pairs of a VM's name and the address to list for it, so that a test can
    /// route the traffic of each daemon through its own relays.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start_view(&self, addresses: Vec<(String, String)>) -> io::Result<PlatformView> {
        let view = Arc::new(View {
            shared: Arc::clone(&self.shared),
            addresses,
        });
        let server = Server::start(view, self.control.clone())?;
        Ok(PlatformView { server })
    }

    /// Publishes the text of one path and returns the new revision.
    pub fn set(&self, path: &str, text: &str) -> u64 {
        self.set_many(&[(path, text)])
    }

    /// Publishes pairs of a path and a text at one new revision, which it returns.
    pub fn set_many(&self, texts: &[(&str, &str)]) -> u64 {
        self.change(|published| {
            for (path, text) in texts {
                published
                    .subtrees
                    .insert((*path).to_owned(), (*text).to_owned());
            }
            published.revision += 1;
            published.revision
        })
    }

    /// Removes one path and returns the new revision.
    pub fn remove(&self, path: &str) -> u64 {
        self.change(|published| {
            published.subtrees.remove(path);
            published.revision += 1;
            published.revision
        })
    }

    /// Publishes a VM list and returns its new revision, which is counted apart from the tree's.
    pub fn set_vms(&self, vms: Vec<VmEntry>) -> u64 {
        self.change(|published| {
            published.vms = vms;
            published.vms_revision += 1;
            published.vms_revision
        })
    }

    /// Changes the mode; waiting watches are affected at once.
    pub fn set_mode(&self, mode: PlatformMode) {
        match mode {
            PlatformMode::Up => self.serve(None, false),
            PlatformMode::Down => self.control.go_down(),
            PlatformMode::Stale => self.serve(Some(self.snapshot()), false),
            PlatformMode::SettingsDown => self.serve(None, true),
        }
    }

    /// Returns the current tree and VM list, even while others are served.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(Arc::new(self.shared.state.lock().current.clone()))
    }

    /// Serves an earlier snapshot until the mode changes, as in the mode `Stale`.
    pub fn serve_snapshot(&self, snapshot: &Snapshot) {
        self.serve(Some(snapshot.clone()), false);
    }

    /// Returns the current revision of the tree, even while another one is served.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.state.lock().current.revision
    }

    /// Returns the number of calls since the start, including watches that are waiting.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of watches that are waiting.
    #[must_use]
    pub fn waiting_watches(&self) -> u64 {
        self.shared.waiting.load(Ordering::Relaxed)
    }

    fn serve(&self, frozen: Option<Snapshot>, settings_down: bool) {
        let mut state = self.shared.state.lock();
        state.frozen = frozen;
        state.settings_down = settings_down;
        drop(state);
        self.shared.changes.send_modify(|count| *count += 1);
        self.control.set_listening(true);
    }

    fn change(&self, change: impl FnOnce(&mut Published) -> u64) -> u64 {
        let revision = change(&mut self.shared.state.lock().current);
        self.shared.changes.send_modify(|count| *count += 1);
        revision
    }
}

/// An additional port of a fake platform, to which the fake's modes apply as well; dropping it
/// closes the port.
#[derive(Debug)]
pub struct PlatformView {
    server: Server,
}

impl PlatformView {
    /// Returns the address of the HTTP listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// State that one port serves.
#[derive(Debug)]
struct View {
    shared: Arc<Shared>,
    /// Pairs of a VM's name and the RPC address to list instead of the published one.
    addresses: Vec<(String, String)>,
}

impl View {
    fn vms(&self) -> Response<Full<Bytes>> {
        let (revision, mut vms) = self
            .shared
            .read(|published| (published.vms_revision, published.vms.clone()));
        for vm in &mut vms {
            if let Some((_, address)) = self.addresses.iter().find(|(name, _)| *name == vm.name) {
                vm.rpc_address.clone_from(address);
            }
        }
        render(&VmsReply { revision, vms })
    }
}

impl Shared {
    fn read<R>(&self, read: impl FnOnce(&Published) -> R) -> R {
        let state = self.state.lock();
        read(
            state
                .frozen
                .as_ref()
                .map_or(&state.current, |snapshot| &snapshot.0),
        )
    }

    async fn settings(&self, query: SettingsQuery) -> Reply {
        let deadline = Instant::now() + query.wait.min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let _guard = WaitingGuard::new(&self.waiting);
        loop {
            changes.mark_unchanged();
            if self.state.lock().settings_down {
                return Err(CloseConnection);
            }
            if let Some(reply) = self.settings_if_changed(query.after) {
                return Ok(reply);
            }
            match tokio::time::timeout_at(deadline, changes.changed()).await {
                Ok(Ok(())) => {}
                _ => return Ok(server::empty(StatusCode::NO_CONTENT)),
            }
        }
    }

    /// Returns the served tree unless it still has the revision `after`.
    fn settings_if_changed(&self, after: Option<u64>) -> Option<Response<Full<Bytes>>> {
        self.read(|published| {
            let revision = published.revision;
            // A revision lower than `after` is answered at once too, as by a replica that is
            // behind.
            if after == Some(revision) {
                return None;
            }
            Some(render(&SettingsReply {
                revision,
                subtrees: &published.subtrees,
            }))
        })
    }
}

impl Handler for View {
    type Connection = ();

    fn connect(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Reply {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let reply = match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/settings") => match SettingsQuery::parse(request.uri().query()) {
                Some(query) => self.shared.settings(query).await?,
                None => server::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/v1/vms") => self.vms(),
            _ => server::empty(StatusCode::NOT_FOUND),
        };
        Ok(reply)
    }
}

/// Query parameters of a settings request.
#[derive(Debug, Default)]
struct SettingsQuery {
    after: Option<u64>,
    wait: Duration,
}

impl SettingsQuery {
    fn parse(query: Option<&str>) -> Option<Self> {
        let mut parsed = Self::default();
        for pair in query
            .unwrap_or_default()
            .split('&')
            .filter(|pair| !pair.is_empty())
        {
            match pair.split_once('=')? {
                ("after", value) => parsed.after = Some(value.parse().ok()?),
                ("wait_ms", value) => parsed.wait = Duration::from_millis(value.parse().ok()?),
                _ => return None,
            }
        }
        Some(parsed)
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingGuard<'a>(&'a AtomicU64);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Serialize)]
struct SettingsReply<'a> {
    revision: u64,
    subtrees: &'a BTreeMap<String, String>,
}

#[derive(Serialize)]
struct VmsReply {
    revision: u64,
    vms: Vec<VmEntry>,
}

/// Returns a reply with the value as JSON.
fn render(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => server::json(StatusCode::OK, body),
        Err(_) => server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
