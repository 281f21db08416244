use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use medlarpin_core::prelude::{Revision, VmList};
use serde::de::DeserializeOwned;

use crate::error::PlatformError;
use crate::messages::{PublishedTree, TreeBody, VmListBody};

/// Time that a request to one replica may take in addition to the wait that it asks for.
const CALL_MARGIN: Duration = Duration::from_secs(2);
/// Short, so that the next replica is tried soon after an unreachable one, not after the whole wait
/// of a watch.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Below the platform's idle timeout of a minute, so that the client closes idle connections first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_TREE_BYTES: usize = 64 << 20;
const MAX_VM_LIST_BYTES: usize = 4 << 20;

/// Client of the configuration service and the VM list.
///
/// Its connections belong to the runtime on which the first call is made, so all calls have to be
/// made on that runtime.
#[derive(Debug)]
pub struct PlatformClient {
    addresses: Vec<SocketAddr>,
    /// Index of the address of the last successful call; it is tried first.
    preferred: AtomicUsize,
    request_count: AtomicU64,
    http: Client<HttpConnector, Empty<Bytes>>,
}

impl PlatformClient {
    /// Creates a client of the replicas at these addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            addresses,
            preferred: AtomicUsize::new(0),
            request_count: AtomicU64::new(0),
            http,
        }
    }

    /// Returns the number of HTTP requests sent; a call sends one to each replica that it tries.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Returns the settings tree as soon as its revision is above `after`, or `None` if `wait` passes
    /// first. Without `after`, returns the current tree at once.
    ///
    /// # Errors
    ///
    /// Fails if no replica returned a valid response.
    pub async fn fetch_settings(
        &self,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<Option<PublishedTree>, PlatformError> {
        let path = match after {
            Some(after) => format!(
                "/v1/settings?after={}&wait_ms={}",
                after.0,
                wait.as_millis()
            ),
            None => "/v1/settings".to_owned(),
        };
        let timeout = wait.saturating_add(CALL_MARGIN);
        let path = path.as_str();
        self.try_replicas(move |address| {
            with_timeout(address, timeout, async move {
                let response = self.get(address, path).await?;
                if response.status() == StatusCode::NO_CONTENT {
                    return Ok(None);
                }
                let body: TreeBody = read_json(response, address, MAX_TREE_BYTES).await?;
                body.into_tree(address, after).map(Some)
            })
        })
        .await
    }

    /// Returns the current VM list.
    ///
    /// # Errors
    ///
    /// Fails if no replica returned a valid response.
    pub async fn fetch_vm_list(&self) -> Result<VmList, PlatformError> {
        self.try_replicas(move |address| {
            with_timeout(address, CALL_MARGIN, async move {
                let response = self.get(address, "/v1/vms").await?;
                let body: VmListBody = read_json(response, address, MAX_VM_LIST_BYTES).await?;
                body.into_list(address)
            })
        })
        .await
    }

    /// Calls the replicas one after the other, the preferred one first, until one succeeds.
    async fn try_replicas<T, F>(&self, call: impl Fn(SocketAddr) -> F) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        let count = self.addresses.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = PlatformError::NoAddress;
        for position in (first..count).chain(0..first) {
            match call(self.addresses[position]).await {
                Ok(response) => {
                    self.preferred.store(position, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error) => last = error,
            }
        }
        if count < 2 {
            return Err(last);
        }
        Err(PlatformError::AllFailed {
            count,
            last: Box::new(last),
        })
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response<Incoming>, PlatformError> {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = uri(address, path);
        let response = self
            .http
            .request(request)
            .await
            .map_err(|source| PlatformError::Request { address, source })?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(response),
            status => Err(PlatformError::Status {
                address,
                status: status.as_u16(),
            }),
        }
    }
}

/// Builds the URI of a request; never panics, because all paths consist of valid URI characters.
fn uri(address: SocketAddr, path: &str) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .expect("an address and a constant path form a URI")
}

async fn with_timeout<T>(
    address: SocketAddr,
    limit: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Err(PlatformError::Timeout { address, limit }))
}

async fn read_json<T: DeserializeOwned>(
    response: Response<Incoming>,
    address: SocketAddr,
    limit_bytes: usize,
) -> Result<T, PlatformError> {
    let body = Limited::new(response.into_body(), limit_bytes)
        .collect()
        .await
        .map_err(|source| {
            if source.is::<LengthLimitError>() {
                PlatformError::BodyTooLarge {
                    address,
                    limit_bytes,
                }
            } else {
                PlatformError::BodyInterrupted { address, source }
            }
        })?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|source| PlatformError::Malformed { address, source })
}
