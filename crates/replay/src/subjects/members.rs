use std::time::Instant;

use medlarpin_core::ids::{Incarnation, Revision, VmName, stable_hash};
use medlarpin_core::membership::{
    Heartbeat, MemberState, MemberUpdate, Membership, MembershipSettings,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::vm_list;

/// Events of a daemon's view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberEvent {
    New {
        vm: String,
        incarnation: u64,
    },
    /// A VM list is adopted.
    List {
        revision: u64,
        vms: Vec<String>,
        leaving: Vec<String>,
    },
    /// The daemon picks a member to probe.
    Probe,
    /// An exchange with a member succeeded.
    Heard(Claim),
    /// Gossip brings a claim.
    Claim(Claim),
    /// A probe failed.
    Failed {
        vm: String,
    },
    /// Another RPC failed.
    RpcFailed {
        vm: String,
    },
    Tick,
}

/// A claim about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    vm: String,
    incarnation: u64,
    refutation: u32,
    state: State,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// The view and the number of draws that it has used.
#[derive(Debug)]
pub(crate) struct Members {
    view: Membership,
    draws: u64,
}

pub(crate) fn apply(
    subject: &mut Option<Members>,
    event: &MemberEvent,
    now: Instant,
    seed: u64,
) -> Option<Value> {
    if let MemberEvent::New { vm, incarnation } = event {
        let settings = MembershipSettings::default();
        let view = Membership::new(VmName::new(vm), Incarnation(*incarnation), settings);
        *subject = Some(Members { view, draws: 0 });
    }
    let members = subject.as_mut()?;
    let view = &mut members.view;
    match event {
        MemberEvent::New { .. } => {}
        MemberEvent::List {
            revision,
            vms,
            leaving,
        } => view.set_list(&vm_list(*revision, vms, leaving)),
        MemberEvent::Probe => {
            members.draws += 1;
            let random = stable_hash(&[&seed.to_be_bytes(), &members.draws.to_be_bytes()]);
            let probed = view.next_probe(random);
            return Some(json!({"probe": probed.as_ref().map(VmName::as_str)}));
        }
        MemberEvent::Heard(claim) => {
            view.record_exchange(&claim.to_heartbeat(), now);
        }
        MemberEvent::Claim(claim) => view.apply(&[claim.to_update()], now),
        MemberEvent::Failed { vm } => view.record_failed_probe(&VmName::new(vm), now),
        MemberEvent::RpcFailed { vm } => view.record_rpc_failure(&VmName::new(vm), now),
        MemberEvent::Tick => {
            view.tick(now);
        }
    }
    Some(outcome(view))
}

fn outcome(view: &Membership) -> Value {
    let usable = view.usable_vms();
    let usable: Vec<&str> = usable.iter().map(VmName::as_str).collect();
    let states: Map<String, Value> = view
        .members()
        .iter()
        .map(|member| (member.vm().to_string(), json!(State::of(member.state()))))
        .collect();
    json!({"usable": usable, "states": states, "refutation": view.local_claim().refutation})
}

impl Claim {
    fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            vm: VmName::new(&self.vm),
            incarnation: Incarnation(self.incarnation),
            refutation: self.refutation,
            state: match self.state {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Leaving => MemberState::Leaving,
                State::Dead => MemberState::Dead,
            },
        }
    }

    fn to_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sender: self.to_update(),
            vm_list_revision: Revision::default(),
            settings_revision: Revision::default(),
            settings_digest: 0,
            updates: Vec::new(),
            quarantines: Vec::new(),
        }
    }
}

impl State {
    fn of(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}
