//! One budget of bytes for all that a process holds for others, and who gives way when it is short.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Holders up to this size may use the reserved part.
const SMALL_BYTES: usize = 64 * 1024;
/// A body without a new byte for so long gives way first.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Part of the budget that only small holders may use, as a divisor.
const RESERVE_DIVISOR: usize = 4;

/// Identifies a holder of bytes; later ones are greater.
pub type HolderId = u64;

/// What a holder keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderKind {
    /// A body of a request that is still arriving: it may have to give way, since nothing ran.
    IncompleteBody,
    /// A request that runs.
    Request,
    /// A response.
    Response,
}

/// The budget is short, and the holder that wants more has to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetShort;

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: HolderKind,
    bytes: usize,
    charged_at: Instant,
}

/// The budget. Incomplete bodies give way in this order: the one that has been silent longest, if
/// for a second; then the newest large one; then the newest.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::limits::{BudgetShort, ByteBudget, HolderKind};
/// let (now, mut budget) = (Instant::now(), ByteBudget::new(4 << 20));
/// let old = budget.open(now, HolderKind::IncompleteBody);
/// let new = budget.open(now, HolderKind::IncompleteBody);
/// assert_eq!(budget.charge(now, old, 2 << 20), Ok(vec![]));
/// assert_eq!(budget.charge(now, new, 2 << 20), Err(BudgetShort));
/// // A small body has a reserved part, and the older body displaces the newer one.
/// assert_eq!(budget.charge(now, new, 1000), Ok(vec![]));
/// ```
#[derive(Debug)]
pub struct ByteBudget {
    capacity: usize,
    held: usize,
    next: HolderId,
    holders: BTreeMap<HolderId, Holder>,
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, held: 0, next: 0, holders: BTreeMap::new() }
    }

    /// Registers a holder that has no bytes yet.
    pub fn open(&mut self, now: Instant, kind: HolderKind) -> HolderId {
        let id = self.next;
        self.next += 1;
        self.holders.insert(id, Holder { kind, bytes: 0, charged_at: now });
        id
    }

    /// Charges bytes to a holder and returns the holders that were removed for them.
    ///
    /// # Errors
    /// [`BudgetShort`] if the holder itself gives way, or was removed before.
    pub fn charge(
        &mut self,
        now: Instant,
        id: HolderId,
        bytes: usize,
    ) -> Result<Vec<HolderId>, BudgetShort> {
        let Some(total) = self.holders.get(&id).map(|h| h.bytes + bytes) else {
            return Err(BudgetShort);
        };
        let reserve = if total <= SMALL_BYTES { 0 } else { self.capacity / RESERVE_DIVISOR };
        let limit = self.capacity - reserve;
        let mut removed = Vec::new();
        while limit < self.held + bytes {
            match self.next_to_remove(now, id, total) {
                Some(victim) => {
                    self.release(victim);
                    removed.push(victim);
                }
                // The holders that were removed stay removed: they gave way before this one.
                None if removed.is_empty() => return Err(BudgetShort),
                None => break,
            }
        }
        if limit < self.held + bytes {
            self.release(id);
            return Ok(removed);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            (holder.bytes, holder.charged_at) = (total, now);
            self.held += bytes;
        }
        Ok(removed)
    }

    /// Notes that new bytes arrived at a holder without a further charge.
    pub fn touch(&mut self, now: Instant, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.charged_at = now;
        }
    }

    /// Whether a holder was not removed.
    pub fn contains(&self, id: HolderId) -> bool {
        self.holders.contains_key(&id)
    }

    /// Changes the kind of a holder: a complete body no longer gives way.
    pub fn set_kind(&mut self, id: HolderId, kind: HolderKind) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.kind = kind;
        }
    }

    /// Removes a holder.
    pub fn release(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes;
        }
    }

    /// Bytes held by holders of a kind.
    pub fn held_by(&self, kind: HolderKind) -> usize {
        self.holders.values().filter(|h| h.kind == kind).map(|h| h.bytes).sum()
    }

    /// The holder that gives way next for one that grows to `total`; `None` if that is the growing
    /// one itself.
    fn next_to_remove(&self, now: Instant, id: HolderId, total: usize) -> Option<HolderId> {
        let others = || {
            let others = self.holders.iter().filter(move |(other, _)| **other != id);
            others.filter(|(_, h)| h.kind == HolderKind::IncompleteBody && 0 < h.bytes)
        };
        let silent = others().filter(|(_, h)| h.charged_at + STALLED_AFTER <= now);
        if let Some((found, _)) = silent.min_by_key(|(_, h)| h.charged_at) {
            return Some(*found);
        }
        let is_body = self.holders.get(&id).is_some_and(|h| h.kind == HolderKind::IncompleteBody);
        let is_newer = |other: HolderId| !is_body || id < other;
        let large = others().rev().find(|(_, h)| SMALL_BYTES < h.bytes).map(|(other, _)| *other);
        match large {
            Some(other) if total <= SMALL_BYTES || is_newer(other) => return Some(other),
            // A large body gives way before all small ones.
            _ if SMALL_BYTES < total && is_body => return None,
            _ => {}
        }
        others().next_back().map(|(other, _)| *other).filter(|other| is_newer(*other))
    }
}
