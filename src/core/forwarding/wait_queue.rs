//! Requests that wait for an endpoint, in groups that the same endpoints can serve.
//!
//! What one request of a group waits for, the others wait for too, so that a decision looks at
//! few requests of each group, however many wait.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use crate::core::{
    forwarding::{RefusalReason, ServiceName, Ticket, dispatcher::QueuedRequest},
    ids::{EndpointId, ModelName, VersionId},
};

/// Order of requests: by priority, then those that can still meet their target, then by arrival.
pub(super) type QueueKey = (u8, bool, Ticket);

/// What decides which endpoints can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct GroupKey {
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    adapter: Option<Arc<str>>,
    version: Option<VersionId>,
    tried: Vec<EndpointId>,
}

/// Why no request of a group is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Blocked {
    pub(super) reason: RefusalReason,
    /// All endpoints limit their requests, so that each request has its place in turn.
    pub(super) all_limited: bool,
    /// When the first endpoint has rested, if all rest.
    pub(super) rest_ends_at: Option<Instant>,
}

impl Blocked {
    /// The endpoints that could serve the request are full.
    pub(super) const FULL: Self =
        Self { reason: RefusalReason::Full, all_limited: false, rest_ends_at: None };
}

#[derive(Clone, Debug, Default)]
struct Group {
    order: BTreeSet<QueueKey>,
    // The same by prompt length.
    sizes: BTreeSet<(u32, QueueKey)>,
    blocked: Option<Blocked>,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: Arc<QueuedRequest>,
    group: Arc<GroupKey>,
    key: QueueKey,
    check_at: Instant,
}

/// The waiting requests of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    requests: HashMap<Ticket, Waiting>,
    groups: HashMap<Arc<GroupKey>, Group>,
    by_model: HashMap<(ServiceName, Option<ModelName>), u32>,
    // When requests can no longer meet their target.
    late_at: BTreeSet<(Instant, Ticket)>,
    // When it is decided whether requests wait longer.
    check_at: BTreeSet<(Instant, Ticket)>,
}

impl WaitQueue {
    /// Adds a request, on which it is time to decide.
    pub(super) fn insert(&mut self, priority: u8, request: QueuedRequest) {
        let (ticket, check_at) = (request.ticket, request.since);
        let group = Arc::new(GroupKey::new(&request));
        let key = (priority, false, ticket);
        *self.by_model.entry(group.model_key()).or_default() += 1;
        self.late_at.insert((request.late_at(), ticket));
        self.check_at.insert((check_at, ticket));
        self.link(&group, key, request.requirements.prompt_tokens);
        let waiting = Waiting { request: Arc::new(request), group, key, check_at };
        self.requests.insert(ticket, waiting);
    }

    /// Removes a request, if it waits.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let Some(waiting) = self.requests.remove(&ticket) else { return };
        self.unlink(&waiting.group, waiting.key, waiting.request.requirements.prompt_tokens);
        self.check_at.remove(&(waiting.check_at, ticket));
        self.late_at.remove(&(waiting.request.late_at(), ticket));
        let model = waiting.group.model_key();
        if let Some(count) = self.by_model.get_mut(&model) {
            *count -= 1;
            if *count == 0 {
                self.by_model.remove(&model);
            }
        }
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Arc<QueuedRequest>> {
        self.requests.get(&ticket).map(|w| &w.request)
    }

    /// Priority of a request; the lowest if it does not wait.
    pub(super) fn priority_of(&self, ticket: Ticket) -> u8 {
        self.requests.get(&ticket).map_or(u8::MAX, |w| w.key.0)
    }

    pub(super) fn group_of(&self, ticket: Ticket) -> Option<&Arc<GroupKey>> {
        self.requests.get(&ticket).map(|w| &w.group)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests by service and model.
    pub(super) fn by_model(&self) -> &HashMap<(ServiceName, Option<ModelName>), u32> {
        &self.by_model
    }

    /// Moves requests that have become late behind the others of their priority.
    pub(super) fn mark_late(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.late_at.first().copied().filter(|(at, _)| *at < now) {
            self.late_at.remove(&(at, ticket));
            let Some(waiting) = self.requests.get_mut(&ticket) else { continue };
            let (priority, _, _) = waiting.key;
            let late = (priority, true, ticket);
            let before = std::mem::replace(&mut waiting.key, late);
            let tokens = waiting.request.requirements.prompt_tokens;
            let group = waiting.group.clone();
            self.unlink(&group, before, tokens);
            self.link(&group, late, tokens);
        }
    }

    /// The first request of each group.
    pub(super) fn heads(&self) -> impl Iterator<Item = (QueueKey, &Arc<GroupKey>)> {
        self.groups.iter().filter_map(|(group, g)| Some((*g.order.first()?, group)))
    }

    /// The first request of a group.
    pub(super) fn head(&self, group: &GroupKey) -> Option<QueueKey> {
        self.groups.get(group)?.order.first().copied()
    }

    /// The first request of a group after `key`.
    pub(super) fn next_after(&self, group: &GroupKey, key: QueueKey) -> Option<QueueKey> {
        let (priority, late, ticket) = key;
        let mut later = self.groups.get(group)?.order.range((priority, late, ticket + 1)..);
        later.next().copied()
    }

    /// The request with the shortest prompt of a group of which no request was sent when it was
    /// last decided on, unless each has its place in turn.
    pub(super) fn shortest_of_blocked(&self, group: &GroupKey) -> Option<Ticket> {
        let blocked = |g: &&Group| g.blocked.is_some_and(|blocked| !blocked.all_limited);
        let group = self.groups.get(group).filter(blocked)?;
        group.sizes.first().map(|(_, (_, _, ticket))| *ticket)
    }

    /// Records why no request of a group is sent. Returns whether that has changed, so that each
    /// of its requests may have to be refused.
    pub(super) fn block(&mut self, group: &GroupKey, blocked: Blocked) -> bool {
        let Some(group) = self.groups.get_mut(group) else { return false };
        group.blocked.replace(blocked) != Some(blocked)
    }

    /// The requests on which it is time to decide.
    pub(super) fn due(&self, now: Instant) -> Vec<Ticket> {
        let due = self.check_at.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, ticket)| *ticket).collect()
    }

    /// Sets when it is decided again whether a request waits longer.
    pub(super) fn check_again(&mut self, ticket: Ticket, at: Instant) {
        let Some(waiting) = self.requests.get_mut(&ticket) else { return };
        let before = std::mem::replace(&mut waiting.check_at, at);
        self.check_at.remove(&(before, ticket));
        self.check_at.insert((at, ticket));
    }

    /// All requests in order.
    pub(super) fn all(&self) -> Vec<Ticket> {
        let mut keys: Vec<QueueKey> = self.requests.values().map(|w| w.key).collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    fn link(&mut self, group: &Arc<GroupKey>, key: QueueKey, tokens: u32) {
        let group = self.groups.entry(group.clone()).or_default();
        group.order.insert(key);
        group.sizes.insert((tokens, key));
    }

    fn unlink(&mut self, key: &Arc<GroupKey>, position: QueueKey, tokens: u32) {
        let Some(group) = self.groups.get_mut(key) else { return };
        group.order.remove(&position);
        group.sizes.remove(&(tokens, position));
        if group.order.is_empty() {
            self.groups.remove(key);
        }
    }
}

impl GroupKey {
    fn new(request: &QueuedRequest) -> Self {
        let mut tried = request.tried.clone();
        tried.sort_unstable();
        Self {
            service: request.service.clone(),
            model: request.requirements.model.clone(),
            adapter: request.requirements.adapter.clone(),
            version: request.version,
            tried,
        }
    }

    fn model_key(&self) -> (ServiceName, Option<ModelName>) {
        (self.service.clone(), self.model.clone())
    }
}
