use medlarpin_core::prelude::Revision;
use platform::Item;

/// The store's items as they were published, for daemons that cannot reach the store.
#[derive(Debug, Default)]
pub(crate) struct Published {
    /// Revision of the store; zero until all items were read.
    revision: Revision,
    /// Sorted by key, without duplicates.
    items: Vec<Item>,
}

impl Published {
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn items(&self) -> &[Item] {
        &self.items
    }

    /// Takes a complete list.
    pub(crate) fn replace_all(&mut self, mut items: Vec<Item>, revision: Revision) {
        items.sort_by(|a, b| a.key.cmp(&b.key));
        items.dedup_by(|later, first| later.key == first.key);
        *self = Self { revision, items };
    }

    /// Takes changes, oldest first.
    pub(crate) fn change(&mut self, changes: Vec<Item>, revision: Revision) {
        for item in changes {
            let position = self
                .items
                .binary_search_by(|known| known.key.cmp(&item.key));
            match (position, item.value.is_some()) {
                (Ok(index), true) => self.items[index] = item,
                (Ok(index), false) => drop(self.items.remove(index)),
                (Err(index), true) => self.items.insert(index, item),
                (Err(_), false) => {}
            }
        }
        self.revision = revision;
    }
}
