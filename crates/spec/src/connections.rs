//! The connections to a leaf never exceed its limit while the VM list changes.
//!
//! Section 4.2 of the design page, scaled down: there are 2 holders and at most 1 displaced holder
//! that has not acknowledged the list, so the limit is 3 connections, 1 for each of these daemons.
//! Lists are published in order. A daemon adopts a list at any time, may skip lists, may never
//! adopt one, and may restart with the newest. A holder whose gate is open connects at any time,
//! which covers every view of which daemons are alive. Acknowledgements may be arbitrarily old:
//! another daemon may know any list that a daemon has ever adopted as its latest one.
//!
//! Each modelled daemon has a production [`HandoverGate`]. It is not enough for a gate to wait for
//! the holders that the newest list displaced. Four more rules are needed, and a mutation breaks
//! each of them:
//!
//! - The gate still waits for the holders that earlier lists displaced.
//! - An acknowledgement of a list later than the held one does not count.
//! - A daemon that skipped a list or has just started waits for all VMs, because it does not know
//!   the holders under the skipped list, or adopts the history of a peer.
//! - Such a history must reach the list before the held one.

use std::cell::RefCell;
use std::collections::HashMap;

use medlarpin_core::ownership::{FormerHolder, GroupId, HandoverGate, HolderHistory};
use medlarpin_core::prelude::*;

use crate::explore::{Report, explore};

const HOLDERS: usize = 2;
const MAX_UNACKNOWLEDGED: usize = 1;
const CONNECTION_LIMIT: usize = HOLDERS + MAX_UNACKNOWLEDGED;

/// A deliberate fault in the protocol, which the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A new holder connects without waiting.
    NoGate,
    /// The gate opens with one more unacknowledged holder than allowed.
    OneMoreUnacknowledged,
    /// The gate waits only for the holders that the newest list displaced.
    EarlierHoldersForgotten,
    /// An acknowledgement of a later list counts for the held list.
    LaterAcknowledgementCounts,
    /// A history is adopted although it does not reach the list before the held one.
    HistoryWithGap,
    /// After a skipped list, the daemon keeps its history as if there were no gap.
    SkippedListIgnored,
    /// A daemon that has just started does not wait.
    StartsWithoutGate,
    /// A displaced holder acknowledges a list before it closes its connection.
    AcknowledgesBeforeClosing,
}

/// Bounds of the exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of daemons; every list contains all of them.
    pub daemons: usize,
    /// Indexes of the two holders under each list.
    pub holders: Vec<[usize; 2]>,
    /// Total number of daemon restarts.
    pub restarts: u8,
    /// True if daemons that skipped lists adopt the histories of peers, which greatly increases the
    /// number of states.
    pub histories: bool,
}

/// A set of lists as a bit mask; bit 0 is the first list.
type ListSet = u32;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    /// Lists that the daemon has ever adopted, including those before a restart.
    adopted_lists: ListSet,
    /// Index of the held list.
    list: usize,
    /// The production gate, without acknowledgements: they are recorded in a copy of the gate
    /// whenever it is queried.
    gate: GateId,
    is_connected: bool,
    /// True if the daemon is a displaced holder that still has to close its connection; only set
    /// under [`Mutation::AcknowledgesBeforeClosing`].
    must_close: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of published lists.
    published: usize,
    daemons: Vec<Daemon>,
    restarts: u8,
}

/// Index of a gate in the [`GateTable`].
type GateId = u32;

/// Interned gates and memoized results of their methods.
///
/// States refer to gates by index, because storing whole gates in each state would multiply the
/// time and memory of the exploration.
#[derive(Default)]
struct GateTable {
    gates: RefCell<Vec<HandoverGate>>,
    ids: RefCell<HashMap<HandoverGate, GateId>>,
    /// Gate that results from each operation, or `None`.
    results: RefCell<HashMap<OperationKey, Option<GateId>>>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Operation {
    AdoptList,
    /// Adopts the history of this gate.
    AdoptHistory(GateId),
    /// Opens the gate of the daemon with this index.
    Open(usize),
}

/// An operation with its inputs: gates, held lists and adopted lists.
type OperationKey = (Operation, Vec<ListSet>);

impl GateTable {
    fn get(&self, id: GateId) -> HandoverGate {
        self.gates.borrow()[id as usize].clone()
    }

    fn intern(&self, gate: HandoverGate) -> GateId {
        let mut ids = self.ids.borrow_mut();
        let next = ids.len();
        *ids.entry(gate).or_insert_with_key(|gate| {
            self.gates.borrow_mut().push(gate.clone());
            GateId::try_from(next).expect("the number of gates fits into u32")
        })
    }

    fn memoize(
        &self,
        key: OperationKey,
        run: impl FnOnce() -> Option<HandoverGate>,
    ) -> Option<GateId> {
        if let Some(result) = self.results.borrow().get(&key) {
            return *result;
        }
        let result = run().map(|gate| self.intern(gate));
        self.results.borrow_mut().insert(key, result);
        result
    }
}

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
    group: GroupId,
    vms: Vec<VmName>,
    table: GateTable,
}

/// Explores all states of the model within the bounds.
#[must_use]
pub fn check(bounds: &Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model::new(bounds, mutation);
    let initial = State {
        published: 1,
        daemons: (0..bounds.daemons)
            .map(|index| model.initial_daemon(index))
            .collect(),
        restarts: 0,
    };
    explore(&initial, |state| model.successors(state), is_violated)
}

fn is_violated(state: &State) -> bool {
    let connected = state.daemons.iter().filter(|daemon| daemon.is_connected);
    connected.count() > CONNECTION_LIMIT
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

    /// Returns a daemon at the first list, which has no predecessor.
    fn initial_daemon(&self, index: usize) -> Daemon {
        let mut gate = self.new_gate(index, 0);
        gate.adopt_history(&self.group, &empty_history(0));
        Daemon {
            adopted_lists: 1,
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
                push(self.after_list(index, daemon, list), 0);
            }
            if self.bounds.histories && self.lacks_history(daemon.gate) {
                for peer in (0..state.daemons.len()).filter(|peer| *peer != index) {
                    if let Some(gate) = self.adopt_peer_history(state, daemon, peer) {
                        let daemon = daemon.clone();
                        push(Daemon { gate, ..daemon }, 0);
                    }
                }
            }
            if daemon.must_close {
                push(after_closing(daemon), 0);
            } else if !daemon.is_connected
                && let Some(gate) = self.try_open(state, index)
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
                push(self.after_restart(index, daemon, state.published - 1), 1);
            }
        }
        next
    }

    fn lacks_history(&self, gate: GateId) -> bool {
        self.table.gates.borrow()[gate as usize].lacks_history(&self.group)
    }

    /// Returns the daemon after it has adopted a list through the production gate.
    fn after_list(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let mut next = daemon.clone();
        next.adopted_lists |= 1 << list;
        next.list = list;
        let key = vec![daemon.gate, 1 << daemon.list, 1 << list];
        let gate = self.table.memoize((Operation::AdoptList, key), || {
            Some(self.adopt_list(index, daemon, list))
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

    fn adopt_list(&self, index: usize, daemon: &Daemon, list: usize) -> HandoverGate {
        let mut gate = self.table.get(daemon.gate);
        let before = gate.history(&self.group);
        gate.adopt_ranking(&self.group, revision(list), self.ranking(list));
        match self.mutation {
            Some(Mutation::SkippedListIgnored) => {
                if let Some(history) = before {
                    self.adopt_history_as_current(&mut gate, history, list);
                }
            }
            Some(Mutation::EarlierHoldersForgotten) if list == daemon.list + 1 => {
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

    /// Returns the daemon after a restart, which closes its connection and loses its gate.
    fn after_restart(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let mut gate = self.new_gate(index, list);
        if self.mutation == Some(Mutation::StartsWithoutGate) {
            gate.adopt_history(&self.group, &empty_history(list));
        }
        Daemon {
            adopted_lists: daemon.adopted_lists | 1 << list,
            list,
            gate: self.table.intern(gate),
            is_connected: false,
            must_close: false,
        }
    }

    /// Adopts a peer's history through the production gate; returns `None` if the daemon still
    /// lacks a history.
    fn adopt_peer_history(&self, state: &State, daemon: &Daemon, peer: usize) -> Option<GateId> {
        let source = &state.daemons[peer];
        let mut key = relevant_lists(state, source.list);
        key.extend([daemon.gate, 1 << daemon.list, 1 << source.list]);
        let operation = || {
            let history = self
                .gate_with_acknowledgements(state, peer)
                .history(&self.group)?;
            let mut gate = self.table.get(daemon.gate);
            let has_gap = history.revision < revision(daemon.list);
            if self.mutation == Some(Mutation::HistoryWithGap) && has_gap {
                self.adopt_history_as_current(&mut gate, history, daemon.list);
            } else {
                gate.adopt_history(&self.group, &history);
            }
            (!gate.lacks_history(&self.group)).then_some(gate)
        };
        self.table
            .memoize((Operation::AdoptHistory(source.gate), key), operation)
    }

    /// Returns the daemon's gate after opening it; `None` if the daemon is not a holder or the
    /// production gate does not open.
    fn try_open(&self, state: &State, index: usize) -> Option<GateId> {
        let daemon = &state.daemons[index];
        let is_holder = self.bounds.holders[daemon.list].contains(&index);
        if !is_holder {
            return None;
        }
        let mut key = relevant_lists(state, daemon.list);
        key.extend([daemon.gate, 1 << daemon.list]);
        let operation = || {
            let mut acknowledged_gate = self.gate_with_acknowledgements(state, index);
            let unacknowledged = acknowledged_gate.unacknowledged_holders(&self.group).len();
            let may_open = match self.mutation {
                Some(Mutation::NoGate) => true,
                Some(Mutation::OneMoreUnacknowledged) => unacknowledged <= MAX_UNACKNOWLEDGED + 1,
                _ => acknowledged_gate.try_open(&self.group),
            };
            let mut gate = self.table.get(daemon.gate);
            // The holders that have not acknowledged become the history that peers can adopt.
            if let Some(history) = acknowledged_gate.history(&self.group) {
                gate.adopt_history(&self.group, &history);
            }
            may_open.then_some(gate)
        };
        self.table.memoize((Operation::Open(index), key), operation)
    }

    /// Returns a copy of a daemon's gate that has received every acknowledgement that can open it.
    fn gate_with_acknowledgements(&self, state: &State, index: usize) -> HandoverGate {
        let daemon = &state.daemons[index];
        let mut gate = self.table.get(daemon.gate);
        for (vm, other) in self.vms.iter().zip(&state.daemons) {
            for list in (0..=daemon.list).filter(|list| other.adopted_lists & (1 << list) != 0) {
                gate.acknowledge(vm, revision(list));
            }
            let has_later = other.adopted_lists >> daemon.list != 0;
            if has_later && self.mutation == Some(Mutation::LaterAcknowledgementCounts) {
                gate.acknowledge(vm, revision(daemon.list));
            }
        }
        gate
    }

    fn new_gate(&self, index: usize, list: usize) -> HandoverGate {
        let mut gate = HandoverGate::with_max_unacknowledged_holders(
            self.vms[index].clone(),
            MAX_UNACKNOWLEDGED,
        );
        gate.record_listed(revision(0), &self.vms);
        gate.adopt_ranking(&self.group, revision(list), self.ranking(list));
        gate
    }

    fn adopt_history_as_current(
        &self,
        gate: &mut HandoverGate,
        history: HolderHistory,
        list: usize,
    ) {
        let revision = revision(list);
        let history = HolderHistory {
            revision,
            ..history
        };
        gate.adopt_history(&self.group, &history);
    }

    /// Returns the holders, which depend only on the list.
    fn ranking(&self, list: usize) -> Vec<VmName> {
        let holders = self.bounds.holders[list];
        holders.map(|holder| self.vms[holder].clone()).to_vec()
    }
}

/// Returns the lists that each daemon has adopted, as far as a gate at `list` distinguishes them:
/// all later lists share one bit.
fn relevant_lists(state: &State, list: usize) -> Vec<ListSet> {
    let mask = (2 << list) - 1;
    let adopted = state.daemons.iter().map(|daemon| daemon.adopted_lists);
    let relevant =
        adopted.map(|lists| (lists & mask) | (ListSet::from(lists > mask) << (list + 1)));
    relevant.collect()
}

fn revision(list: usize) -> Revision {
    Revision(list as u64 + 1)
}

/// Returns the history of a group without former holders.
fn empty_history(list: usize) -> HolderHistory {
    HolderHistory {
        revision: revision(list),
        holders: Vec::new(),
    }
}

fn after_closing(daemon: &Daemon) -> Daemon {
    Daemon {
        is_connected: false,
        must_close: false,
        ..daemon.clone()
    }
}
