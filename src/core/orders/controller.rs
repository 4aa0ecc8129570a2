//! Decides which order an engine gets next, so that its memory is never
//! overcommitted however late, lost or doubled orders and answers are.
//!
//! One order is outstanding at a time and is sent again, under a new number,
//! until it is answered. An engine that ignores fencing numbers may carry out
//! an old copy as long as `order_delay_max` after it was sent; no order that
//! such a copy would undo is sent before that.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{Incarnation, Mib},
    memory::{InsufficientMemory, Ledger, ReservationState, Resource},
    orders::{EngineState, FencingToken, Order, OrderResult, Role},
};

const RESEND_AFTER: Duration = Duration::from_millis(500);

/// What the controller knows of its engine.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Accelerator memory, MiB.
    pub capacity: Mib,
    /// The engine refuses orders with an old number.
    pub checks_fencing: bool,
    /// Longest time an order may be on its way.
    pub order_delay_max: Duration,
    /// Larger than the incarnation of every earlier agent of this engine.
    pub incarnation: Incarnation,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The engine answered an order.
    Answered {
        /// Number of the order.
        number: FencingToken,
        /// The answer.
        result: OrderResult,
    },
    /// No answer to an order came.
    NoAnswer {
        /// Number of the order.
        number: FencingToken,
    },
    /// The engine's state, asked for by [`Action::ReadState`].
    StateRead(EngineState),
    /// The engine's state could not be read.
    StateUnavailable,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the engine.
    Send {
        /// Its number.
        number: FencingToken,
        /// The order.
        order: Order,
    },
    /// Read the engine's state.
    ReadState,
}

#[derive(Clone, Debug)]
struct Outstanding {
    number: FencingToken,
    order: Order,
    resend_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Orders of an earlier agent may still arrive.
    Settling {
        until: Instant,
    },
    /// The next state that is read is taken as the truth.
    Adopting,
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
/// // The first order raises the fencing number, so that older orders are refused.
/// let Some(Action::Send { number, order: Order::Barrier }) = controller.poll(now) else { panic!() };
/// controller.handle_event(now, Event::Answered { number, result: OrderResult::Done });
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
    reading: bool,
    queue: VecDeque<Order>,
    // When the last copy of an order on a resource has arrived at the latest.
    quiet_at: BTreeMap<Resource, Instant>,
    // The last kind of order on a resource, to tell repeats from reversals.
    last: BTreeMap<Resource, Order>,
}

impl Controller {
    /// A controller whose engine may still get orders of an earlier agent.
    pub fn new(settings: ControllerSettings, now: Instant) -> Self {
        let ledger = Ledger::new(settings.capacity);
        let until = now + settings.order_delay_max;
        let mut me = Self {
            settings,
            ledger,
            role: Role::default(),
            phase: Phase::Settling { until },
            counter: 0,
            outstanding: None,
            reading: false,
            queue: VecDeque::new(),
            quiet_at: BTreeMap::new(),
            last: BTreeMap::new(),
        };
        if me.settings.checks_fencing {
            me.queue.push_back(Order::Barrier);
        }
        me
    }

    /// The memory accounting.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The role that was last confirmed.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The engine's state was adopted; orders may be given.
    pub fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Whether the engine confirmed a resource and no unload of it was begun.
    pub fn is_resident(&self, resource: &Resource) -> bool {
        let reservation = self.ledger.reservation(resource);
        reservation.is_some_and(|s| s.state == ReservationState::Resident)
    }

    /// Reserves memory and queues a load. Does nothing for what is loaded or loading.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when memory must be freed first, or while an unload of the same
    /// resource or the engine's first state is awaited.
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

    /// Queues an unload of a resident resource. The caller lets its requests end first.
    pub fn unload(&mut self, resource: &Resource) {
        if !self.is_resident(resource) {
            return;
        }
        self.ledger.mark_unloading(resource);
        self.queue.push_back(Order::Unload { resource: resource.clone() });
    }

    /// Queues a change of role, counting the larger KV cache until it is confirmed.
    ///
    /// # Errors
    /// [`InsufficientMemory`] when the new KV cache does not fit, or while another change is awaited.
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

    /// Takes an event in.
    pub fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Answered { number, result } => self.answered(number, result),
            Event::NoAnswer { number } => self.no_answer(now, number),
            Event::StateRead(state) => self.state_read(&state),
            Event::StateUnavailable => self.reading = false,
            Event::Tick => {}
        }
    }

    /// Returns what to do next, or nothing. To be called after each event until it returns nothing.
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        if self.reading {
            return None;
        }
        if let Some(outstanding) = &self.outstanding {
            let due = outstanding.resend_at.is_some_and(|at| at <= now);
            let order = outstanding.order.clone();
            return due.then(|| self.send(now, order));
        }
        if let Phase::Settling { until } = self.phase {
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
            self.reading = true;
            return Some(Action::ReadState);
        }
        let next = self.queue.iter().position(|order| self.allowed(now, order))?;
        let order = self.queue.remove(next)?;
        Some(self.send(now, order))
    }

    /// Asks for the engine's state between orders, to notice a restarted engine.
    pub fn refresh(&mut self) -> Option<Action> {
        let busy = self.reading || self.outstanding.is_some() || !self.queue.is_empty();
        if busy || !self.is_running() {
            return None;
        }
        self.reading = true;
        Some(Action::ReadState)
    }

    fn allowed(&self, now: Instant, order: &Order) -> bool {
        let Some(resource) = order.resource() else {
            return true;
        };
        if self.settings.checks_fencing || self.last.get(resource) == Some(order) {
            return true;
        }
        self.quiet_at.get(resource).is_none_or(|at| *at < now)
    }

    fn send(&mut self, now: Instant, order: Order) -> Action {
        self.counter += 1;
        let number = FencingToken { incarnation: self.settings.incarnation, counter: self.counter };
        if let Some(resource) = order.resource() {
            self.quiet_at.insert(resource.clone(), now + self.settings.order_delay_max);
            self.last.insert(resource.clone(), order.clone());
        }
        self.outstanding = Some(Outstanding { number, order: order.clone(), resend_at: None });
        Action::Send { number, order }
    }

    fn no_answer(&mut self, now: Instant, number: FencingToken) {
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        if outstanding.number == number {
            outstanding.resend_at = Some(now + RESEND_AFTER);
        }
    }

    fn answered(&mut self, number: FencingToken, result: OrderResult) {
        let Some(outstanding) = self.outstanding.take_if(|o| o.number == number) else {
            return;
        };
        match result {
            OrderResult::Done => self.done(outstanding.order),
            OrderResult::OldNumber { seen } => {
                let next = seen.incarnation.saturating_add(1);
                self.settings.incarnation = self.settings.incarnation.max(next);
                self.queue.push_front(outstanding.order);
            }
            OrderResult::Failed { .. } => self.failed(outstanding.order),
        }
    }

    fn done(&mut self, order: Order) {
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

    fn failed(&mut self, order: Order) {
        match order {
            // A late copy of the load may yet succeed; its unload settles that.
            Order::Load { resource, .. } => {
                self.ledger.mark_unloading(&resource);
                self.queue.push_back(Order::Unload { resource });
            }
            Order::Barrier => self.queue.push_front(Order::Barrier),
            Order::Unload { .. } | Order::SetRole { .. } => self.queue.push_back(order),
        }
    }

    fn state_read(&mut self, state: &EngineState) {
        self.reading = false;
        match self.phase {
            Phase::Settling { .. } => {}
            Phase::Adopting => self.adopt(state),
            Phase::Running => self.reconcile(state),
        }
    }

    fn adopt(&mut self, state: &EngineState) {
        self.role = state.role;
        for (resource, size) in &state.held {
            self.ledger.confirm(resource, *size);
        }
        for resource in &state.loading {
            self.requeue_load(state, resource);
        }
        self.phase = Phase::Running;
    }

    /// Orders a resource again that the engine is still loading, to learn when it is done.
    fn requeue_load(&mut self, state: &EngineState, resource: &Resource) {
        let Some((_, size)) = state.held.iter().find(|(r, _)| r == resource) else {
            return;
        };
        if self.ledger.reserve(resource.clone(), *size).is_ok() {
            self.queue.push_back(Order::Load { resource: resource.clone(), size: *size });
        }
    }

    /// Compares the engine with the ledger while no order is outstanding. What
    /// the engine has lost is ordered again under the reservation that it has.
    fn reconcile(&mut self, state: &EngineState) {
        for (resource, size) in &state.held {
            if self.ledger.reservation(resource).is_none() {
                self.ledger.confirm(resource, *size);
            }
        }
        let held = |r: &Resource| state.held.iter().any(|(h, _)| h == r);
        let gone: Vec<(Resource, Mib)> = self
            .ledger
            .reservations()
            .filter(|(r, reservation)| reservation.state == ReservationState::Resident && !held(r))
            .map(|(r, reservation)| (r.clone(), reservation.size))
            .collect();
        for (resource, size) in gone {
            // The reservation is there already, so there is room.
            let _ = self.ledger.reserve(resource.clone(), size);
            self.queue.push_back(match resource {
                Resource::KvCache => Order::SetRole { role: self.role, kv_cache: size },
                _ => Order::Load { resource, size },
            });
        }
    }
}
