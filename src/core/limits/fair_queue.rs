//! The request queue of an endpoint: start-time fair queueing over flows, which are
//! pairs of tenant and class. Items that can no longer start in time are removed.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use crate::core::ids::{ClassName, TenantName};

// Factor by which each step of priority multiplies the share of a flow. Priority is not
// strict, so that no class starves.
const PRIORITY_FACTOR: f64 = 2.0;
const LOWEST_PRIORITY: u64 = 9;

/// Tenant and class of a request, with the values that determine its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The tenant.
    pub tenant: TenantName,
    /// The class.
    pub class: ClassName,
    /// Weight relative to other tenants.
    pub weight: u64,
    /// Priority of the class, from 0 (highest) to 9.
    pub priority: u64,
}

impl Flow {
    fn share(&self) -> f64 {
        let steps = LOWEST_PRIORITY.saturating_sub(self.priority) as i32;
        self.weight.max(1) as f64 * PRIORITY_FACTOR.powi(steps)
    }
}

type FlowKey = (TenantName, ClassName);

#[derive(Debug)]
struct QueuedItem<T> {
    latest_start: Instant,
    item: T,
}

/// Queued items of one flow.
#[derive(Debug)]
struct Backlog<T> {
    share: f64,
    /// Virtual start time of the next item.
    virtual_start: f64,
    items: VecDeque<QueuedItem<T>>,
}

/// An item that was removed from the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// Must be started now.
    Start(T),
    /// Can no longer start in time. It was not started.
    Expired(T),
}

/// A weighted fair queue of limited length.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::{FairQueue, Flow, Popped};
/// let now = Instant::now();
/// let flow = Flow { tenant: "t".into(), class: "c".into(), weight: 1, priority: 0 };
/// let mut queue = FairQueue::new(8);
/// queue.push(&flow, now + Duration::from_secs(1), "request").unwrap();
/// assert_eq!(queue.pop(now), Some(Popped::Start("request")));
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    len: usize,
    virtual_time: f64,
    flows: BTreeMap<FlowKey, Backlog<T>>,
    /// Virtual finish time of the last item of each flow without a backlog.
    idle_flows: HashMap<FlowKey, f64>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `limit` items.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            len: 0,
            virtual_time: 0.0,
            flows: BTreeMap::new(),
            idle_flows: HashMap::new(),
        }
    }

    /// Changes the limit. Items that are already queued stay, even above it.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated position of a new item of a flow; 1 would start next.
    pub fn position(&self, flow: &Flow) -> f64 {
        let key = (flow.tenant.clone(), flow.class.clone());
        let own = self.flows.get(&key).map_or(0, |q| q.items.len()) as f64 + 1.0;
        let others = self.flows.iter().filter(|(k, _)| **k != key);
        // Until the new item starts, each other flow starts items in proportion to its
        // share, but no more than it has queued.
        let before = others.map(|(_, q)| (own * q.share / flow.share()).min(q.items.len() as f64));
        own + before.sum::<f64>()
    }

    /// Appends an item that must start by `latest_start`.
    ///
    /// # Errors
    /// Returns the item when the queue is full.
    pub fn push(&mut self, flow: &Flow, latest_start: Instant, item: T) -> Result<(), T> {
        if self.limit <= self.len {
            return Err(item);
        }
        let key = (flow.tenant.clone(), flow.class.clone());
        let share = flow.share();
        let virtual_start = self.idle_flows.remove(&key).unwrap_or(0.0).max(self.virtual_time);
        let backlog = self.flows.entry(key).or_insert_with(|| Backlog {
            share,
            virtual_start,
            items: VecDeque::new(),
        });
        backlog.share = share;
        backlog.items.push_back(QueuedItem { latest_start, item });
        self.len += 1;
        Ok(())
    }

    /// Removes the next item: an expired one if there is any, else the one with the
    /// smallest virtual start time.
    pub fn pop(&mut self, now: Instant) -> Option<Popped<T>> {
        if let Some(item) = self.pop_expired(now) {
            return Some(Popped::Expired(item));
        }
        let next = self.flows.iter().min_by(|a, b| a.1.virtual_start.total_cmp(&b.1.virtual_start));
        let key = next?.0.clone();
        let backlog = self.flows.get_mut(&key)?;
        let queued = backlog.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(backlog.virtual_start);
        // Only started items are charged to their flow; charging expired ones too would
        // delay the next items of the flow until they expire as well.
        backlog.virtual_start += 1.0 / backlog.share;
        self.update_after_removal(&key);
        Some(Popped::Start(queued.item))
    }

    /// Removes one item that can no longer start in time.
    pub fn pop_expired(&mut self, now: Instant) -> Option<T> {
        let late = |q: &Backlog<T>| q.items.iter().position(|w| w.latest_start < now);
        let found = self.flows.iter().find_map(|(k, q)| Some((k.clone(), late(q)?)));
        let (key, index) = found?;
        let queued = self.flows.get_mut(&key)?.items.remove(index)?;
        self.update_after_removal(&key);
        Some(queued.item)
    }

    /// Removes and returns every item for which `selects` returns true.
    pub fn remove_where(&mut self, mut selects: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for backlog in self.flows.values_mut() {
            let (taken, kept): (VecDeque<_>, VecDeque<_>) =
                backlog.items.drain(..).partition(|w| selects(&w.item));
            backlog.items = kept;
            out.extend(taken.into_iter().map(|w| w.item));
        }
        self.flows.retain(|_, q| !q.items.is_empty());
        self.len -= out.len();
        out
    }

    fn update_after_removal(&mut self, key: &FlowKey) {
        self.len -= 1;
        if self.flows.get(key).is_some_and(|q| q.items.is_empty())
            && let Some(backlog) = self.flows.remove(key)
        {
            self.idle_flows.insert(key.clone(), backlog.virtual_start);
        }
        if self.len == 0 {
            // When nothing is queued, no flow is ahead of another.
            self.idle_flows.clear();
            self.virtual_time = 0.0;
        }
    }
}
