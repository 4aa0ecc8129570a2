//! The queue before an endpoint: start-time fair queueing over tenants and
//! classes, with entries that cannot start before their deadline taken out.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use crate::core::ids::{ClassName, TenantName};

// One step of priority is worth this factor of share, so that no class starves.
const PRIORITY_FACTOR: f64 = 2.0;
const LOWEST_PRIORITY: u64 = 9;

/// Who a request is for and what share it has.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The tenant.
    pub tenant: TenantName,
    /// The class.
    pub class: ClassName,
    /// Share against other tenants.
    pub weight: u64,
    /// Class priority; 0 goes first.
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
struct Waiting<T> {
    latest_start: Instant,
    item: T,
}

/// What waits of one flow.
#[derive(Debug)]
struct Backlog<T> {
    share: f64,
    /// Virtual time at which its next item starts.
    start: f64,
    items: VecDeque<Waiting<T>>,
}

/// What comes out of the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// To be started now.
    Start(T),
    /// Can no longer start in time and was not started.
    Expired(T),
}

/// A weighted fair queue with a limit.
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
    clock: f64,
    flows: BTreeMap<FlowKey, Backlog<T>>,
    /// Virtual time up to which flows without a backlog are served.
    finish: HashMap<FlowKey, f64>,
}

impl<T> FairQueue<T> {
    /// An empty queue for at most `limit` items.
    pub fn new(limit: usize) -> Self {
        Self { limit, len: 0, clock: 0.0, flows: BTreeMap::new(), finish: HashMap::new() }
    }

    /// Changes the limit; items over it stay.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Items that would start before a new one of a flow, that one included.
    pub fn position(&self, flow: &Flow) -> f64 {
        let key = (flow.tenant.clone(), flow.class.clone());
        let own = self.flows.get(&key).map_or(0, |q| q.items.len()) as f64 + 1.0;
        let others = self.flows.iter().filter(|(k, _)| **k != key);
        // While it waits, each other flow gets its share, if it has so much to send.
        let before = others.map(|(_, q)| (own * q.share / flow.share()).min(q.items.len() as f64));
        own + before.sum::<f64>()
    }

    /// Adds an item that must start by `latest_start`.
    ///
    /// # Errors
    /// Gives the item back when the queue is full.
    pub fn push(&mut self, flow: &Flow, latest_start: Instant, item: T) -> Result<(), T> {
        if self.limit <= self.len {
            return Err(item);
        }
        let key = (flow.tenant.clone(), flow.class.clone());
        let share = flow.share();
        let start = self.finish.remove(&key).unwrap_or(0.0).max(self.clock);
        let backlog = self.flows.entry(key).or_insert_with(|| Backlog {
            share,
            start,
            items: VecDeque::new(),
        });
        backlog.share = share;
        backlog.items.push_back(Waiting { latest_start, item });
        self.len += 1;
        Ok(())
    }

    /// Takes the next item out: one that expired, else the one with the smallest start time.
    pub fn pop(&mut self, now: Instant) -> Option<Popped<T>> {
        if let Some(item) = self.pop_expired(now) {
            return Some(Popped::Expired(item));
        }
        let next = self.flows.iter().min_by(|a, b| a.1.start.total_cmp(&b.1.start));
        let key = next?.0.clone();
        let backlog = self.flows.get_mut(&key)?;
        let waiting = backlog.items.pop_front()?;
        self.clock = self.clock.max(backlog.start);
        // Only what is started is charged to its flow.
        backlog.start += 1.0 / backlog.share;
        self.removed(&key);
        Some(Popped::Start(waiting.item))
    }

    /// Takes out one item that can no longer start in time.
    pub fn pop_expired(&mut self, now: Instant) -> Option<T> {
        let late = |q: &Backlog<T>| q.items.iter().position(|w| w.latest_start < now);
        let found = self.flows.iter().find_map(|(k, q)| Some((k.clone(), late(q)?)));
        let (key, index) = found?;
        let waiting = self.flows.get_mut(&key)?.items.remove(index)?;
        self.removed(&key);
        Some(waiting.item)
    }

    /// Takes out every item that a test selects.
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

    fn removed(&mut self, key: &FlowKey) {
        self.len -= 1;
        if self.flows.get(key).is_some_and(|q| q.items.is_empty())
            && let Some(backlog) = self.flows.remove(key)
        {
            self.finish.insert(key.clone(), backlog.start);
        }
        if self.len == 0 {
            // With nothing waiting no flow is ahead of another.
            self.finish.clear();
            self.clock = 0.0;
        }
    }
}
