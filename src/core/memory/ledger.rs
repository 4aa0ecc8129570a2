//! Memory reservations: made before a load order is sent, released once the engine
//! confirms the unload.

use std::collections::BTreeMap;

use crate::core::{ids::Mib, memory::Resource};

/// State of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationState {
    /// Reserved; a load order may be in flight.
    Loading,
    /// Loaded, as confirmed by the engine.
    Resident,
    /// An unload order may be in flight; the memory still counts as used.
    Unloading,
}

/// Memory reserved for one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Reserved memory, MiB.
    pub size: Mib,
    /// Whether the resource is being loaded, loaded or being unloaded.
    pub state: ReservationState,
}

/// Error when a reservation would exceed the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// Memory that would have to be freed first, MiB.
    pub missing: Mib,
}

/// Memory reservations of one engine. [`Ledger::reserve`] never lets their sum exceed
/// the capacity.
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
    /// Creates a ledger without reservations.
    pub fn new(capacity: Mib) -> Self {
        Self { capacity, reservations: BTreeMap::new() }
    }

    /// Total memory of the engine, MiB.
    pub fn capacity(&self) -> Mib {
        self.capacity
    }

    /// Reserved memory in any state, MiB.
    pub fn used(&self) -> Mib {
        self.reservations.values().map(|reservation| reservation.size).sum()
    }

    /// Unreserved memory, MiB.
    pub fn free(&self) -> Mib {
        self.capacity.saturating_sub(self.used())
    }

    /// The reservation of a resource.
    pub fn reservation(&self, resource: &Resource) -> Option<Reservation> {
        self.reservations.get(resource).copied()
    }

    /// All reservations.
    pub fn reservations(&self) -> impl Iterator<Item = (&Resource, &Reservation)> {
        self.reservations.iter()
    }

    /// Reserves memory for a resource before it is loaded.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when the capacity would be exceeded; nothing is reserved then.
    pub fn reserve(&mut self, resource: Resource, size: Mib) -> Result<(), InsufficientMemory> {
        let reserved = self.reservations.get(&resource).map_or(0, |reservation| reservation.size);
        // While a resource changes its size, the larger size counts until confirmation.
        let size = size.max(reserved);
        let used = self.used() - reserved + size;
        if self.capacity < used {
            return Err(InsufficientMemory { missing: used - self.capacity });
        }
        self.reservations.insert(resource, Reservation { size, state: ReservationState::Loading });
        Ok(())
    }

    /// Records that the engine confirmed a resource as loaded, with its size.
    pub fn confirm(&mut self, resource: &Resource, size: Mib) {
        self.reservations
            .insert(resource.clone(), Reservation { size, state: ReservationState::Resident });
    }

    /// Marks a resource as being unloaded. Its memory still counts as used.
    pub fn mark_unloading(&mut self, resource: &Resource) {
        if let Some(reservation) = self.reservations.get_mut(resource) {
            reservation.state = ReservationState::Unloading;
        }
    }

    /// Releases a reservation once the engine confirmed the unload.
    pub fn release(&mut self, resource: &Resource) {
        self.reservations.remove(resource);
    }
}
