//! Decides which of the waiting requests to send or refuse.
//!
//! The work of a decision does not grow with the number of waiting requests: of those that the
//! same endpoints can serve, it looks at the one with the shortest prompt, at the first one if that
//! finds room, and at others when their time is up.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{
        Decision, EndpointRegistry, RefusalReason, RouteTable, Ticket, WantedAdapter,
        dispatcher::{Dispatcher, QueuedRequest, WANTED_ADAPTER_LIFETIME},
        selection::{Selection, unknown_model},
        wait_queue::{Blocked, GroupKey, QueueKey},
        waits::MIN_RETRY_AFTER,
    },
    ids::EndpointId,
};

/// Shortest time between two decisions on the waiting requests.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a request whose wait is over, and which is not refused, is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What was decided on one request.
enum Outcome {
    Decided(Decision),
    /// It waits until this time at least, for this reason.
    Waits(Blocked, Instant),
    /// Only avoided endpoints have room, to which it is not sent before this time.
    Postponed(Instant),
}

/// What became of the shortest prompt of a group.
enum Shortest {
    /// It finds no room, so that no other one does.
    Waits,
    /// It waits for another reason than before.
    LooksAtAll,
    /// It or the first request of the group was decided on.
    Sent,
    /// The first request of the group is to be looked at.
    First,
}

/// The first request of a group, apart from those that were looked at.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    key: QueueKey,
    group: Arc<GroupKey>,
    // All requests of the group are looked at.
    looks_at_all: bool,
}

/// The state of one round of decisions.
#[derive(Default)]
struct Round {
    decisions: Vec<(Ticket, Decision)>,
    // Requests that wait for each endpoint that limits them.
    queued: HashMap<EndpointId, usize>,
}

impl Dispatcher {
    /// Decides on the queued requests by priority and returns those sent or refused.
    pub fn poll(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
    ) -> Vec<(Ticket, Decision)> {
        self.polled_at = Some(now);
        self.wanted_adapters.retain(|_, since| now < *since + WANTED_ADAPTER_LIFETIME);
        self.limits.refill(now);
        self.model_loads.expire(now);
        self.queue.mark_late(now);
        let mut round = Round::default();
        if self.max_wait_until.is_some_and(|last| last <= now) {
            for ticket in self.queue.all() {
                self.examine(now, table, registry, ticket, &mut round);
            }
        }
        self.poll_groups(now, table, registry, &mut round);
        for ticket in self.queue.due(now) {
            self.examine(now, table, registry, ticket, &mut round);
        }
        round.decisions
    }

    /// Decides on a request that was queued just now, unless others wait for the same model: then
    /// it takes its turn.
    pub fn poll_new(
        &mut self,
        now: Instant,
        ticket: Ticket,
        table: &RouteTable,
        registry: &EndpointRegistry,
    ) -> Option<Decision> {
        let group = self.queue.group_of(ticket)?;
        let model = (group.service.clone(), group.model.clone());
        if self.queue.by_model().get(&model).is_some_and(|count| 1 < *count) {
            return None;
        }
        self.limits.refill(now);
        let mut round = Round::default();
        self.examine(now, table, registry, ticket, &mut round);
        round.decisions.pop().map(|(_, decision)| decision)
    }

    /// When [`Self::poll`] is to be called next, after something has changed.
    pub fn next_poll(&self) -> Option<Instant> {
        self.polled_at.map(|at| at + MIN_POLL_INTERVAL)
    }

    fn poll_groups(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
        round: &mut Round,
    ) {
        let heads = self.queue.heads();
        let mut heads: BinaryHeap<Reverse<Head>> = heads
            .map(|(key, group)| Reverse(Head { key, group: group.clone(), looks_at_all: false }))
            .collect();
        while let Some(Reverse(mut head)) = heads.pop() {
            let (_, _, ticket) = head.key;
            if !head.looks_at_all {
                match self.poll_shortest(now, table, registry, &head, round) {
                    Shortest::LooksAtAll => head.looks_at_all = true,
                    Shortest::Waits => continue,
                    Shortest::Sent => {
                        let key = self.queue.head(&head.group);
                        heads.extend(key.map(|key| Reverse(Head { key, ..head })));
                        continue;
                    }
                    Shortest::First => {}
                }
            }
            if let Some(blocked) = self.examine(now, table, registry, ticket, round) {
                head.looks_at_all |= self.queue.block(&head.group, blocked) || blocked.all_limited;
                if !head.looks_at_all {
                    continue;
                }
            }
            if let Some(key) = self.queue.next_after(&head.group, head.key) {
                heads.push(Reverse(Head { key, ..head }));
            }
        }
    }

    /// Looks at the shortest prompt of a group in which none found room before: if that one finds
    /// none, no other does. It is sent only if the first request of the group still finds none.
    fn poll_shortest(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
        head: &Head,
        round: &mut Round,
    ) -> Shortest {
        let (_, _, first) = head.key;
        let shortest = self.queue.shortest_of_blocked(&head.group).filter(|t| *t != first);
        let Some(request) = shortest.and_then(|t| self.queue.get(t)).cloned() else {
            return Shortest::First;
        };
        // If all are looked at, this one takes its place behind those before it.
        let mut queued = round.queued.clone();
        match self.decide(now, table, registry, &request, &mut queued) {
            Outcome::Waits(blocked, _) if self.queue.block(&head.group, blocked) => {
                Shortest::LooksAtAll
            }
            Outcome::Waits(_, until) => {
                self.queue.check_again(request.ticket, until.max(now + RECHECK_INTERVAL));
                round.queued = queued;
                Shortest::Waits
            }
            // One that has waited longer may be sent.
            Outcome::Postponed(until) => {
                self.queue.check_again(request.ticket, until);
                Shortest::First
            }
            Outcome::Decided(decision) => {
                let is_sent = matches!(decision, Decision::Send(_));
                if is_sent && self.examine(now, table, registry, first, round).is_none() {
                    return Shortest::Sent;
                }
                self.carry_out(now, &request, decision, round);
                Shortest::Sent
            }
        }
    }

    /// Decides on one request. Returns why it waits.
    fn examine(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
        ticket: Ticket,
        round: &mut Round,
    ) -> Option<Blocked> {
        let request = self.queue.get(ticket)?.clone();
        match self.decide(now, table, registry, &request, &mut round.queued) {
            Outcome::Waits(blocked, until) => {
                self.queue.check_again(ticket, until.max(now + RECHECK_INTERVAL));
                Some(blocked)
            }
            Outcome::Postponed(until) => {
                self.queue.check_again(ticket, until);
                Some(Blocked::FULL)
            }
            Outcome::Decided(decision) => {
                self.carry_out(now, &request, decision, round);
                None
            }
        }
    }

    fn carry_out(
        &mut self,
        now: Instant,
        request: &Arc<QueuedRequest>,
        decision: Decision,
        round: &mut Round,
    ) {
        let priority = self.queue.priority_of(request.ticket);
        self.queue.remove(request.ticket);
        if let Decision::Send(endpoint) = &decision {
            self.start(now, priority, request, endpoint);
        }
        round.decisions.push((request.ticket, decision));
    }

    fn decide(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
        request: &QueuedRequest,
        queued: &mut HashMap<EndpointId, usize>,
    ) -> Outcome {
        let refuse = |reason, delay| Outcome::Decided(Decision::Refuse(reason, delay));
        let Some(service) = table.service(&request.service) else {
            return refuse(RefusalReason::UnknownService, MIN_RETRY_AFTER);
        };
        if let Some(reason) = unknown_model(service, &request.requirements) {
            return refuse(reason, MIN_RETRY_AFTER);
        }
        let Selection {
            best,
            exists,
            usable,
            resident,
            all_limited,
            limited,
            resting,
            spreads,
            only_avoided,
        } = self.select_endpoint(now, registry, service, request);
        if request.version.is_some() && !exists {
            return refuse(RefusalReason::NoVersion, Duration::ZERO);
        }
        let avoided_from = self.avoided_from(request);
        if only_avoided && now < avoided_from {
            return Outcome::Postponed(avoided_from);
        }
        let until_allowed = match best {
            None => self.wait_for_limit(now, limited, queued),
            Some(_) => None,
        };
        match best {
            Some((endpoint, None)) => return Outcome::Decided(Decision::Send(endpoint)),
            Some((_, Some(wanted))) => {
                self.want_adapter(now, wanted);
            }
            None => {}
        }
        let reason = match (usable, resident) {
            (false, _) => RefusalReason::NoEndpoint,
            (true, false) => RefusalReason::NotResident,
            (true, true) => RefusalReason::Full,
        };
        let is_limited = resident && all_limited;
        let wait_reason = if is_limited { RefusalReason::Limited } else { reason };
        let until = self.wait_deadline(request, wait_reason);
        let must_end = self.max_wait_until.is_some_and(|last| last <= now);
        let rest_ends_at = resting.as_ref().map(|resting| now + self.rest(now, resting));
        let blocked = Blocked { reason, all_limited, rest_ends_at };
        if spreads && !must_end && now < request.deadline {
            return Outcome::Waits(blocked, until);
        }
        if let Some(resting) = resting
            && rest_ends_at.is_some_and(|end| until <= end)
        {
            return Outcome::Decided(self.refuse_resting(now, &resting));
        }
        if let Some(wait) = until_allowed.filter(|wait| all_limited && until <= now + *wait) {
            return Outcome::Decided(self.refuse_limited(wait));
        }
        if reason == RefusalReason::NotResident
            && let Some(time) = self.time_until_loaded(now, registry, service, request)
            && until < now + time
        {
            return Outcome::Decided(self.refuse_not_resident(time));
        }
        if now < until {
            return Outcome::Waits(blocked, until);
        }
        refuse(reason, self.retry_after())
    }

    fn want_adapter(&mut self, now: Instant, wanted: WantedAdapter) {
        self.wanted_adapters.entry(wanted).or_insert_with(|| {
            self.adapter_wanted = true;
            now
        });
    }
}
