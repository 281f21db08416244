//! Tests of the last check before a request is written: an evacuation may begin after the leaf was chosen,
//! while its connection is being opened.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::Request;
use hyper::header::HeaderValue;
use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{LeafDirectory, Repeatability, RunLedger};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::*;
use crate::attempt::run_attempt;
use crate::attempt_result::LeafFailure;
use crate::call_evidence::CallEvidence;
use crate::caller_request::CallerRequest;
use crate::leaf::Leaf;
use crate::leaf_probe::check_health;
use crate::proof_key::ProofKey;
use crate::shared::Shared;
use crate::test_daemon::{self, SETTINGS};

/// A daemon without tasks, and a leaf that reads and never answers.
struct Fixture {
    shared: Arc<Shared>,
    directory: LeafDirectory,
    leaf: Arc<Leaf>,
    bytes_read: Arc<AtomicUsize>,
}

impl Fixture {
    async fn start() -> Self {
        let shared = test_daemon::shared(SETTINGS);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (leaf, directory) = test_daemon::publish_leaf(&shared, address);
        let bytes_read = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&bytes_read);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                tokio::spawn(async move {
                    let mut buffer = [0; 1024];
                    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                        counter.fetch_add(count, Ordering::Relaxed);
                    }
                });
            }
        });
        Self {
            shared,
            directory,
            leaf,
            bytes_read,
        }
    }

    fn evacuate(&self) {
        let keys = [KeyChange {
            domain: "z1".into(),
            is_evacuated: true,
        }];
        let shared = &self.shared;
        let revision = StoreRevision::default();
        apply_changes(
            &shared.leafs,
            &shared.metrics,
            &keys,
            revision,
            shared.now(),
        );
    }

    /// Takes the leaf out of the table, as after its entry has expired.
    fn unlist(&mut self) {
        self.directory = LeafDirectory::new(Duration::from_secs(1));
        self.shared.leafs.update(&self.directory, self.shared.now());
    }

    /// Sends a request to the leaf; returns its failure, if it has one within 200 ms.
    async fn attempt(&self) -> Option<LeafFailure> {
        let now = self.shared.now();
        let (head, ()) = Request::get("/x").body(()).unwrap().into_parts();
        let request = Arc::new(CallerRequest {
            id: HeaderValue::from_static("r1"),
            head,
            body: Bytes::new(),
            room: self.shared.clients.callers.hold().into(),
            arrived_at: now,
            deadline: now + Duration::from_secs(1),
            answer_by: now + Duration::from_secs(1),
            ledger: RunLedger::new(Repeatability::Idempotent),
            leaf_room: OnceLock::new(),
            identity: OnceLock::new(),
        });
        let proof = ProofKey::new(&request, &[ServiceName::new("a")]);
        let attempt = run_attempt(
            Arc::clone(&self.shared),
            Arc::clone(&self.leaf),
            request,
            Arc::new(CallEvidence::new(proof)),
            false,
            Duration::from_millis(10),
        );
        let ended = tokio::time::timeout(Duration::from_millis(200), attempt).await;
        ended.ok().and_then(Result::err)
    }

    /// Returns the bytes that the leaf has got, after a time in which some could arrive.
    async fn bytes_read(&self) -> usize {
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.bytes_read.load(Ordering::Relaxed)
    }
}

/// Guards against a request to a leaf that was chosen before the evacuation of its domain, whether it is still
/// listed or not.
#[tokio::test]
async fn a_request_is_not_written_after_an_evacuation() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.attempt().await, None);
    assert!(fixture.bytes_read().await > 0, "requests arrive before");

    for is_listed in [true, false] {
        let mut fixture = Fixture::start().await;
        if !is_listed {
            fixture.unlist();
        }
        fixture.evacuate();
        assert_eq!(fixture.attempt().await, Some(LeafFailure::Evacuated));
        assert_eq!(fixture.bytes_read().await, 0);
        assert_eq!(fixture.shared.metrics.evacuation.unsent_requests.get(), 1);
    }
}

/// Guards against a health check, of a probe or of a lost leaf, that is written after an evacuation.
#[tokio::test]
async fn a_health_check_is_not_written_after_an_evacuation() {
    for is_evacuated in [false, true] {
        let fixture = Fixture::start().await;
        let connection = fixture.leaf.open_new(2, &fixture.shared).await.unwrap();
        if is_evacuated {
            fixture.evacuate();
        }
        let answer = check_health(&fixture.shared, &fixture.leaf, connection).await;
        assert!(answer.is_none());
        assert_eq!(fixture.bytes_read().await == 0, is_evacuated);
    }
}

/// Guards against leafs that count as warm after their return: the limits of cold leafs start from its time.
#[tokio::test]
async fn the_time_of_a_return_is_known() {
    let fixture = Fixture::start().await;
    let shared = &fixture.shared;
    let domain = FailureDomain::new("z1");
    assert_eq!(shared.leafs.returned_at(&domain), None);
    fixture.evacuate();
    assert!(!fixture.leaf.is_usable(shared.now()));
    assert_eq!(shared.leafs.returned_at(&domain), None);
    let now = shared.now();
    let keys = [KeyChange {
        domain: domain.clone(),
        is_evacuated: false,
    }];
    let revision = StoreRevision::default();
    apply_changes(&shared.leafs, &shared.metrics, &keys, revision, now);
    assert!(fixture.leaf.is_usable(now));
    assert_eq!(shared.leafs.returned_at(&domain), Some(now));
}
