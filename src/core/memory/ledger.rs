//! The ledger: memory is reserved before an order and freed after its confirmation.

use std::collections::BTreeMap;

use crate::core::{ids::Mib, memory::Resource};

/// Where a resource stands on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationState {
    /// Reserved; a load order may be under way.
    Loading,
    /// Confirmed by the engine.
    Resident,
    /// An unload order may be under way; the memory still counts.
    Unloading,
}

/// One reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Memory that counts, MiB.
    pub size: Mib,
    /// State of the reservation.
    pub state: ReservationState,
}

/// A reservation would pass the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientMemory {
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
    reservations: BTreeMap<Resource, Reservation>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(capacity: Mib) -> Self {
        Self { capacity, reservations: BTreeMap::new() }
    }

    /// Memory of the engine, MiB.
    pub fn capacity(&self) -> Mib {
        self.capacity
    }

    /// Memory that is reserved in any state, MiB.
    pub fn used(&self) -> Mib {
        self.reservations.values().map(|reservation| reservation.size).sum()
    }

    /// Memory that can be reserved, MiB.
    pub fn free(&self) -> Mib {
        self.capacity.saturating_sub(self.used())
    }

    /// State of one resource.
    pub fn reservation(&self, resource: &Resource) -> Option<Reservation> {
        self.reservations.get(resource).copied()
    }

    /// All reservations.
    pub fn reservations(&self) -> impl Iterator<Item = (&Resource, &Reservation)> {
        self.reservations.iter()
    }

    /// Reserves memory for a resource that is to be loaded.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when the capacity would be passed; nothing is reserved then.
    pub fn reserve(&mut self, resource: Resource, size: Mib) -> Result<(), InsufficientMemory> {
        let held = self.reservations.get(&resource).map_or(0, |reservation| reservation.size);
        // A resource that changes size counts with the larger one until it is confirmed.
        let size = size.max(held);
        let used = self.used() - held + size;
        if self.capacity < used {
            return Err(InsufficientMemory { missing: used - self.capacity });
        }
        self.reservations.insert(resource, Reservation { size, state: ReservationState::Loading });
        Ok(())
    }

    /// Notes that the engine confirmed a resource with its size.
    pub fn confirm(&mut self, resource: &Resource, size: Mib) {
        self.reservations
            .insert(resource.clone(), Reservation { size, state: ReservationState::Resident });
    }

    /// Notes that a resource is about to be unloaded. Its memory still counts.
    pub fn mark_unloading(&mut self, resource: &Resource) {
        if let Some(reservation) = self.reservations.get_mut(resource) {
            reservation.state = ReservationState::Unloading;
        }
    }

    /// Frees a resource whose unloading the engine confirmed.
    pub fn release(&mut self, resource: &Resource) {
        self.reservations.remove(resource);
    }
}
