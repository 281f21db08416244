use std::time::Instant;

use medlarpin_core::ids::{TeamName, VmName};
use medlarpin_core::team_share::{Lease, ShareLedger, UnitKind};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::vm_list;
use crate::timeline::{Millis, Timeline};

/// Events of a share ledger for the rate limit of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ShareEvent {
    New {
        team: String,
        vm: String,
        limit_units: u64,
    },
    /// The daemon adopts a VM list.
    #[serde(rename = "list")]
    AdoptVmList {
        revision: u64,
        vms: Vec<String>,
        all_acknowledged: bool,
    },
    /// All other VMs have reported that their ledgers are clear of this VM's previous process.
    ConfirmStart,
    /// Queries that need this many units arrive.
    Demand { units: u64 },
    /// The daemon selects one of these VMs to borrow units from.
    Request { usable: Vec<String> },
    /// Another daemon asks to borrow units.
    Lend { borrower: String, units: u64 },
    /// A lender's reply arrives; `asked_ms` is the time of the request.
    Accept {
        lender: String,
        units: u64,
        asked_ms: Millis,
        duration_ms: Millis,
    },
    /// The periodic update expires leases and loans and recalculates the ledger's shares.
    Tick,
}

pub(crate) fn apply(
    subject: &mut Option<ShareLedger>,
    event: &ShareEvent,
    now: Instant,
    time: Timeline,
) -> Option<Value> {
    if let ShareEvent::New {
        team,
        vm,
        limit_units,
    } = event
    {
        let (team, vm) = (TeamName::new(team), VmName::new(vm));
        *subject = Some(ShareLedger::new(
            team,
            vm,
            *limit_units,
            UnitKind::Rate,
            now,
        ));
    }
    let ledger = subject.as_mut()?;
    let result = apply_to_ledger(ledger, event, now, time);
    Some(json!({"result": result, "available": ledger.available(now)}))
}

fn apply_to_ledger(
    ledger: &mut ShareLedger,
    event: &ShareEvent,
    now: Instant,
    time: Timeline,
) -> Value {
    match event {
        ShareEvent::New { .. } => {}
        ShareEvent::AdoptVmList {
            revision,
            vms,
            all_acknowledged,
        } => ledger.set_vm_list(&vm_list(*revision, vms, &[]), *all_acknowledged, now),
        ShareEvent::ConfirmStart => ledger.skip_start_delay(now),
        ShareEvent::Demand { units } => ledger.record_demand(*units, now),
        ShareEvent::Request { usable } => {
            let is_usable = |vm: &VmName| usable.iter().any(|name| name == vm.as_str());
            return match ledger.next_request(is_usable, now) {
                Some(request) => json!({"lender": request.lender.as_str(), "units": request.units}),
                None => json!("none"),
            };
        }
        ShareEvent::Lend { borrower, units } => {
            let lease = ledger.lend(&VmName::new(borrower), *units, now);
            return json!({"units": lease.units});
        }
        ShareEvent::Accept {
            lender,
            units,
            asked_ms,
            duration_ms,
        } => {
            let lease = Lease {
                lender: VmName::new(lender),
                units: *units,
                duration: duration_ms.0,
            };
            ledger.accept(&lease, time.instant(*asked_ms), now);
        }
        ShareEvent::Tick => ledger.tick(now),
    }
    json!("done")
}
