//! State machine that sends orders to an engine without ever overcommitting its
//! memory, even when orders and answers are delayed, lost or duplicated.
//!
//! One order is outstanding at a time and is resent with a new fencing token until
//! it is answered. An engine that does not check fencing tokens may execute a stale
//! copy up to `order_delay_max` after it was sent; an order that such a copy could
//! undo is held back until then.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{Incarnation, Mib},
    memory::{InsufficientMemory, Ledger, ReservationState, Resource},
    orders::{EngineState, FencingToken, Order, OrderResult, Role},
};

/// Delay before an unanswered order is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Properties of the engine and of the agent that controls it.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Accelerator memory, MiB.
    pub capacity: Mib,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Longest time that an order can be in flight.
    pub order_delay_max: Duration,
    /// Incarnation of this agent; larger than that of every earlier agent of the engine.
    pub incarnation: Incarnation,
}

/// Input to [`Controller::handle_event`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The engine answered an order.
    Answered {
        /// Fencing token of the order.
        token: FencingToken,
        /// Result that the engine returned.
        result: OrderResult,
    },
    /// An order was not answered.
    NoAnswer {
        /// Fencing token of the order.
        token: FencingToken,
    },
    /// The engine's state, read for [`Action::ReadState`].
    StateRead(EngineState),
    /// The engine's state could not be read.
    StateUnavailable,
    /// Time has passed.
    Tick,
}

/// Action that the caller must execute and answer with an [`Event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the engine.
    Send {
        /// Fencing token of the order.
        token: FencingToken,
        /// Order to send.
        order: Order,
    },
    /// Read the engine's state.
    ReadState,
}

#[derive(Clone, Debug)]
struct Outstanding {
    token: FencingToken,
    order: Order,
    resend_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Orders of an earlier agent may still reach the engine.
    Quiescing { until: Instant },
    /// The next state read from the engine initializes the ledger.
    Adopting,
    /// Orders may be sent.
    Running,
}

/// The order state machine of one engine.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{memory::Resource, orders::*};
/// let settings = ControllerSettings {
///     capacity: 100,
///     checks_fencing: true,
///     order_delay_max: Duration::from_secs(2),
///     incarnation: 1,
/// };
/// let now = Instant::now();
/// let mut controller = Controller::new(settings, now);
/// // The first order raises the engine's fencing token, so that older orders are refused.
/// let Some(Action::Send { token, order: Order::Barrier }) = controller.poll(now) else { panic!() };
/// controller.handle_event(now, Event::Answered { token, result: OrderResult::Done });
/// assert_eq!(controller.poll(now), Some(Action::ReadState));
/// controller.handle_event(now, Event::StateRead(EngineState::default()));
/// controller.load(Resource::model("a", 1), 60).unwrap();
/// assert!(matches!(controller.poll(now), Some(Action::Send { order: Order::Load { .. }, .. })));
/// ```
#[derive(Clone, Debug)]
pub struct Controller {
    settings: ControllerSettings,
    ledger: Ledger,
    role: Role,
    phase: Phase,
    counter: u64,
    outstanding: Option<Outstanding>,
    reading_state: bool,
    queue: VecDeque<Order>,
    // Latest time at which a copy of an order for a resource can reach the engine.
    last_arrival_at: BTreeMap<Resource, Instant>,
    // The last order for each resource, to tell a repeat from a reversal.
    last_order: BTreeMap<Resource, Order>,
}

impl Controller {
    /// Creates a controller for an engine that may still receive orders of an earlier
    /// agent.
    pub fn new(settings: ControllerSettings, now: Instant) -> Self {
        let ledger = Ledger::new(settings.capacity);
        let until = now + settings.order_delay_max;
        let mut controller = Self {
            settings,
            ledger,
            role: Role::default(),
            phase: Phase::Quiescing { until },
            counter: 0,
            outstanding: None,
            reading_state: false,
            queue: VecDeque::new(),
            last_arrival_at: BTreeMap::new(),
            last_order: BTreeMap::new(),
        };
        if controller.settings.checks_fencing {
            controller.queue.push_back(Order::Barrier);
        }
        controller
    }

    /// The memory accounting.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The last role that the engine confirmed.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the engine's initial state has been read, so that orders may be queued.
    pub fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Whether the engine confirmed a resource as loaded and no unload of it has been
    /// queued.
    pub fn is_resident(&self, resource: &Resource) -> bool {
        let reservation = self.ledger.reservation(resource);
        reservation.is_some_and(|s| s.state == ReservationState::Resident)
    }

    /// Reserves memory and queues a load. Does nothing when the resource is already
    /// loaded or being loaded.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when memory must be freed first, while the resource is
    /// being unloaded, or before the engine's initial state has been read.
    pub fn load(&mut self, resource: Resource, size: Mib) -> Result<(), InsufficientMemory> {
        if !self.is_running() {
            return Err(InsufficientMemory { missing: size });
        }
        match self.ledger.reservation(&resource).map(|s| s.state) {
            Some(ReservationState::Loading | ReservationState::Resident) => return Ok(()),
            Some(ReservationState::Unloading) => return Err(InsufficientMemory { missing: size }),
            None => {}
        }
        self.ledger.reserve(resource.clone(), size)?;
        self.queue.push_back(Order::Load { resource, size });
        Ok(())
    }

    /// Queues an unload of a resident resource. The caller must let requests that use
    /// it finish first.
    pub fn unload(&mut self, resource: &Resource) {
        if !self.is_resident(resource) {
            return;
        }
        self.ledger.mark_unloading(resource);
        self.queue.push_back(Order::Unload { resource: resource.clone() });
    }

    /// Queues a role change. The larger of the old and the new KV cache counts as
    /// reserved until the engine confirms.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when the new KV cache does not fit, while another role
    /// change is pending, or before the engine's initial state has been read.
    pub fn set_role(&mut self, role: Role, kv_cache: Mib) -> Result<(), InsufficientMemory> {
        let reservation = self.ledger.reservation(&Resource::KvCache);
        let pending = reservation.is_some_and(|s| s.state != ReservationState::Resident);
        if pending || !self.is_running() {
            return Err(InsufficientMemory { missing: kv_cache });
        }
        self.ledger.reserve(Resource::KvCache, kv_cache)?;
        self.queue.push_back(Order::SetRole { role, kv_cache });
        Ok(())
    }

    /// Updates the state after an event.
    pub fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Answered { token, result } => self.handle_answer(token, result),
            Event::NoAnswer { token } => self.handle_no_answer(now, token),
            Event::StateRead(state) => self.handle_state(&state),
            Event::StateUnavailable => self.reading_state = false,
            Event::Tick => {}
        }
    }

    /// Returns the next action. Call it after each event until it returns `None`.
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        if self.reading_state {
            return None;
        }
        if let Some(outstanding) = &self.outstanding {
            let due = outstanding.resend_at.is_some_and(|at| at <= now);
            let order = outstanding.order.clone();
            return due.then(|| self.send(now, order));
        }
        if let Phase::Quiescing { until } = self.phase {
            if self.settings.checks_fencing {
                let order = self.queue.pop_front()?;
                return Some(self.send(now, order));
            }
            if now < until {
                return None;
            }
            self.phase = Phase::Adopting;
        }
        if self.phase == Phase::Adopting {
            self.reading_state = true;
            return Some(Action::ReadState);
        }
        let next = self.queue.iter().position(|order| self.may_send(now, order))?;
        let order = self.queue.remove(next)?;
        Some(self.send(now, order))
    }

    /// Reads the engine's state while no order is pending, to detect a restart of the
    /// engine.
    pub fn refresh(&mut self) -> Option<Action> {
        let busy = self.reading_state || self.outstanding.is_some() || !self.queue.is_empty();
        if busy || !self.is_running() {
            return None;
        }
        self.reading_state = true;
        Some(Action::ReadState)
    }

    fn may_send(&self, now: Instant, order: &Order) -> bool {
        let Some(resource) = order.resource() else {
            return true;
        };
        if self.settings.checks_fencing || self.last_order.get(resource) == Some(order) {
            return true;
        }
        self.last_arrival_at.get(resource).is_none_or(|at| *at < now)
    }

    fn send(&mut self, now: Instant, order: Order) -> Action {
        self.counter += 1;
        let token = FencingToken { incarnation: self.settings.incarnation, counter: self.counter };
        if let Some(resource) = order.resource() {
            self.last_arrival_at.insert(resource.clone(), now + self.settings.order_delay_max);
            self.last_order.insert(resource.clone(), order.clone());
        }
        self.outstanding = Some(Outstanding { token, order: order.clone(), resend_at: None });
        Action::Send { token, order }
    }

    fn handle_no_answer(&mut self, now: Instant, token: FencingToken) {
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        if outstanding.token == token {
            outstanding.resend_at = Some(now + RESEND_DELAY);
        }
    }

    fn handle_answer(&mut self, token: FencingToken, result: OrderResult) {
        let Some(outstanding) = self.outstanding.take_if(|o| o.token == token) else {
            return;
        };
        match result {
            OrderResult::Done => self.apply_done(outstanding.order),
            OrderResult::StaleToken { seen } => {
                let next = seen.incarnation.saturating_add(1);
                self.settings.incarnation = self.settings.incarnation.max(next);
                self.queue.push_front(outstanding.order);
            }
            OrderResult::Failed { .. } => self.apply_failed(outstanding.order),
        }
    }

    fn apply_done(&mut self, order: Order) {
        match order {
            Order::Barrier => self.phase = Phase::Adopting,
            Order::Load { resource, size } => self.ledger.confirm(&resource, size),
            Order::Unload { resource } => self.ledger.release(&resource),
            Order::SetRole { role, kv_cache } => {
                self.role = role;
                self.ledger.confirm(&Resource::KvCache, kv_cache);
            }
        }
    }

    fn apply_failed(&mut self, order: Order) {
        match order {
            // A delayed copy of the load may still succeed; the unload undoes it.
            Order::Load { resource, .. } => {
                self.ledger.mark_unloading(&resource);
                self.queue.push_back(Order::Unload { resource });
            }
            Order::Barrier => self.queue.push_front(Order::Barrier),
            Order::Unload { .. } | Order::SetRole { .. } => self.queue.push_back(order),
        }
    }

    fn handle_state(&mut self, state: &EngineState) {
        self.reading_state = false;
        match self.phase {
            Phase::Quiescing { .. } => {}
            Phase::Adopting => self.adopt(state),
            Phase::Running => self.reconcile(state),
        }
    }

    fn adopt(&mut self, state: &EngineState) {
        self.role = state.role;
        for (resource, size) in &state.allocated {
            self.ledger.confirm(resource, *size);
        }
        for resource in &state.loading {
            self.requeue_load(state, resource);
        }
        self.phase = Phase::Running;
    }

    /// Queues another load of a resource that the engine is still loading, to learn from
    /// the answer when it is loaded.
    fn requeue_load(&mut self, state: &EngineState, resource: &Resource) {
        let Some((_, size)) = state.allocated.iter().find(|(r, _)| r == resource) else {
            return;
        };
        if self.ledger.reserve(resource.clone(), *size).is_ok() {
            self.queue.push_back(Order::Load { resource: resource.clone(), size: *size });
        }
    }

    /// Compares the engine's state with the ledger while no order is outstanding.
    /// Resources that the engine has lost are ordered again under their existing
    /// reservation.
    fn reconcile(&mut self, state: &EngineState) {
        for (resource, size) in &state.allocated {
            if self.ledger.reservation(resource).is_none() {
                self.ledger.confirm(resource, *size);
            }
        }
        let is_allocated = |r: &Resource| state.allocated.iter().any(|(a, _)| a == r);
        let lost: Vec<(Resource, Mib)> = self
            .ledger
            .reservations()
            .filter(|(r, reservation)| {
                reservation.state == ReservationState::Resident && !is_allocated(r)
            })
            .map(|(r, reservation)| (r.clone(), reservation.size))
            .collect();
        for (resource, size) in lost {
            // Cannot fail: the existing reservation has the same size.
            let _ = self.ledger.reserve(resource.clone(), size);
            self.queue.push_back(match resource {
                Resource::KvCache => Order::SetRole { role: self.role, kv_cache: size },
                _ => Order::Load { resource, size },
            });
        }
    }
}
