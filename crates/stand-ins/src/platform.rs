//! Fake of the configuration service and of the VM list.

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
use crate::server::{self, CloseConnection, Control, Handler, Reply, Server};

/// Longest wait of one watch; a longer `wait_ms` is cut to it.
const MAX_WAIT: Duration = Duration::from_mins(10);

#[derive(Debug, Default)]
struct State {
    current: Published,
    /// Served instead of `current` while the fake is stale.
    frozen: Option<Snapshot>,
    settings_down: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Counts every change of what is served and wakes the waiting watches.
    changes: watch::Sender<u64>,
    calls: AtomicU64,
    waiting: AtomicU64,
}

/// A running fake of the platform; dropping it closes its port.
#[derive(Debug)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    control: Control,
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
        let control = Control::new();
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

    /// Opens a further port that serves the same tree and list, but names other RPC addresses.
    ///
    /// `addresses` holds pairs of a VM's name and the address to show for it, so that a test can
    /// route each daemon's traffic through relays of its own.
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

    /// Publishes one text and returns the new revision.
    pub fn set(&self, path: &str, text: &str) -> u64 {
        self.set_many(&[(path, text)])
    }

    /// Publishes several texts at one new revision and returns it.
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

    /// Publishes a VM list and returns the list's new revision.
    pub fn set_vms(&self, vms: Vec<VmEntry>) -> u64 {
        self.change(|published| {
            published.vms = vms;
            published.vms_revision += 1;
            published.vms_revision
        })
    }

    /// Switches the behaviour.
    pub fn set_mode(&self, mode: PlatformMode) {
        match mode {
            PlatformMode::Up => self.serve(None, false),
            PlatformMode::Down => self.control.go_down(),
            PlatformMode::Stale => self.serve(Some(self.snapshot()), false),
            PlatformMode::SettingsDown => self.serve(None, true),
        }
    }

    /// Returns the current tree and list, whatever is served.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(Arc::new(self.shared.state.lock().current.clone()))
    }

    /// Becomes stale with an earlier snapshot.
    pub fn serve_snapshot(&self, snapshot: &Snapshot) {
        self.serve(Some(snapshot.clone()), false);
    }

    /// Returns the current revision of the tree, whatever is served.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.state.lock().current.revision
    }

    /// Returns the number of calls since the start, with the waiting ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of watches that wait now.
    #[must_use]
    pub fn waiting(&self) -> u64 {
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

/// A further port of a platform fake, which follows the fake's modes; dropping it closes the port.
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

/// What one port serves.
#[derive(Debug)]
struct View {
    shared: Arc<Shared>,
    /// RPC addresses shown instead of the published ones, by VM name.
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

    async fn settings(&self, watch: Watch) -> Reply {
        let until = Instant::now() + watch.wait.min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let _waiting = Waiting::new(&self.waiting);
        loop {
            changes.mark_unchanged();
            if self.state.lock().settings_down {
                return Err(CloseConnection);
            }
            if let Some(reply) = self.settings_now(watch.after) {
                return Ok(reply);
            }
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                _ => return Ok(server::empty(StatusCode::NO_CONTENT)),
            }
        }
    }

    fn settings_now(&self, after: Option<u64>) -> Option<Response<Full<Bytes>>> {
        self.read(|published| {
            let revision = published.revision;
            // A lower revision is served too: a stale replica does not know that it is behind.
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
            (&Method::GET, "/v1/settings") => match Watch::parse(request.uri().query()) {
                Some(watch) => self.shared.settings(watch).await?,
                None => server::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/v1/vms") => self.vms(),
            _ => server::empty(StatusCode::NOT_FOUND),
        };
        Ok(reply)
    }
}

#[derive(Debug, Default)]
struct Watch {
    after: Option<u64>,
    wait: Duration,
}

impl Watch {
    fn parse(query: Option<&str>) -> Option<Self> {
        let mut watch = Self::default();
        for pair in query
            .unwrap_or_default()
            .split('&')
            .filter(|pair| !pair.is_empty())
        {
            match pair.split_once('=')? {
                ("after", value) => watch.after = Some(value.parse().ok()?),
                ("wait_ms", value) => watch.wait = Duration::from_millis(value.parse().ok()?),
                _ => return None,
            }
        }
        Some(watch)
    }
}

struct Waiting<'a>(&'a AtomicU64);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
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

fn render(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => server::json(StatusCode::OK, body),
        Err(_) => server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
