//! Crowds of several conducts at the same time, at all addresses of a daemon: the process lives within its memory and
//! its descriptors, and callers, operators and readiness checks are served. One test at a time.

mod slow_readers;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::slow_readers::fixture::{Fixture, Setup, head};
use crate::slow_readers::{Crowd, ONE_AT_A_TIME, Reading, Script, WAIT_LIMIT, watch};

const SETUP: Setup = Setup {
    memory_mb: 64,
    shards: 40,
    ..Setup::SMALL
};
/// Time after which clients leave that come again.
const STAY: Duration = Duration::from_millis(50);

/// Conducts of callers, each with the number of clients.
fn callers() -> Vec<(usize, Script)> {
    let long = head("GET", "/long/1", "");
    let body = |path: &str, sent: usize| {
        let more = format!("content-length: {}\r\n", SETUP.body_bytes);
        head("POST", path, &more) + &"x".repeat(sent)
    };
    vec![
        (150, Script::once(&long)),
        (
            100,
            Script {
                reading: Reading::ByteEachSecond,
                ..Script::once(&long)
            },
        ),
        (100, Script::pipelined(&head("GET", "/one/1", ""))),
        (50, Script::pipelined(&head("GET", "/many/1", ""))),
        (
            100,
            Script {
                returns_after: Some(STAY),
                ..Script::once(&long)
            },
        ),
        (
            100,
            Script {
                trickles: true,
                ..Script::once(&body("/one/1", SETUP.body_bytes - 1_000))
            },
        ),
        (100, Script::once(&body("/deaf/1", SETUP.body_bytes))),
        (
            100,
            Script::once(&format!(
                "GET /one/1 HTTP/1.1\r\nx-filler: {}",
                "x".repeat(15_000)
            )),
        ),
        (100, Script::once("")),
    ]
}

/// Conducts at the other addresses.
fn others(fixture: &Fixture) -> Vec<(SocketAddr, usize, Script)> {
    let state = "GET /state HTTP/1.1\r\nhost: a.example\r\n\r\n";
    let long_head = format!("GET / HTTP/1.1\r\nx-filler: {}", "x".repeat(300_000));
    // A message of one segment of 300,000 bytes that breaks off.
    let mut message = vec![0; 299_000];
    message[4..8].copy_from_slice(&37_500_u32.to_le_bytes());
    let message = Script {
        start: message.into(),
        ..Script::once("")
    };
    vec![
        (fixture.operator, 100, Script::pipelined(state)),
        (fixture.readiness, 100, Script::once(&long_head)),
        (fixture.peer, 100, message),
    ]
}

/// Starts the clients of all conducts.
fn start_all(fixture: &Fixture) -> Vec<Crowd> {
    let of_callers = callers().into_iter();
    of_callers
        .map(|(clients, script)| (fixture.query, clients, script))
        .chain(others(fixture))
        .map(|(address, clients, script)| Crowd::start(address, clients, &script))
        .collect()
}

/// Guards against limits that hold for each conduct alone, but not for all together.
#[tokio::test(flavor = "multi_thread")]
async fn all_conducts_at_the_same_time() {
    let name = "mixed";
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowds = start_all(&fixture);
    watch(name, fixture.process.id(), &crowds[0], SETUP.bounds()).await;
    fixture.check_all_served(name).await;
    drop(crowds);
    fixture.check_all_served(name).await;
}

/// Guards against memory that changes of the configuration take beside a crowd.
#[tokio::test(flavor = "multi_thread")]
async fn all_conducts_while_the_configuration_changes() {
    let name = "mixed-changes";
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowds = start_all(&fixture);
    let changes = async {
        for version in 2.. {
            fixture.publish(version);
            sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::select! {
        () = watch(name, fixture.process.id(), &crowds[0], SETUP.bounds()) => {}
        () = changes => {}
    }
    fixture.check_caller_served(name).await;
}

/// Guards against memory and connections that evacuations leave behind beside a crowd.
#[tokio::test(flavor = "multi_thread")]
async fn all_conducts_while_the_failure_domain_of_all_leafs_is_evacuated() {
    let name = "mixed-evacuations";
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowds = start_all(&fixture);
    let evacuations = async {
        loop {
            for is_evacuated in [true, false] {
                fixture.set_evacuated(is_evacuated);
                sleep(Duration::from_secs(1)).await;
            }
        }
    };
    tokio::select! {
        () = watch(name, fixture.process.id(), &crowds[0], SETUP.bounds()) => {}
        () = evacuations => {}
    }
    fixture.set_evacuated(false);
    fixture.check_all_served(name).await;
    drop(crowds);
    fixture.check_all_served(name).await;
}

/// Guards against a process that does not end because of clients that stay.
#[tokio::test(flavor = "multi_thread")]
async fn all_conducts_while_the_daemon_stops() {
    let name = "mixed-stop";
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut fixture = Fixture::start(name, SETUP).await;
    let _crowds = start_all(&fixture);
    sleep(Duration::from_secs(2)).await;
    fixture.terminate();
    let ended = async {
        loop {
            if let Ok(Some(status)) = fixture.process.try_wait() {
                return status;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let status = timeout(WAIT_LIMIT, ended).await.expect("the process ends");
    assert!(status.success(), "{status}");
}
