//! The state dump.

use medlarpin_core::leaf_state::LeafCondition;
use medlarpin_core::membership::MemberState;
use medlarpin_core::ownership::active_holder;
use medlarpin_core::prelude::*;
use serde::Serialize;

use crate::operators::recent::RecentAnswer;
use crate::shared::Shared;
use crate::view::FleetView;

/// State of one daemon.
///
/// Contains no query texts, rows or ticket values; `tickets` holds only totals.
#[derive(Debug, Serialize)]
pub struct Dump {
    vm: String,
    incarnation: u64,
    failure_domain: String,
    region: String,
    ready: bool,
    uptime_ms: u64,
    requests_in_flight: usize,
    clients: ClientsDump,
    pauses: u64,
    settings: SettingsDump,
    vm_list: VmListDump,
    members: Vec<MemberDump>,
    groups: Vec<GroupDump>,
    leafs: Vec<LeafDump>,
    teams: Vec<TeamDump>,
    services: Vec<ServiceDump>,
    quarantined: Vec<QuarantineDump>,
    tickets: TicketDump,
    recent: Vec<RecentAnswer>,
}

#[derive(Debug, Serialize)]
struct ClientsDump {
    /// Bytes held for callers and other daemons, and their limit.
    held_bytes: usize,
    held_bytes_max: usize,
    connections: usize,
    connections_max: usize,
    /// Since the start: slow callers disconnected for lack of room, connections closed at once, and requests
    /// and results that found no room.
    disconnected: u64,
    connections_refused: u64,
    room_denied: u64,
}

#[derive(Debug, Serialize)]
struct SettingsDump {
    revision: u64,
    digest: String,
    age_ms: Option<u64>,
    rejected: Vec<RejectedDump>,
    conflicts: u64,
}

#[derive(Debug, Serialize)]
struct RejectedDump {
    path: String,
    revision: u64,
    error: String,
}

#[derive(Debug, Serialize)]
struct VmListDump {
    revision: u64,
    acknowledged_revision: u64,
    vms: usize,
}

#[derive(Debug, Serialize)]
struct MemberDump {
    vm: String,
    state: &'static str,
    incarnation: Option<u64>,
    usable: bool,
    vm_list_revision: u64,
}

#[derive(Debug, Serialize)]
struct GroupDump {
    group: String,
    service: String,
    leafs: Vec<String>,
    holders: Vec<String>,
    active: Option<String>,
    held_here: bool,
}

#[derive(Debug, Serialize)]
struct LeafDump {
    service: String,
    leaf: String,
    condition: &'static str,
    in_flight: u32,
    queued: usize,
    connections: u32,
    connection_share: u32,
    p95_ms: Option<f64>,
    queue_wait_ms: f64,
}

#[derive(Debug, Serialize)]
struct TeamDump {
    team: String,
    weight: u32,
    rate_limit_per_s: u32,
    rate_share_milli: u64,
    concurrency_limit: u32,
    concurrency_share: u64,
    running: u64,
    admitted: u64,
    refused: Vec<RefusedDump>,
    extra_budget: u64,
}

#[derive(Debug, Serialize)]
struct RefusedDump {
    reason: String,
    count: u64,
}

#[derive(Debug, Serialize)]
struct ServiceDump {
    service: String,
    versions: Vec<u64>,
    shards: usize,
    /// Newest version, to which `replicas` belongs.
    map_version: Option<u64>,
    replicas: Vec<ReplicasDump>,
}

#[derive(Debug, Serialize)]
struct ReplicasDump {
    shard: u32,
    leafs: Vec<String>,
}

#[derive(Debug, Serialize)]
struct QuarantineDump {
    fingerprint: String,
    left_ms: u64,
}

#[derive(Debug, Serialize)]
struct TicketDump {
    records: usize,
    outcome_bytes: usize,
}

/// Reads the daemon's state.
///
/// Each table is locked separately, so the parts may show different points in time.
#[must_use]
pub fn dump(shared: &Shared) -> Dump {
    let now = shared.clock.now();
    let view = shared.view();
    let (settings, vm_list, members, pauses) = dump_fleet(shared, now);
    Dump {
        vm: shared.local_vm().as_str().to_owned(),
        incarnation: shared.incarnation.0,
        failure_domain: shared.settings.failure_domain.as_str().to_owned(),
        region: shared.settings.region.as_str().to_owned(),
        ready: shared.is_ready(),
        uptime_ms: millis(now.saturating_duration_since(shared.started_at)),
        requests_in_flight: shared.lifecycle.in_flight(),
        clients: dump_clients(shared),
        pauses,
        settings,
        vm_list,
        members,
        groups: dump_groups(shared, &view),
        leafs: dump_leafs(shared),
        teams: dump_teams(shared, &view, now),
        services: dump_services(&view),
        quarantined: dump_quarantines(shared, now),
        tickets: dump_tickets(shared),
        recent: shared.recent_answers.lock().newest_first(now),
    }
}

/// Updates the gauges that are only computed when metrics are requested.
pub fn update_metrics(shared: &Shared) {
    let now = shared.clock.now();
    let metrics = &shared.metrics;
    let fleet = shared.fleet.lock();
    let revision = i64::try_from(fleet.tree.revision().0).unwrap_or(i64::MAX);
    metrics.settings_revision.set(revision);
    let age = fleet
        .tree_accepted_at
        .map(|at| now.saturating_duration_since(at).as_secs());
    let age = i64::try_from(age.unwrap_or(0)).unwrap_or(i64::MAX);
    metrics.settings_age_seconds.set(age);
    let entries = fleet.tree.entries().iter();
    let rejected = entries.filter(|entry| entry.rejected().is_some()).count();
    let rejected = i64::try_from(rejected).unwrap_or(i64::MAX);
    metrics.settings_rejected.set(rejected);
    for state in ["alive", "suspect", "dead", "leaving"] {
        let members = fleet.membership.members().iter();
        let count = members
            .filter(|member| state_name(member.state()) == state)
            .count();
        let gauge = metrics.members.with_label_values(&[state]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    drop(fleet);
    let as_i64 = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let clients = dump_clients(shared);
    metrics.held_bytes.set(as_i64(clients.held_bytes as u64));
    metrics
        .caller_connections
        .set(as_i64(clients.connections as u64));
    metrics
        .clients_disconnected
        .set(as_i64(clients.disconnected));
    metrics
        .connections_refused
        .set(as_i64(clients.connections_refused));
    metrics.room_denied.set(as_i64(clients.room_denied));
    for report in shared.admission.lock().report(now) {
        let gauge = metrics
            .extra_budget_milli
            .with_label_values(&[report.team.as_str()]);
        gauge.set(i64::try_from(report.extra_budget * 1000).unwrap_or(i64::MAX));
    }
}

fn dump_clients(shared: &Shared) -> ClientsDump {
    let clients = &shared.clients.callers;
    let (limits, counts) = (clients.limits(), shared.clients.counts());
    ClientsDump {
        held_bytes: clients.used_bytes(),
        held_bytes_max: limits.held_bytes_max,
        connections: clients.open_count(),
        connections_max: limits.connections_max,
        disconnected: counts.disconnected,
        connections_refused: counts.connections_refused,
        room_denied: counts.denied,
    }
}

fn dump_fleet(shared: &Shared, now: Instant) -> (SettingsDump, VmListDump, Vec<MemberDump>, u64) {
    let fleet = shared.fleet.lock();
    let rejected = fleet.tree.entries().iter().filter_map(|entry| {
        let rejected = entry.rejected()?;
        Some(RejectedDump {
            path: entry.path().to_owned(),
            revision: rejected.source.revision.0,
            error: rejected.error.clone(),
        })
    });
    let settings = SettingsDump {
        revision: fleet.tree.revision().0,
        digest: format!("{:016x}", fleet.tree.digest()),
        age_ms: fleet
            .tree_accepted_at
            .map(|at| millis(now.saturating_duration_since(at))),
        rejected: rejected.collect(),
        conflicts: fleet.conflicts,
    };
    let vm_list = VmListDump {
        revision: fleet.membership.list().revision().0,
        acknowledged_revision: fleet.acknowledged.0,
        vms: fleet.membership.list().vms().len(),
    };
    let members = fleet.membership.members().iter().map(|member| MemberDump {
        vm: member.vm().as_str().to_owned(),
        state: state_name(member.state()),
        incarnation: member.incarnation().map(|incarnation| incarnation.0),
        usable: member.is_usable(),
        vm_list_revision: member.acknowledged().0,
    });
    (
        settings,
        vm_list,
        members.collect(),
        shared.pause_detector.lock().pauses(),
    )
}

fn dump_groups(shared: &Shared, view: &FleetView) -> Vec<GroupDump> {
    let fleet = shared.fleet.lock();
    let is_usable = |vm: &VmName| vm == shared.local_vm() || fleet.membership.is_usable(vm);
    let mut groups = Vec::new();
    for service in view.services() {
        for group in &service.groups {
            let leafs = group.group.leafs();
            let active = active_holder(&group.holders, is_usable);
            let held = leafs.first().is_some_and(|leaf| {
                let name = service.service.name();
                shared.leafs.get(name, leaf).is_some()
            });
            groups.push(GroupDump {
                group: group.key.clone(),
                service: service.service.name().as_str().to_owned(),
                leafs: leafs.iter().map(|leaf| leaf.as_str().to_owned()).collect(),
                holders: group
                    .holders
                    .iter()
                    .map(|vm| vm.as_str().to_owned())
                    .collect(),
                active: active.map(|vm| vm.as_str().to_owned()),
                held_here: held,
            });
        }
    }
    groups
}

fn dump_leafs(shared: &Shared) -> Vec<LeafDump> {
    let held = shared.leafs.held();
    let dump = held.iter().map(|slot| {
        let report = slot.report();
        LeafDump {
            service: slot.service.as_str().to_owned(),
            leaf: slot.leaf.id.as_str().to_owned(),
            condition: match report.condition {
                LeafCondition::Starting => "starting",
                LeafCondition::Ready => "ready",
                LeafCondition::BackingOff { .. } => "backing_off",
                LeafCondition::Draining => "draining",
                LeafCondition::Lost { .. } => "lost",
            },
            in_flight: report.in_flight,
            queued: report.queued,
            connections: slot.connections.open(),
            connection_share: slot.connections.share(),
            p95_ms: report.p95.map(|p95| p95.as_secs_f64() * 1000.0),
            queue_wait_ms: report.queue_wait.as_secs_f64() * 1000.0,
        }
    });
    dump.collect()
}

fn dump_teams(shared: &Shared, view: &FleetView, now: Instant) -> Vec<TeamDump> {
    let reports = shared.admission.lock().report(now);
    let dump = reports.into_iter().filter_map(|report| {
        let team = view.team(report.team.as_str())?;
        Some(TeamDump {
            team: report.team.as_str().to_owned(),
            weight: team.weight,
            rate_limit_per_s: team.rate_limit_per_s,
            rate_share_milli: report.rate_share_milli,
            concurrency_limit: team.concurrency_limit,
            concurrency_share: report.concurrency_share,
            running: report.running,
            admitted: report.admitted,
            refused: refusals(shared, report.team.as_str()),
            extra_budget: report.extra_budget,
        })
    });
    dump.collect()
}

fn refusals(shared: &Shared, team: &str) -> Vec<RefusedDump> {
    let counts = shared.metrics.refusals_of(team);
    let dump = counts
        .into_iter()
        .map(|(reason, count)| RefusedDump { reason, count });
    dump.collect()
}

fn dump_services(view: &FleetView) -> Vec<ServiceDump> {
    let services = view.services().iter().map(|service| {
        let newest = service.maps.last();
        let shards = newest.map_or(&[][..], |map| map.shards());
        let replicas = shards.iter().map(|(shard, leafs)| ReplicasDump {
            shard: shard.0,
            leafs: leafs.iter().map(|leaf| leaf.as_str().to_owned()).collect(),
        });
        ServiceDump {
            service: service.service.name().as_str().to_owned(),
            versions: service.maps.iter().map(|map| map.version().0).collect(),
            shards: shards.len(),
            map_version: newest.map(|map| map.version().0),
            replicas: replicas.collect(),
        }
    });
    services.collect()
}

fn dump_quarantines(shared: &Shared, now: Instant) -> Vec<QuarantineDump> {
    let active = shared.fingerprints.lock().table().active_quarantines(now);
    let dump = active.into_iter().map(|entry| QuarantineDump {
        fingerprint: entry.fingerprint.to_string(),
        left_ms: millis(entry.until.saturating_duration_since(now)),
    });
    dump.collect()
}

fn dump_tickets(shared: &Shared) -> TicketDump {
    let tickets = shared.tickets.lock();
    TicketDump {
        records: tickets.len(),
        outcome_bytes: tickets.outcome_bytes(),
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Leaving => "leaving",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
