use std::time::{Duration, Instant};

use super::{RESTORED_ENTRY_LIFETIME, StoreRevision};
use crate::ids::FailureDomain;

/// Number of returns to service that are remembered. Sites have some tens of failure domains; the rest
/// is for keys that name none.
pub const RETURNS_MAX: usize = 1_024;

/// A failure domain whose leafs get no requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The evacuated domain.
    pub domain: FailureDomain,
    /// Time at which this daemon learned of the evacuation.
    pub since: Instant,
    /// Revision of the store at which this daemon learned of it.
    pub revision: StoreRevision,
    key: KeyState,
}

/// What is known of the key that asks for an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    /// The store listed the key in this era.
    Listed { era: u64 },
    /// The store was restored, and the list of this era lacks the key. The operator may be about to
    /// write it again.
    Lost { era: u64, kept_until: Instant },
}

/// Failure domains that were evacuated or returned to service by one read of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Domains that are evacuated now and were not before.
    pub evacuated: Vec<FailureDomain>,
    /// Domains that are back in service.
    pub returned: Vec<FailureDomain>,
}

impl EvacuationChanges {
    /// Returns true if nothing has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

/// The evacuated failure domains, as the store's keys state them.
///
/// A domain is evacuated while its key exists. A store that is restored from an older copy may lack a
/// key that nobody has deleted; its domain stays evacuated for [`RESTORED_ENTRY_LIFETIME`], in which the
/// operator writes the key again.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedDomains {
    /// Sorted by domain, without duplicates.
    evacuated: Vec<Evacuation>,
    /// Domains with the time of their last return to service, the latest return last; without
    /// duplicates, at most [`RETURNS_MAX`].
    returned: Vec<(FailureDomain, Instant)>,
}

impl EvacuatedDomains {
    /// Applies a change that wrote a domain's key; returns true if the domain was in service.
    pub fn evacuate(
        &mut self,
        domain: &FailureDomain,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let key = KeyState::Listed { era: revision.era };
        match self.position(domain) {
            Ok(index) => {
                self.evacuated[index].key = key;
                false
            }
            Err(index) => {
                let evacuation = Evacuation {
                    domain: domain.clone(),
                    since: now,
                    revision,
                    key,
                };
                self.evacuated.insert(index, evacuation);
                true
            }
        }
    }

    /// Applies a change that deleted a domain's key; returns true if the domain was evacuated.
    pub fn return_to_service(&mut self, domain: &FailureDomain, now: Instant) -> bool {
        let Ok(index) = self.position(domain) else {
            return false;
        };
        let evacuation = self.evacuated.remove(index);
        self.record_return(evacuation.domain, now);
        true
    }

    /// Applies a list of all keys at a revision. Domains whose keys it lacks return to service, except
    /// for a while if only a restore of the store can have removed the key.
    pub fn replace_all(
        &mut self,
        mut listed: Vec<FailureDomain>,
        revision: StoreRevision,
        now: Instant,
    ) -> EvacuationChanges {
        listed.sort();
        listed.dedup();
        let era = revision.era;
        for evacuation in &mut self.evacuated {
            let is_new_loss = match evacuation.key {
                KeyState::Listed { era: listed_era } => listed_era != era,
                KeyState::Lost { era: lost_era, .. } => lost_era != era,
            };
            if is_new_loss {
                evacuation.key = KeyState::Lost {
                    era,
                    kept_until: now + RESTORED_ENTRY_LIFETIME,
                };
            }
        }
        let is_gone = |evacuation: &Evacuation| {
            listed.binary_search(&evacuation.domain).is_err() && !evacuation.is_kept(now)
        };
        let mut changes = EvacuationChanges {
            evacuated: Vec::new(),
            returned: self.remove(is_gone, now),
        };
        for domain in listed {
            if self.evacuate(&domain, revision, now) {
                changes.evacuated.push(domain);
            }
        }
        changes
    }

    /// Returns to service the domains whose keys a restore has removed and nobody has written again in
    /// time.
    pub fn expire(&mut self, now: Instant) -> Vec<FailureDomain> {
        self.remove(|evacuation| evacuation.is_expired(now), now)
    }

    /// Returns true if [`Self::expire`] has something to return to service.
    #[must_use]
    pub fn is_expiry_due(&self, now: Instant) -> bool {
        self.evacuated.iter().any(|known| known.is_expired(now))
    }

    /// Returns the domains that stay evacuated only because their keys may have been lost by a restore,
    /// each with the time left.
    pub fn kept(&self, now: Instant) -> impl Iterator<Item = (&FailureDomain, Duration)> {
        self.evacuated.iter().filter_map(move |evacuation| {
            let until = evacuation.kept_until().filter(|until| now < *until)?;
            Some((&evacuation.domain, until - now))
        })
    }

    /// Learns from another daemon of a domain that stays evacuated for the time `left` after a restore;
    /// `revision` is that of this daemon. Returns true if the domain was in service.
    ///
    /// A domain that this daemon has returned to service lately is not evacuated again: the other daemon
    /// has yet to see the deletion, or waits a little longer.
    pub fn keep(
        &mut self,
        domain: &FailureDomain,
        left: Duration,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let is_just_returned = self
            .returned_at(domain)
            .is_some_and(|at| now.saturating_duration_since(at) < RESTORED_ENTRY_LIFETIME);
        if is_just_returned || left.is_zero() {
            return false;
        }
        let Err(index) = self.position(domain) else {
            return false;
        };
        let evacuation = Evacuation {
            domain: domain.clone(),
            since: now,
            revision,
            key: KeyState::Lost {
                era: revision.era,
                kept_until: now + left.min(RESTORED_ENTRY_LIFETIME),
            },
        };
        self.evacuated.insert(index, evacuation);
        true
    }

    /// Returns true if the leafs of a domain get no requests.
    #[must_use]
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.position(domain).is_ok()
    }

    /// Returns the time of a domain's last return to service; `None` if this process has not seen one,
    /// or if the domain is evacuated.
    #[must_use]
    pub fn returned_at(&self, domain: &FailureDomain) -> Option<Instant> {
        if self.is_evacuated(domain) {
            return None;
        }
        let mut returned = self.returned.iter();
        returned
            .find(|(known, _)| known == domain)
            .map(|(_, at)| *at)
    }

    /// Returns the evacuations, sorted by domain.
    #[must_use]
    pub fn evacuations(&self) -> &[Evacuation] {
        &self.evacuated
    }

    /// Removes the evacuations for which the condition holds, and returns their domains.
    fn remove(
        &mut self,
        condition: impl Fn(&Evacuation) -> bool,
        now: Instant,
    ) -> Vec<FailureDomain> {
        let removed: Vec<FailureDomain> = self
            .evacuated
            .extract_if(.., |evacuation| condition(evacuation))
            .map(|evacuation| evacuation.domain)
            .collect();
        for domain in &removed {
            self.record_return(domain.clone(), now);
        }
        removed
    }

    fn record_return(&mut self, domain: FailureDomain, now: Instant) {
        self.returned.retain(|(known, _)| *known != domain);
        if self.returned.len() >= RETURNS_MAX {
            self.returned.remove(0);
        }
        self.returned.push((domain, now));
    }

    fn position(&self, domain: &FailureDomain) -> Result<usize, usize> {
        self.evacuated
            .binary_search_by(|known| known.domain.cmp(domain))
    }
}

impl Evacuation {
    /// Returns the end of the time for which the domain stays evacuated without its key; `None` while
    /// the key is listed.
    fn kept_until(&self) -> Option<Instant> {
        match self.key {
            KeyState::Listed { .. } => None,
            KeyState::Lost { kept_until, .. } => Some(kept_until),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.kept_until().is_some_and(|until| until <= now)
    }

    fn is_kept(&self, now: Instant) -> bool {
        self.kept_until().is_some_and(|until| now < until)
    }
}
