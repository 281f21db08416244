//! Connections to a leaf never exceed its limit while the VM list changes.
//!
//! Scaled down from section 4.2: 2 holders and a tolerance of 1, so a limit of 3 connections and a share
//! of 1 each. Lists are published in order; a daemon adopts them at any time, may skip some, may never
//! adopt any, and may restart with the newest. A holder whose gate is open connects at any time, which
//! covers all views of liveness. Acknowledgements may be as old as possible: any list that a daemon has
//! ever adopted may be the one that another daemon knows of.
//!
//! The rule is the shipped `HandoverGate`, which each modelled daemon carries. The model showed that the
//! gate needs four rules beyond a wait for the holders displaced by the newest list, a mutation each: the
//! displaced holders of earlier lists must still be waited for; an acknowledgement of a list above the one
//! held counts for nothing; a daemon that skipped a list or has just started must wait for all VMs, because
//! it does not know whom the skipped list made a holder, or take over the history of a peer; and such a
//! history must reach the list before the one held.

use std::cell::RefCell;
use std::collections::HashMap;

use medlarpin_core::ownership::{FormerHolder, GroupId, HandoverGate, HolderHistory};
use medlarpin_core::prelude::*;

use crate::explore::{Report, explore};

const HOLDERS: usize = 2;
const DISPUTED: usize = 1;
const LIMIT: usize = HOLDERS + DISPUTED;

/// One way to get the protocol wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A new holder connects at once.
    NoGate,
    /// One more displaced holder may be unheard of.
    OneMoreDisputed,
    /// Only the displaced holders of the newest list are waited for.
    EarlierDisplacedForgotten,
    /// An acknowledgement of a later list counts for the list held.
    LaterListAcknowledges,
    /// A history that ends before the list ahead of the one held is taken over.
    HistoryWithGap,
    /// A skipped list is ignored.
    SkippedListIgnored,
    /// A daemon that has just started waits for nobody.
    StartsWithoutGate,
    /// A displaced holder acknowledges a list before it has closed its connections.
    AcknowledgesBeforeClosing,
}

/// Bounds of the exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Daemons; all are in each list.
    pub daemons: usize,
    /// The two holders under each list.
    pub holders: Vec<[usize; 2]>,
    /// Restarts of daemons.
    pub restarts: u8,
    /// True if daemons that missed lists take over histories, which multiplies the states.
    pub histories: bool,
}

/// A set of lists, as bits.
type Bits = u32;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    /// Lists ever adopted, also before a restart.
    adopted: Bits,
    /// Index of the list held.
    list: usize,
    /// The shipped gate. It holds no acknowledgements between steps: any that may have arrived are fed to
    /// a copy when the gate is asked.
    gate: GateId,
    is_connected: bool,
    /// True if a displaced holder has yet to close: set by a mutation only.
    must_close: bool,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of lists published.
    published: usize,
    daemons: Vec<Daemon>,
    restarts: u8,
}

/// Place of a gate in the model's table.
type GateId = u32;

/// The distinct gates met, and the answers that they gave. A state refers to its gates by place: whole
/// gates in each state would make the exploration many times slower and larger.
#[derive(Default)]
struct GateTable {
    gates: RefCell<Vec<HandoverGate>>,
    ids: RefCell<HashMap<HandoverGate, GateId>>,
    /// Result of each question.
    answers: RefCell<HashMap<Asked, Option<GateId>>>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Question {
    Adopt,
    Inherit(GateId),
    Open(usize),
}

/// A question, with its gates and the lists that count.
type Asked = (Question, Vec<Bits>);

impl GateTable {
    fn get(&self, id: GateId) -> HandoverGate {
        self.gates.borrow()[id as usize].clone()
    }

    fn intern(&self, gate: HandoverGate) -> GateId {
        let mut ids = self.ids.borrow_mut();
        let next = ids.len();
        *ids.entry(gate).or_insert_with_key(|gate| {
            self.gates.borrow_mut().push(gate.clone());
            GateId::try_from(next).expect("fewer gates than states")
        })
    }

    fn answer(&self, key: Asked, ask: impl FnOnce() -> Option<HandoverGate>) -> Option<GateId> {
        if let Some(answer) = self.answers.borrow().get(&key) {
            return *answer;
        }
        let answer = ask().map(|gate| self.intern(gate));
        self.answers.borrow_mut().insert(key, answer);
        answer
    }
}

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
    group: GroupId,
    vms: Vec<VmName>,
    table: GateTable,
}

/// Explores the model.
#[must_use]
pub fn check(bounds: &Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model::new(bounds, mutation);
    let initial = State {
        published: 1,
        daemons: (0..bounds.daemons)
            .map(|index| model.first_daemon(index))
            .collect(),
        restarts: 0,
    };
    explore(&initial, |state| model.successors(state), is_violated)
}

fn is_violated(state: &State) -> bool {
    let connected = state.daemons.iter().filter(|daemon| daemon.is_connected);
    connected.count() > LIMIT
}

impl Model {
    fn new(bounds: &Bounds, mutation: Option<Mutation>) -> Self {
        Self {
            bounds: bounds.clone(),
            mutation,
            group: GroupId {
                service: ServiceName::new("service"),
                failure_domain: FailureDomain::new("domain"),
                index: 0,
            },
            vms: (0..bounds.daemons)
                .map(|index| VmName::new(&format!("vm-{index}")))
                .collect(),
            table: GateTable::default(),
        }
    }

    /// A daemon at the first list of a fleet, which no list precedes.
    fn first_daemon(&self, index: usize) -> Daemon {
        let mut gate = self.new_gate(index, 0);
        gate.adopt_history(&self.group, &nobody(0));
        Daemon {
            adopted: 1,
            list: 0,
            gate: self.table.intern(gate),
            is_connected: false,
            must_close: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.published < self.bounds.holders.len() {
            let mut state = state.clone();
            state.published += 1;
            next.push(state);
        }
        for (index, daemon) in state.daemons.iter().enumerate() {
            let mut push = |daemon: Daemon, restarts: u8| {
                let mut state = state.clone();
                state.daemons[index] = daemon;
                state.restarts += restarts;
                next.push(state);
            };
            for list in daemon.list + 1..state.published {
                push(self.adopted(index, daemon, list), 0);
            }
            if self.bounds.histories && self.lacks_history(daemon.gate) {
                for peer in (0..state.daemons.len()).filter(|peer| *peer != index) {
                    if let Some(gate) = self.inherited(state, daemon, peer) {
                        let daemon = daemon.clone();
                        push(Daemon { gate, ..daemon }, 0);
                    }
                }
            }
            if daemon.must_close {
                push(closed(daemon), 0);
            } else if !daemon.is_connected
                && let Some(gate) = self.opened(state, index)
            {
                let daemon = daemon.clone();
                push(
                    Daemon {
                        gate,
                        is_connected: true,
                        ..daemon
                    },
                    0,
                );
            }
            if state.restarts < self.bounds.restarts {
                push(self.restarted(index, daemon, state.published - 1), 1);
            }
        }
        next
    }

    fn lacks_history(&self, gate: GateId) -> bool {
        self.table.gates.borrow()[gate as usize].lacks_history(&self.group)
    }

    /// Adopts a list through the shipped gate.
    fn adopted(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let mut next = daemon.clone();
        next.adopted |= 1 << list;
        next.list = list;
        let key = vec![daemon.gate, 1 << daemon.list, 1 << list];
        let gate = self.table.answer((Question::Adopt, key), || {
            Some(self.adopt(index, daemon, list))
        });
        next.gate = gate.unwrap_or(daemon.gate);
        if !self.bounds.holders[list].contains(&index) {
            if self.mutation == Some(Mutation::AcknowledgesBeforeClosing) && next.is_connected {
                next.must_close = true;
            } else {
                next.is_connected = false;
            }
        }
        next
    }

    fn adopt(&self, index: usize, daemon: &Daemon, list: usize) -> HandoverGate {
        let mut gate = self.table.get(daemon.gate);
        let before = gate.history(&self.group);
        gate.adopt_ranking(&self.group, revision(list), self.ranking(list));
        match self.mutation {
            Some(Mutation::SkippedListIgnored) => {
                if let Some(history) = before {
                    self.inherit_as_if_newest(&mut gate, history, list);
                }
            }
            Some(Mutation::EarlierDisplacedForgotten) if list == daemon.list + 1 => {
                gate = self.new_gate(index, list);
                let last_ranked = revision(daemon.list);
                let displaced = self.ranking(daemon.list).into_iter();
                let history = HolderHistory {
                    revision: last_ranked,
                    holders: displaced
                        .map(|vm| FormerHolder { vm, last_ranked })
                        .collect(),
                };
                gate.adopt_history(&self.group, &history);
            }
            _ => {}
        }
        gate
    }

    /// A restart closes all connections and loses what the daemon knew.
    fn restarted(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let mut gate = self.new_gate(index, list);
        if self.mutation == Some(Mutation::StartsWithoutGate) {
            gate.adopt_history(&self.group, &nobody(list));
        }
        Daemon {
            adopted: daemon.adopted | 1 << list,
            list,
            gate: self.table.intern(gate),
            is_connected: false,
            must_close: false,
        }
    }

    /// Takes over a peer's history through the shipped gate; `None` if that changes nothing.
    fn inherited(&self, state: &State, daemon: &Daemon, peer: usize) -> Option<GateId> {
        let source = &state.daemons[peer];
        let mut key = lists_that_count(state, source.list);
        key.extend([daemon.gate, 1 << daemon.list, 1 << source.list]);
        let ask = || {
            let history = self.informed(state, peer).history(&self.group)?;
            let mut gate = self.table.get(daemon.gate);
            let ends_early = history.revision < revision(daemon.list);
            if self.mutation == Some(Mutation::HistoryWithGap) && ends_early {
                self.inherit_as_if_newest(&mut gate, history, daemon.list);
            } else {
                gate.adopt_history(&self.group, &history);
            }
            (!gate.lacks_history(&self.group)).then_some(gate)
        };
        self.table
            .answer((Question::Inherit(source.gate), key), ask)
    }

    /// Asks the shipped gate; returns the daemon's gate after it opened.
    fn opened(&self, state: &State, index: usize) -> Option<GateId> {
        let daemon = &state.daemons[index];
        let is_holder = self.bounds.holders[daemon.list].contains(&index);
        if !is_holder {
            return None;
        }
        let mut key = lists_that_count(state, daemon.list);
        key.extend([daemon.gate, 1 << daemon.list]);
        let ask = || {
            let mut informed = self.informed(state, index);
            let awaited = informed.unacknowledged_holders(&self.group).len();
            let may_open = match self.mutation {
                Some(Mutation::NoGate) => true,
                Some(Mutation::OneMoreDisputed) => awaited <= DISPUTED + 1,
                _ => informed.try_open(&self.group),
            };
            let mut gate = self.table.get(daemon.gate);
            // Whoever is still awaited is a history for peers from now on.
            if let Some(history) = informed.history(&self.group) {
                gate.adopt_history(&self.group, &history);
            }
            may_open.then_some(gate)
        };
        self.table.answer((Question::Open(index), key), ask)
    }

    /// Returns a daemon's gate as if every acknowledgement that helps it had arrived.
    fn informed(&self, state: &State, index: usize) -> HandoverGate {
        let daemon = &state.daemons[index];
        let mut gate = self.table.get(daemon.gate);
        for (vm, other) in self.vms.iter().zip(&state.daemons) {
            for list in (0..=daemon.list).filter(|list| other.adopted & (1 << list) != 0) {
                gate.acknowledge(vm, revision(list));
            }
            let has_later = other.adopted >> daemon.list != 0;
            if has_later && self.mutation == Some(Mutation::LaterListAcknowledges) {
                gate.acknowledge(vm, revision(daemon.list));
            }
        }
        gate
    }

    fn new_gate(&self, index: usize, list: usize) -> HandoverGate {
        let mut gate =
            HandoverGate::with_max_unacknowledged_holders(self.vms[index].clone(), DISPUTED);
        gate.record_listed(revision(0), &self.vms);
        gate.adopt_ranking(&self.group, revision(list), self.ranking(list));
        gate
    }

    fn inherit_as_if_newest(&self, gate: &mut HandoverGate, history: HolderHistory, list: usize) {
        let revision = revision(list);
        let history = HolderHistory {
            revision,
            ..history
        };
        gate.adopt_history(&self.group, &history);
    }

    /// The holders depend on the list only.
    fn ranking(&self, list: usize) -> Vec<VmName> {
        let holders = self.bounds.holders[list];
        holders.map(|holder| self.vms[holder].clone()).to_vec()
    }
}

/// The lists that each daemon has adopted, for a daemon at the list: all later ones look alike to it.
fn lists_that_count(state: &State, list: usize) -> Vec<Bits> {
    let mask = (2 << list) - 1;
    let adopted = state.daemons.iter().map(|daemon| daemon.adopted);
    let counted = adopted.map(|lists| (lists & mask) | (Bits::from(lists > mask) << (list + 1)));
    counted.collect()
}

fn revision(list: usize) -> Revision {
    Revision(list as u64 + 1)
}

/// The history of a group without former holders.
fn nobody(list: usize) -> HolderHistory {
    HolderHistory {
        revision: revision(list),
        holders: Vec::new(),
    }
}

fn closed(daemon: &Daemon) -> Daemon {
    Daemon {
        is_connected: false,
        must_close: false,
        ..daemon.clone()
    }
}
