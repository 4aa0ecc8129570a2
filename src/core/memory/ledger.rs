//! The ledger: memory is reserved before an order and freed after its confirmation.

use std::collections::BTreeMap;

use crate::core::{ids::Mib, memory::Resource};

/// Where a resource stands on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// Reserved; a load order may be under way.
    Loading,
    /// Confirmed by the engine.
    Resident,
    /// An unload order may be under way; the memory still counts.
    Unloading,
}

/// One reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Memory that counts, MiB.
    pub size: Mib,
    /// State of the reservation.
    pub residency: Residency,
}

/// A reservation would pass the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// Memory that would have to be freed first, MiB.
    pub missing: Mib,
}

/// Reservations of one engine. Their sum never passes the capacity.
///
/// ```
/// use goldcrestpitch::core::memory::{Ledger, Resource};
/// let mut ledger = Ledger::new(100);
/// ledger.reserve(Resource::model("a", 1), 60).unwrap();
/// let refused = ledger.reserve(Resource::model("b", 1), 60).unwrap_err();
/// assert_eq!(refused.missing, 20);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: Mib,
    slots: BTreeMap<Resource, Slot>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(capacity: Mib) -> Self {
        Self { capacity, slots: BTreeMap::new() }
    }

    /// Memory of the engine, MiB.
    pub fn capacity(&self) -> Mib {
        self.capacity
    }

    /// Memory that is reserved in any state, MiB.
    pub fn used(&self) -> Mib {
        self.slots.values().map(|slot| slot.size).sum()
    }

    /// Memory that can be reserved, MiB.
    pub fn free(&self) -> Mib {
        self.capacity.saturating_sub(self.used())
    }

    /// State of one resource.
    pub fn slot(&self, resource: &Resource) -> Option<Slot> {
        self.slots.get(resource).copied()
    }

    /// All reservations.
    pub fn slots(&self) -> impl Iterator<Item = (&Resource, &Slot)> {
        self.slots.iter()
    }

    /// Reserves memory for a resource that is to be loaded.
    ///
    /// # Errors
    /// [`NoRoom`] when the capacity would be passed; nothing is reserved then.
    pub fn reserve(&mut self, resource: Resource, size: Mib) -> Result<(), NoRoom> {
        let held = self.slots.get(&resource).map_or(0, |slot| slot.size);
        // A resource that changes size counts with the larger one until it is confirmed.
        let size = size.max(held);
        let used = self.used() - held + size;
        if self.capacity < used {
            return Err(NoRoom { missing: used - self.capacity });
        }
        self.slots.insert(resource, Slot { size, residency: Residency::Loading });
        Ok(())
    }

    /// Notes that the engine confirmed a resource with its size.
    pub fn confirm(&mut self, resource: &Resource, size: Mib) {
        self.slots.insert(resource.clone(), Slot { size, residency: Residency::Resident });
    }

    /// Notes that a resource is about to be unloaded. Its memory still counts.
    pub fn unloading(&mut self, resource: &Resource) {
        if let Some(slot) = self.slots.get_mut(resource) {
            slot.residency = Residency::Unloading;
        }
    }

    /// Frees a resource whose unloading the engine confirmed.
    pub fn free_slot(&mut self, resource: &Resource) {
        self.slots.remove(resource);
    }
}
