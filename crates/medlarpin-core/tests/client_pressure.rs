//! Tests of the choice of clients that are disconnected under pressure.

use std::time::Duration;

use medlarpin_core::client_pressure::ClientPhase::{Idle, New, Receiving, Sending, Served};
use medlarpin_core::client_pressure::{
    ClientLimits, ClientPhase, ClientProgress, ClientUse, clients_to_disconnect,
};

const LIMITS: ClientLimits = ClientLimits {
    held_bytes_max: 8_000,
    connections_max: 80,
    peers_max: 40,
};

/// A client by phase, wait in milliseconds, moved and held bytes.
fn client(
    (phase, waited_ms, moved_bytes, held_bytes): (ClientPhase, u64, u64, usize),
) -> ClientProgress {
    ClientProgress {
        phase,
        waited: Duration::from_millis(waited_ms),
        moved_bytes,
        held_bytes,
    }
}

fn check(
    held_bytes: usize,
    connections: usize,
    clients: &[(ClientPhase, u64, u64, usize)],
    expected: &[usize],
) {
    let used = ClientUse {
        held_bytes,
        connections,
    };
    let listed: Vec<ClientProgress> = clients.iter().copied().map(client).collect();
    let chosen = clients_to_disconnect(LIMITS, used, &listed);
    assert_eq!(chosen, expected, "{used:?} {clients:?}");
}

/// Guards against clients that are cut off although there is room for them.
#[test]
fn nobody_is_disconnected_without_pressure() {
    let stuck = [(Receiving, 60_000, 0, 4_000), (New, 60_000, 0, 0)];
    check(4_000, 70, &stuck, &[]);
    check(0, 0, &[], &[]);
}

/// Guards against a quick client that is cut off in place of a slow one.
#[test]
fn the_least_progress_goes_first() {
    let clients = [
        (Receiving, 2_000, 4_000, 1_000),
        (Receiving, 2_000, 0, 1_000),
        (Receiving, 4_000, 2, 1_000),
        (Sending, 2_000, 100, 1_000),
        (Receiving, 9_000, 0, 1_000),
    ];
    check(4_001, 5, &clients, &[4, 1]);
    check(6_500, 5, &clients, &[4, 1, 2, 3]);
    check(8_000, 5, &clients, &[4, 1, 2, 3, 0]);
}

/// Guards against requests that are cut off while leafs work on them, and against clients that have had no
/// time to read.
#[test]
fn served_and_new_waits_are_kept() {
    let clients = [
        (Served, 60_000, 0, 4_000),
        (Receiving, 999, 0, 4_000),
        (Sending, 999, 0, 4_000),
        (Idle, 60_000, 0, 0),
        (New, 60_000, 0, 0),
        (Receiving, 5_000, 0, 0),
    ];
    check(8_000, 6, &clients, &[]);
}

/// Guards against connections without requests that keep out other callers, and against idle connections of
/// callers that go before abandoned ones.
#[test]
fn abandoned_connections_go_before_idle_ones() {
    let clients = [
        (Idle, 50_000, 0, 0),
        (New, 2_000, 10, 0),
        (New, 2_000, 0, 0),
        (Served, 60_000, 0, 0),
        (Receiving, 2_000, 0, 0),
        (New, 500, 0, 0),
    ];
    check(0, 70, &clients, &[]);
    check(0, 71, &clients, &[2, 4, 1, 0]);
    check(0, 62, &clients, &[]);
}

/// Guards against limits that leave nothing to the rest of the process, or no connection to callers.
#[test]
fn limits_follow_memory_and_descriptors() {
    let check = |memory_mb: usize, descriptors, held_mb: usize, connections_max, peers_max| {
        let limits = ClientLimits::new(memory_mb << 20, descriptors);
        let expected = ClientLimits {
            held_bytes_max: held_mb << 20,
            connections_max,
            peers_max,
        };
        assert_eq!(limits, expected, "{memory_mb} MiB, {descriptors:?}");
    };
    check(112, Some(2_870), 28, 896, 717);
    check(128, None, 32, 1_024, usize::MAX);
    check(512, Some(8_192), 128, 4_096, 2_048);
    check(512, Some(2_870), 128, 1_435, 717);
    check(48, Some(1_024), 12, 384, 256);
}

/// Guards against operators and readiness checks that share the limits of callers.
#[test]
fn operators_and_readiness_checks_have_few_connections() {
    let check = |limits: ClientLimits, held_kb: usize| {
        let expected = ClientLimits {
            held_bytes_max: held_kb << 10,
            connections_max: 16,
            peers_max: 0,
        };
        assert_eq!(limits, expected);
    };
    check(ClientLimits::for_operators(112 << 20), 7 << 10);
    check(ClientLimits::for_operators(48 << 20), 3 << 10);
    check(ClientLimits::for_readiness_checks(112 << 20), 448);
}

/// Guards against connections to leafs that leave no descriptor to the rest of the process.
#[test]
fn sockets_leave_a_part_of_the_descriptors() {
    assert_eq!(ClientLimits::sockets_max(Some(1_024)), 832);
    assert_eq!(ClientLimits::sockets_max(Some(2_870)), 2_327);
    assert_eq!(ClientLimits::sockets_max(None), usize::MAX);
    assert_eq!(ClientLimits::leaf_bytes_max(112 << 20), 14 << 20);
    assert_eq!(ClientLimits::message_bytes_max(112 << 20), 14 << 20);
}
