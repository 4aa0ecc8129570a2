//! Carries out what the order controller decides.

use std::{sync::Arc, time::Instant};

use log::{info, warn};
use metrics::counter;

use crate::{
    agent::Backend,
    agent::shared::Shared,
    core::{
        memory::Resource,
        orders::{Action, Event, Order, OrderResult},
    },
    fleet::Log,
    telemetry::names,
    timers::Timers,
};

const IDLE: std::time::Duration = std::time::Duration::from_millis(200);
const REFRESH_PASSES: u32 = 5;

impl<B: Backend, L: Log> Shared<B, L> {
    /// Gives orders until the stop. Without an engine there is nothing to do.
    pub(super) async fn order_loop(self: Arc<Self>, timers: Timers) {
        let mut ticks = timers.every(IDLE);
        let mut stop = self.stop.clone();
        let mut idle = 0;
        while !*stop.borrow() {
            self.follow_plan();
            let action = {
                let mut core = self.lock();
                core.controller.as_mut().and_then(|c| c.poll(Instant::now()))
            };
            if let Some(action) = action {
                self.act(action).await;
                continue;
            }
            tokio::select! {
                () = ticks.next() => idle += 1,
                () = self.work.notified() => {}
                _ = stop.wait_for(|s| *s) => return,
            }
            if idle % REFRESH_PASSES == 0 {
                self.refresh().await;
            }
        }
    }

    async fn act(self: &Arc<Self>, action: Action) {
        let event = match action {
            Action::Send { number, order } => {
                info!("event=order number={number} order=\"{}\"", describe(&order));
                match self.backend.order(number, &order).await {
                    Ok(result) => {
                        count(&order, &result);
                        Event::Answered { number, result }
                    }
                    Err(err) => {
                        warn!("event=order_unanswered number={number} error=\"{err}\"");
                        Event::NoAnswer { number }
                    }
                }
            }
            Action::ReadState => self.read_state().await,
        };
        if let Some(controller) = &mut self.lock().controller {
            controller.handle_event(Instant::now(), event);
        }
        self.changed.notify_waiters();
    }

    async fn read_state(self: &Arc<Self>) -> Event {
        match self.backend.report().await {
            Ok(report) => {
                self.engine_answers(report.boot);
                Event::StateRead(report.state)
            }
            Err(_) => {
                self.lock().engine_up = false;
                Event::StateUnavailable
            }
        }
    }

    /// Reads the engine's state between orders, to notice that it restarted.
    async fn refresh(self: &Arc<Self>) {
        let action = self.lock().controller.as_mut().and_then(|c| c.refresh());
        if let Some(action) = action {
            self.act(action).await;
        }
    }

    /// Notes that the engine answers, and a crash when it was started anew.
    pub(super) fn engine_answers(self: &Arc<Self>, boot: u64) {
        let restarted = {
            let mut core = self.lock();
            let restarted = core.boot != 0 && core.boot != boot;
            core.boot = boot;
            restarted
        };
        if restarted {
            self.endpoint_crashed();
        }
        self.lock().engine_up = true;
    }
}

fn describe(order: &Order) -> String {
    match order {
        Order::Barrier => "barrier".to_owned(),
        Order::Load { resource, size } => format!("load {resource} {size}"),
        Order::Unload { resource } => format!("unload {resource}"),
        Order::SetRole { role, kv_cache } => format!("set_role {role:?} {kv_cache}"),
    }
}

fn count(order: &Order, result: &OrderResult) {
    let kind = |resource: &Resource| match resource {
        Resource::Model { .. } => "model",
        Resource::Adapter { .. } => "adapter",
        Resource::KvCache => "role",
    };
    if *result != OrderResult::Done {
        return;
    }
    let (kind, direction) = match order {
        Order::Barrier => return,
        Order::Load { resource, .. } => (kind(resource), "load"),
        Order::Unload { resource } => (kind(resource), "unload"),
        Order::SetRole { .. } => ("role", "shift"),
    };
    counter!(names::MOVES, "kind" => kind, "direction" => direction).increment(1);
}
