use std::time::Instant;

use medlarpin_core::ids::{Incarnation, Revision, VmName, stable_hash};
use medlarpin_core::membership::{
    Heartbeat, MemberState, MemberUpdate, Membership, MembershipSettings,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::vm_list;

/// Events of a daemon's membership view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberEvent {
    New {
        vm: String,
        incarnation: u64,
    },
    /// The daemon adopts a VM list.
    #[serde(rename = "list")]
    AdoptVmList {
        revision: u64,
        vms: Vec<String>,
        leaving: Vec<String>,
    },
    /// The daemon picks a member to probe.
    Probe,
    /// An exchange with the member succeeded.
    #[serde(rename = "heard")]
    ExchangeSucceeded(Claim),
    /// Gossip contains a claim about a member.
    Claim(Claim),
    /// A probe of the VM failed.
    #[serde(rename = "failed")]
    ProbeFailed {
        vm: String,
    },
    /// An RPC other than a probe failed.
    RpcFailed {
        vm: String,
    },
    /// The periodic check declares the members dead that did not refute a suspicion in time.
    Tick,
}

/// Claim about the state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    vm: String,
    incarnation: u64,
    refutation: u32,
    state: ClaimedState,
}

/// State of a member, as in claims and outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimedState {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// A daemon's membership view.
#[derive(Debug)]
pub(crate) struct MemberView {
    view: Membership,
    /// Number of random numbers drawn; each is derived from the seed and its index.
    draws: u64,
}

pub(crate) fn apply(
    subject: &mut Option<MemberView>,
    event: &MemberEvent,
    now: Instant,
    seed: u64,
) -> Option<Value> {
    if let MemberEvent::New { vm, incarnation } = event {
        let settings = MembershipSettings::default();
        let view = Membership::new(VmName::new(vm), Incarnation(*incarnation), settings);
        *subject = Some(MemberView { view, draws: 0 });
    }
    let members = subject.as_mut()?;
    let view = &mut members.view;
    match event {
        MemberEvent::New { .. } => {}
        MemberEvent::AdoptVmList {
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
        MemberEvent::ExchangeSucceeded(claim) => {
            view.record_exchange(&claim.to_heartbeat(), now);
        }
        MemberEvent::Claim(claim) => view.apply(&[claim.to_update()], now),
        MemberEvent::ProbeFailed { vm } => view.record_failed_probe(&VmName::new(vm), now),
        MemberEvent::RpcFailed { vm } => view.record_rpc_failure(&VmName::new(vm), now),
        MemberEvent::Tick => {
            view.expire_suspicions(now);
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
        .map(|member| {
            (
                member.vm().to_string(),
                json!(ClaimedState::from_member_state(member.state())),
            )
        })
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
                ClaimedState::Alive => MemberState::Alive,
                ClaimedState::Suspect => MemberState::Suspect,
                ClaimedState::Leaving => MemberState::Leaving,
                ClaimedState::Dead => MemberState::Dead,
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

impl ClaimedState {
    fn from_member_state(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}
