//! Connections to a leaf never exceed its limit while the VM list changes.
//!
//! Scaled down from section 4.2: 2 holders and a tolerance of 1, so a limit of 3 connections and a share
//! of 1 each. Lists are published in order; a daemon adopts them at any time, may skip some, may never
//! adopt any, and may restart with the newest. A holder whose gate is open connects at any time, which
//! covers all views of liveness. Acknowledgements may be as old as possible: any list that a daemon has
//! ever adopted may be the one that another daemon knows of.
//!
//! The model showed that section 4.2 needs three additions, which are the rule here and a mutation each:
//! the displaced holders of earlier lists must still be waited for; an acknowledgement counts for exactly
//! the list held, not for a later one; and a daemon that skipped a list or has just started must wait for
//! all VMs, because it does not know whom the skipped list made a holder.

use crate::explore::{Report, explore};

const HOLDERS: u32 = 2;
const DISPUTED: u32 = 1;
const LIMIT: u32 = HOLDERS + DISPUTED;

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
}

/// A set of daemons or of lists, as bits.
type Bits = u32;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    /// Lists ever adopted, also before a restart.
    adopted: Bits,
    /// Index of the list held.
    list: usize,
    /// Daemons that may hold connections of an earlier list.
    displaced: Bits,
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

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

/// Explores the model.
#[must_use]
pub fn check(bounds: &Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model {
        bounds: bounds.clone(),
        mutation,
    };
    let daemon = Daemon {
        adopted: 1,
        list: 0,
        displaced: 0,
        is_connected: false,
        must_close: false,
    };
    let initial = State {
        published: 1,
        daemons: vec![daemon; bounds.daemons],
        restarts: 0,
    };
    explore(&initial, |state| model.successors(state), is_violated)
}

fn is_violated(state: &State) -> bool {
    let connected = state.daemons.iter().filter(|daemon| daemon.is_connected);
    connected.count() > LIMIT as usize
}

impl Model {
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
            if daemon.must_close {
                push(closed(daemon), 0);
            } else if !daemon.is_connected && self.may_open(state, index) {
                let mut daemon = daemon.clone();
                daemon.is_connected = true;
                push(daemon, 0);
            }
            if state.restarts < self.bounds.restarts {
                push(self.restarted(index, daemon, state.published - 1), 1);
            }
        }
        next
    }

    /// The rule for a new list. The shipped `HandoverGate::adopt` is to be called here.
    fn adopted(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let (old, new) = (self.holders(daemon.list), self.holders(list));
        let mut next = daemon.clone();
        next.adopted |= 1 << list;
        next.list = list;
        let has_skipped = list > daemon.list + 1;
        let newly_displaced = if has_skipped && self.mutation != Some(Mutation::SkippedListIgnored)
        {
            self.everyone()
        } else {
            old
        };
        if self.mutation == Some(Mutation::EarlierDisplacedForgotten) {
            next.displaced = 0;
        }
        next.displaced = (next.displaced | newly_displaced) & !new & !(1 << index);
        if new & (1 << index) == 0 {
            if self.mutation == Some(Mutation::AcknowledgesBeforeClosing) && next.is_connected {
                next.must_close = true;
            } else {
                next.is_connected = false;
            }
        }
        next
    }

    /// A restart closes all connections and loses what the daemon knew.
    fn restarted(&self, index: usize, daemon: &Daemon, list: usize) -> Daemon {
        let displaced = if self.mutation == Some(Mutation::StartsWithoutGate) {
            0
        } else {
            self.everyone() & !self.holders(list) & !(1 << index)
        };
        Daemon {
            adopted: daemon.adopted | 1 << list,
            list,
            displaced,
            is_connected: false,
            must_close: false,
        }
    }

    /// The rule for a connection. The shipped `HandoverGate::may_open` is to be called here.
    fn may_open(&self, state: &State, index: usize) -> bool {
        let daemon = &state.daemons[index];
        if self.holders(daemon.list) & (1 << index) == 0 {
            return false;
        }
        let has_acknowledged = |other: &Daemon| {
            if self.mutation == Some(Mutation::LaterListAcknowledges) {
                other.adopted >> daemon.list != 0
            } else {
                other.adopted & (1 << daemon.list) != 0
            }
        };
        let others = state.daemons.iter().enumerate();
        let silent = others
            .filter(|(other, _)| daemon.displaced & (1 << other) != 0)
            .filter(|(_, other)| !has_acknowledged(other));
        let tolerated = match self.mutation {
            Some(Mutation::NoGate) => u32::MAX,
            Some(Mutation::OneMoreDisputed) => DISPUTED + 1,
            _ => DISPUTED,
        };
        silent.count() <= tolerated as usize
    }

    /// The rank of a daemon depends on the list only.
    fn holders(&self, list: usize) -> Bits {
        self.bounds.holders[list]
            .iter()
            .fold(0, |bits, holder| bits | 1 << holder)
    }

    fn everyone(&self) -> Bits {
        (1 << self.bounds.daemons) - 1
    }
}

fn closed(daemon: &Daemon) -> Daemon {
    Daemon {
        is_connected: false,
        must_close: false,
        ..daemon.clone()
    }
}
