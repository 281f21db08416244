//! Work that a daemon does at fixed intervals, whether or not queries run.

use ::settings::{Format, parse_daemon};
use daemon::view::FleetView;
use daemon::{AdmissionTable, FleetTable};
use medlarpin_core::membership::{Heartbeat, MemberState, MemberUpdate};
use medlarpin_core::prelude::*;

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;
use crate::capacity::{fixtures, ownership};

const MEMBERS: [usize; 4] = [50, 125, 250, 500];
const TEAMS: [usize; 4] = [10, 50, 100, 200];

/// Measures the periodic work on team limits, members and handover gates.
pub fn measure(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let mut slopes = limits(timer)?;
    slopes.extend(members(timer)?);
    slopes.push(handover_gates(timer));
    Ok(slopes)
}

fn limits(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let mechanism = "daemon entry admission, medlarpin-core team_share";
    let mut by_teams = [
        ("renew the limits (each 100 ms), 500 VMs, us", mechanism),
        (
            "look for leases to ask for (each 50 ms), 500 VMs, us",
            mechanism,
        ),
        ("check leases for one heartbeat, 500 VMs, us", mechanism),
    ]
    .map(|(quantity, mechanism)| Slope {
        quantity,
        mechanism,
        size: "teams",
        points: Vec::new(),
    });
    for teams in TEAMS {
        let view = view(teams, fixtures::VMS)?;
        let now = Instant::now();
        let mut table = AdmissionTable::new(fixtures::vm_name(0));
        table.update(&view, true, now);
        let values = [
            timer.time_us(|| (), |()| table.update(&view, true, now)),
            timer.time_us(|| (), |()| table.lease_requests(|_| true, now)),
            timer.time_us(
                || (),
                |()| table.is_independent_of(&fixtures::vm_name(1), now),
            ),
        ];
        for (slope, value) in by_teams.iter_mut().zip(values) {
            slope.points.push((teams as f64, value));
        }
    }
    let mut by_vms = Slope {
        quantity: "renew the limits (each 100 ms), 50 teams, us",
        mechanism,
        size: "VMs",
        points: Vec::new(),
    };
    for vms in MEMBERS {
        let view = view(fixtures::TEAMS, vms)?;
        let now = Instant::now();
        let mut table = AdmissionTable::new(fixtures::vm_name(0));
        table.update(&view, true, now);
        let time_us = timer.time_us(|| (), |()| table.update(&view, true, now));
        by_vms.points.push((vms as f64, time_us));
    }
    Ok(by_teams.into_iter().chain([by_vms]).collect())
}

fn view(teams: usize, vms: usize) -> Result<FleetView, CapacityError> {
    let tree = fixtures::tree(1, fixtures::texts(500, teams))?;
    Ok(fixtures::view(&tree, fixtures::vm_list(1, 0..vms)))
}

fn members(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let mechanism = "medlarpin-core membership, daemon fleet";
    let mut slopes = [
        ("list the usable members (each 50 ms), us", mechanism),
        ("choose the settings watchers (each 1 s), us", mechanism),
        (
            "check acknowledgements and clearances (each 100 ms), us",
            mechanism,
        ),
    ]
    .map(|(quantity, mechanism)| Slope {
        quantity,
        mechanism,
        size: "members",
        points: Vec::new(),
    });
    for members in MEMBERS {
        let fleet = fleet_table(members)?;
        let domain = FailureDomain::new("warmia-0");
        let values = [
            timer.time_us(|| (), |()| fleet.membership.usable_vms()),
            timer.time_us(|| (), |()| fleet.membership.settings_watchers(&domain, 3)),
            timer.time_us(
                || (),
                |()| (fleet.all_acknowledged(), fleet.all_independent()),
            ),
        ];
        for (slope, value) in slopes.iter_mut().zip(values) {
            slope.points.push((members as f64, value));
        }
    }
    Ok(slopes.to_vec())
}

/// Returns the table of a daemon whose peers have all acknowledged its VM list.
fn fleet_table(members: usize) -> Result<FleetTable, CapacityError> {
    let mut settings = parse_daemon(Format::Daemon.defaults(), "daemon.jsonc")?;
    settings.vm = fixtures::vm_name(0);
    let now = Instant::now();
    let mut fleet = FleetTable::new(&settings, Incarnation(1));
    fleet.membership.set_list(&fixtures::vm_list(1, 0..members));
    for vm in (1..members).map(fixtures::vm_name) {
        fleet.record_independent(&vm);
        let heartbeat = Heartbeat {
            sender: MemberUpdate {
                vm,
                incarnation: Incarnation(1),
                refutation: 0,
                state: MemberState::Alive,
            },
            vm_list_revision: Revision(1),
            settings_revision: Revision(1),
            settings_digest: 0,
            updates: Vec::new(),
            quarantines: Vec::new(),
        };
        fleet.membership.record_exchange(&heartbeat, now);
    }
    Ok(fleet)
}

/// Measures a call of `try_open` on every gate. This is an upper bound: in each round, the daemon
/// calls it only for groups whose holders include its own VM. It also copies the leafs that it
/// holds, which is not measured here.
fn handover_gates(timer: Timer) -> Slope {
    let list = fixtures::vm_list(1, 0..fixtures::VMS);
    let point = |leafs: usize| {
        let groups = ownership::groups(leafs);
        let mut gate = ownership::gate(&groups, &list);
        let ask = |()| {
            groups
                .iter()
                .filter(|group| gate.try_open(group.id()))
                .count()
        };
        (leafs as f64, timer.time_us(|| (), ask))
    };
    Slope {
        quantity: "ask all handover gates (each 100 ms), us",
        mechanism: "medlarpin-core ownership",
        size: "leafs",
        points: [1_000, 2_000, fixtures::LEAFS].map(point).to_vec(),
    }
}
