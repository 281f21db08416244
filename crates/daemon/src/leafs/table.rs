//! The table of held leafs.

use std::cmp::Ordering;
use std::sync::Arc;

use medlarpin_core::fair_queue::Discipline;
use medlarpin_core::prelude::*;
use parking_lot::RwLock;

use crate::leafs::slot::LeafSlot;
use crate::recorder::Recorder;

/// All leafs that this daemon holds, and retired ones whose requests or connections remain.
#[derive(Debug)]
pub struct LeafTable {
    inner: RwLock<Inner>,
    recorder: Arc<Recorder>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by service and leaf id.
    held: Vec<Arc<LeafSlot>>,
    /// No longer held, but with requests in flight or connections still open.
    retired: Vec<Arc<LeafSlot>>,
}

/// Assignment of a leaf to this daemon.
#[derive(Debug, Clone)]
pub struct Holding {
    /// Service that the leaf belongs to.
    pub service: ServiceName,
    /// The leaf as published.
    pub leaf: Leaf,
    /// Maximum number of connections from this daemon to the leaf.
    pub connection_share: u32,
}

impl LeafTable {
    /// Creates the table of a daemon that holds no leaf.
    #[must_use]
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            inner: RwLock::default(),
            recorder,
        }
    }

    /// Finds a held leaf.
    #[must_use]
    pub fn get(&self, service: &ServiceName, leaf: &LeafId) -> Option<Arc<LeafSlot>> {
        let inner = self.inner.read();
        let index = inner
            .held
            .binary_search_by(|slot| compare(slot, service, leaf))
            .ok()?;
        inner.held.get(index).cloned()
    }

    /// Returns all held leafs.
    #[must_use]
    pub fn held(&self) -> Vec<Arc<LeafSlot>> {
        self.inner.read().held.clone()
    }

    /// Returns the number of open connections to all leafs, retired ones included, and the sum of
    /// the connection shares of the held leafs.
    #[must_use]
    pub fn connections(&self) -> (u32, u32) {
        let inner = self.inner.read();
        let all = inner.held.iter().chain(&inner.retired);
        let open = all.map(|slot| slot.connections.open()).sum();
        let shares = inner.held.iter().map(|slot| slot.connections.share());
        (open, shares.sum())
    }

    /// Replaces the set of held leafs.
    ///
    /// A leaf whose address or limits changed gets a new slot, and the old slot is retired.
    pub fn set_holdings(
        &self,
        mut holdings: Vec<Holding>,
        discipline: Discipline,
        clock: &Arc<dyn Clock>,
    ) {
        holdings.sort_by(|a, b| (&a.service, &a.leaf.id).cmp(&(&b.service, &b.leaf.id)));
        let removed = self.replace(holdings, discipline, clock);
        // Retiring wakes queued requests, so it runs after the table's lock is released.
        for slot in removed {
            slot.retire();
        }
    }

    /// Replaces the held leafs and returns those that are no longer held.
    fn replace(
        &self,
        holdings: Vec<Holding>,
        discipline: Discipline,
        clock: &Arc<dyn Clock>,
    ) -> Vec<Arc<LeafSlot>> {
        let mut inner = self.inner.write();
        let mut previous = std::mem::take(&mut inner.held);
        for holding in holdings {
            let found =
                previous.binary_search_by(|slot| compare(slot, &holding.service, &holding.leaf.id));
            let slot = match found {
                Ok(index) if is_unchanged(&previous[index], &holding) => previous.remove(index),
                Ok(_) | Err(_) => Arc::new(LeafSlot::new(
                    holding.service,
                    holding.leaf,
                    holding.connection_share,
                    discipline,
                    Arc::clone(clock),
                    Arc::clone(&self.recorder),
                )),
            };
            inner.held.push(slot);
        }
        inner.retired.extend(previous.iter().cloned());
        previous
    }

    /// Returns true if connections of a retired slot of the same leaf are still open.
    pub fn is_closing(&self, holding: &Holding) -> bool {
        let inner = self.inner.read();
        let mut held = inner.held.iter();
        let same_address = |slot: &Arc<LeafSlot>| slot.leaf.address == holding.leaf.address;
        !held.any(same_address) && inner.retired.iter().any(same_address)
    }

    /// Closes the connections of retired leafs and returns true once all of them are removed.
    pub fn close_retired(&self) -> bool {
        let retired = self.inner.read().retired.clone();
        for slot in &retired {
            slot.connections.close();
        }
        let mut inner = self.inner.write();
        inner
            .retired
            .retain(|slot| !slot.connections.is_closed() || !slot.is_idle());
        inner.retired.is_empty()
    }
}

fn compare(slot: &LeafSlot, service: &ServiceName, leaf: &LeafId) -> Ordering {
    slot.service
        .cmp(service)
        .then_with(|| slot.leaf.id.cmp(leaf))
}

fn is_unchanged(slot: &LeafSlot, holding: &Holding) -> bool {
    slot.leaf == holding.leaf && slot.connections.share() == holding.connection_share
}
