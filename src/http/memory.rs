//! Buffers that are charged to the byte budget of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use metrics::{counter, gauge};
use tokio::sync::Notify;

use crate::{
    core::limits::{BudgetShort, ByteBudget, HolderId, HolderKind, ProcessLimits},
    telemetry::names,
};

/// Charged for each request and response besides its body: head, tasks and read buffers.
const OVERHEAD_BYTES: usize = 16 * 1024;
const MIN_CAPACITY: usize = 1024;

#[derive(Debug)]
struct Table {
    budget: ByteBudget,
    // Only buffers that may be removed before their owner drops them.
    slots: HashMap<HolderId, Arc<Slot>>,
}

#[derive(Debug, Default)]
struct Slot {
    buf: Mutex<Vec<u8>>,
    removed: Notify,
}

/// The byte budget of a process. Clones share it.
///
/// ```
/// use goldcrestpitch::{core::limits::ProcessLimits, http::MemoryBudget};
/// let budget = MemoryBudget::new(&ProcessLimits::default());
/// let mut buffer = budget.body(100);
/// buffer.push(b"body").unwrap();
/// assert_eq!(buffer.finish(), &b"body"[..]);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    table: Arc<Mutex<Table>>,
}

impl MemoryBudget {
    /// Creates the budget of a process.
    pub fn new(limits: &ProcessLimits) -> Self {
        let budget = ByteBudget::new(limits.held_bytes());
        Self { table: Arc::new(Mutex::new(Table { budget, slots: HashMap::new() })) }
    }

    /// A buffer for a request body of at most `max_bytes`; it may have to give way.
    pub fn body(&self, max_bytes: usize) -> HeldBuffer {
        self.open(HolderKind::IncompleteBody, max_bytes)
    }

    /// A buffer for a response of at most `max_bytes`.
    pub fn response(&self, max_bytes: usize) -> HeldBuffer {
        self.open(HolderKind::Response, max_bytes)
    }

    fn open(&self, kind: HolderKind, max_bytes: usize) -> HeldBuffer {
        let slot = Arc::new(Slot::default());
        let mut table = self.lock();
        let id = table.budget.open(Instant::now(), kind);
        if kind == HolderKind::IncompleteBody {
            table.slots.insert(id, slot.clone());
        }
        drop(table);
        HeldBuffer { held: Held { budget: self.clone(), id }, slot, charged: 0, max_bytes }
    }

    /// Sets the gauges of held bytes.
    pub(super) fn record_metrics(&self) {
        let table = self.lock();
        let kinds = [
            ("incomplete_body", HolderKind::IncompleteBody),
            ("request", HolderKind::Request),
            ("response", HolderKind::Response),
        ];
        for (name, kind) in kinds {
            gauge!(names::HELD_BYTES, "kind" => name).set(table.budget.held_by(kind) as f64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn charge(&self, id: HolderId, bytes: usize) -> Result<(), BudgetShort> {
        let mut table = self.lock();
        let removed = table.budget.charge(Instant::now(), id, bytes);
        let is_short = removed.is_err() || !table.budget.contains(id);
        for other in removed.unwrap_or_default() {
            if let Some(slot) = table.slots.remove(&other) {
                // Freed here: the task that reads the body may run only later.
                drop(std::mem::take(&mut *slot.lock()));
                slot.removed.notify_one();
                counter!(names::LIMIT_REFUSALS, "cause" => "body_removed").increment(1);
            }
        }
        if is_short {
            counter!(names::LIMIT_REFUSALS, "cause" => "memory").increment(1);
            return Err(BudgetShort);
        }
        Ok(())
    }
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.buf.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of a holder, which ends when it is dropped.
#[derive(Debug)]
struct Held {
    budget: MemoryBudget,
    id: HolderId,
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut table = self.budget.lock();
        table.budget.release(self.id);
        table.slots.remove(&self.id);
    }
}

/// A growing buffer that is charged at its capacity.
#[derive(Debug)]
pub struct HeldBuffer {
    held: Held,
    slot: Arc<Slot>,
    charged: usize,
    max_bytes: usize,
}

impl HeldBuffer {
    /// Appends bytes. Small pieces are copied, so that they pin no larger read buffer.
    ///
    /// # Errors
    /// [`BudgetShort`] if the budget is short and this buffer gives way.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BudgetShort> {
        let budget = &self.held.budget;
        let (len, capacity) = {
            let buf = self.slot.lock();
            (buf.len() + data.len(), buf.capacity())
        };
        let wanted = match len <= capacity {
            true => capacity,
            false => (2 * capacity).min(self.max_bytes).max(len).max(MIN_CAPACITY),
        };
        let total = OVERHEAD_BYTES + wanted;
        if self.charged < total {
            budget.charge(self.held.id, total - self.charged)?;
            self.charged = total;
        } else {
            let mut table = budget.lock();
            if !table.budget.contains(self.held.id) {
                return Err(BudgetShort);
            }
            table.budget.touch(Instant::now(), self.held.id);
        }
        let mut buf = self.slot.lock();
        let more = wanted.saturating_sub(buf.len());
        buf.reserve_exact(more);
        buf.extend_from_slice(data);
        Ok(())
    }

    /// Waits until the buffer had to give way.
    pub(super) async fn removed(&self) {
        self.slot.removed.notified().await;
    }

    /// The complete content; the charge ends when the last clone is dropped.
    pub fn finish(self) -> Bytes {
        let mut table = self.held.budget.lock();
        if table.slots.remove(&self.held.id).is_some() {
            table.budget.set_kind(self.held.id, HolderKind::Request);
        }
        drop(table);
        let buf = std::mem::take(&mut *self.slot.lock());
        Bytes::from_owner(HeldBytes { buf, _held: self.held })
    }
}

struct HeldBytes {
    buf: Vec<u8>,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
