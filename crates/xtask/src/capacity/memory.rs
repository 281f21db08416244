//! Resident memory of the tables that grow with the fleet, the settings or the traffic.
//!
//! A counting allocator would need unsafe code, so the process's resident memory is read before and
//! after many entries are created. All entries are kept until the last reading, so that none reuses
//! the memory of another.

use std::any::Any;

use medlarpin_core::canary::FingerprintTable;
use medlarpin_core::latency_window::LatencyWindow;
use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::membership::{Membership, MembershipSettings};
use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{TicketLimits, TicketTable};

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;
use crate::capacity::{fixtures, ownership, rpc, rpc_connections};

/// Members of all copies together at each size; the memory of fewer would be too small against the
/// pages in which resident memory is counted.
const MEMBERS: usize = 100_000;
/// Copies of the settings tree and its view at each size.
const TREES: usize = 20;
/// Copies of a leaf's state at each size.
const LEAF_STATES: usize = 2_000;
/// Copies of a daemon's handover gates at each size.
const GATE_SETS: usize = 100;

/// Values that must stay in memory until all readings are done.
type Kept = Vec<Box<dyn Any>>;

/// Measures the memory of all tables.
pub fn measure() -> Result<Vec<Slope>, CapacityError> {
    let mut kept = Kept::new();
    Ok(vec![
        membership(&mut kept)?,
        handover_gates(&mut kept)?,
        leaf_states(&mut kept)?,
        tickets(&mut kept)?,
        fingerprints(&mut kept)?,
        rpc_connections::memory()?,
        // Measured last: parsing leaves freed memory behind, which later entries would reuse
        // uncounted.
        settings(&mut kept)?,
    ])
}

/// Returns the resident memory that `make` adds, in bytes.
fn added_bytes<T: 'static>(
    kept: &mut Kept,
    make: impl FnOnce() -> Result<T, CapacityError>,
) -> Result<f64, CapacityError> {
    let before = resident_bytes()?;
    kept.push(Box::new(make()?));
    Ok(resident_bytes()? - before)
}

/// Reads the resident memory of this process, in bytes.
pub fn resident_bytes() -> Result<f64, CapacityError> {
    const PATH: &str = "/proc/self/status";
    let status = std::fs::read_to_string(PATH).map_err(|error| CapacityError::File {
        path: PATH.to_owned(),
        error,
    })?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB"));
    let kilobytes: Option<f64> = kilobytes.and_then(|text| text.trim().parse().ok());
    Ok(kilobytes.ok_or(CapacityError::NoResidentMemory)? * 1024.0)
}

fn membership(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let mut points = Vec::new();
    for members in [50, 125, 250, 500] {
        let encoded = rpc::encoded_vm_list(&fixtures::vm_list(1, 0..members));
        let copies = MEMBERS / members;
        let bytes = added_bytes(kept, || {
            let one = |index| {
                // As in a real fleet, each daemon parses its own list, so the copies share nothing.
                let list = rpc::read_vm_list(&encoded)?;
                let settings = MembershipSettings::default();
                let own_name = fixtures::vm_name(index % members);
                let mut membership = Membership::new(own_name, Incarnation(1), settings);
                membership.set_list(&list);
                membership.next_probe(1);
                Ok(membership)
            };
            (0..copies)
                .map(one)
                .collect::<Result<Vec<_>, CapacityError>>()
        })?;
        points.push((members as f64, bytes / copies as f64));
    }
    Ok(Slope {
        quantity: "memory of the members, B",
        mechanism: "medlarpin-core membership",
        size: "members",
        points,
    })
}

fn handover_gates(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let list = fixtures::vm_list(1, 0..fixtures::VMS);
    let mut points = Vec::new();
    for leafs in [1_000, 2_000, fixtures::LEAFS] {
        let groups = ownership::groups(leafs);
        let bytes = added_bytes(kept, || {
            let one = |_| ownership::gate(&groups, &list);
            Ok((0..GATE_SETS).map(one).collect::<Vec<_>>())
        })?;
        points.push((leafs as f64, bytes / GATE_SETS as f64));
    }
    Ok(Slope {
        quantity: "memory of the handover gates, B",
        mechanism: "medlarpin-core ownership",
        size: "leafs",
        points,
    })
}

fn settings(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let list = fixtures::vm_list(1, 0..fixtures::VMS);
    let mut points = Vec::new();
    for leafs in [500, 1_000, 2_000, fixtures::LEAFS] {
        let texts = fixtures::texts(leafs, fixtures::TEAMS);
        let bytes = added_bytes(kept, || {
            let one = |_| {
                let tree = fixtures::tree(1, texts.clone())?;
                let view = fixtures::view(&tree, list.clone());
                Ok((tree, view))
            };
            (0..TREES)
                .map(one)
                .collect::<Result<Vec<_>, CapacityError>>()
        })?;
        points.push((leafs as f64, bytes / TREES as f64));
    }
    Ok(Slope {
        quantity: "memory of the tree and its view, B",
        mechanism: "medlarpin-core settings_tree, daemon view",
        size: "leafs",
        points,
    })
}

fn leaf_states(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let now = Instant::now();
    let mut points = Vec::new();
    for seconds in [2_u64, 6, 10] {
        let bytes = added_bytes(kept, || {
            let one = |_| {
                let mut state = LeafState::new(2, now);
                let mut shard_window = LatencyWindow::new();
                for second in 0..seconds {
                    let at = now + Duration::from_secs(second);
                    state.sent(at);
                    state.answered(Duration::from_millis(3), at);
                    shard_window.record(Duration::from_millis(3), at);
                }
                (state, shard_window)
            };
            Ok((0..LEAF_STATES).map(one).collect::<Vec<_>>())
        })?;
        points.push((seconds as f64, bytes / LEAF_STATES as f64));
    }
    Ok(Slope {
        quantity: "memory of one leaf's state and one more latency window, B",
        mechanism: "medlarpin-core leaf_state, latency_window",
        size: "seconds recorded",
        points,
    })
}

fn tickets(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let mut points = Vec::new();
    for tickets in [1_000, 10_000, 100_000] {
        let bytes = added_bytes(kept, || Ok(filled_ticket_table(tickets)))?;
        points.push((tickets as f64, bytes));
    }
    Ok(Slope {
        quantity: "memory of issued tickets, B",
        mechanism: "medlarpin-core tickets",
        size: "tickets",
        points,
    })
}

/// Returns a table of tickets that are issued to four teams in turn.
pub fn filled_ticket_table(tickets: usize) -> TicketTable {
    let limits = TicketLimits::default();
    let mut table = TicketTable::new(fixtures::vm_name(0), Incarnation(1), limits);
    let now = Instant::now();
    for index in 0..tickets {
        let team = TeamName::new(["a", "b", "c", "d"][index % 4]);
        // Cannot fail: no limit is exceeded.
        let _ = table.issue(&team, pseudo_random(index), now);
    }
    table
}

/// Returns a number that is spread over the whole range like the random part of a ticket.
pub fn pseudo_random(index: usize) -> u128 {
    (index as u128 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}

fn fingerprints(kept: &mut Kept) -> Result<Slope, CapacityError> {
    let mut points = Vec::new();
    for entries in [1_000, 10_000, 65_536] {
        let bytes = added_bytes(kept, || Ok(filled_fingerprint_table(entries)))?;
        points.push((entries as f64, bytes));
    }
    Ok(Slope {
        quantity: "memory of proven fingerprints, B",
        mechanism: "medlarpin-core canary",
        size: "fingerprints",
        points,
    })
}

/// Returns a table of fingerprints whose canary succeeded.
pub fn filled_fingerprint_table(entries: usize) -> FingerprintTable {
    let mut table = FingerprintTable::new();
    let now = Instant::now();
    for index in 0..entries {
        table.canary_succeeded(fingerprint(index), now);
    }
    table
}

/// Returns a fingerprint of the generated queries.
pub fn fingerprint(index: usize) -> Fingerprint {
    Fingerprint::of(
        &"team".into(),
        &fixtures::SERVICE.into(),
        &index.to_string(),
    )
}
