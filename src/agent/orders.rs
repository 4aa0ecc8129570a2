//! Executes the actions of the order controller: sends orders to the engine and reads its state.

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

const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);
const TICKS_PER_REFRESH: u32 = 5;

impl<B: Backend, L: Log> Shared<B, L> {
    /// Applies the plan and executes the controller's actions until the agent stops. A plain
    /// service has no controller, so nothing is sent to it.
    pub(super) async fn order_loop(self: Arc<Self>, timers: Timers) {
        let mut ticks = timers.every(POLL_INTERVAL);
        let mut stop = self.stop.clone();
        let mut tick_count = 0;
        while !*stop.borrow() {
            self.apply_plan();
            let action = {
                let mut state = self.lock();
                state.controller.as_mut().and_then(|c| c.poll(Instant::now()))
            };
            if let Some(action) = action {
                self.execute_action(action).await;
                continue;
            }
            tokio::select! {
                () = ticks.next() => tick_count += 1,
                () = self.order_wakeup.notified() => {}
                _ = stop.wait_for(|s| *s) => return,
            }
            if tick_count % TICKS_PER_REFRESH == 0 {
                self.refresh_engine_state().await;
            }
        }
    }

    /// Executes one action and passes its result to the controller.
    async fn execute_action(self: &Arc<Self>, action: Action) {
        let event = match action {
            Action::Send { token, order } => {
                info!("event=order number={token} order=\"{}\"", format_order(&order));
                match self.backend.send_order(token, &order).await {
                    Ok(result) => {
                        count_move(&order, &result);
                        Event::Answered { token, result }
                    }
                    Err(err) => {
                        warn!("event=order_unanswered number={token} error=\"{err}\"");
                        Event::NoAnswer { token }
                    }
                }
            }
            Action::ReadState => self.read_state().await,
        };
        if let Some(controller) = &mut self.lock().controller {
            controller.handle_event(Instant::now(), event);
        }
        self.state_changed.notify_waiters();
    }

    async fn read_state(self: &Arc<Self>) -> Event {
        match self.backend.report().await {
            Ok(report) => {
                self.handle_engine_report(report.boot);
                Event::StateRead(report.state)
            }
            Err(_) => {
                self.lock().engine_up = false;
                Event::StateUnavailable
            }
        }
    }

    /// Reads the engine's state while no order is pending, to detect a restart of the engine.
    async fn refresh_engine_state(self: &Arc<Self>) {
        let action = self.lock().controller.as_mut().and_then(|c| c.refresh());
        if let Some(action) = action {
            self.execute_action(action).await;
        }
    }

    /// Marks the engine as up after a report. A changed boot number means that it crashed and was
    /// restarted since the last report.
    pub(super) fn handle_engine_report(self: &Arc<Self>, boot: u64) {
        let restarted = {
            let mut state = self.lock();
            let restarted = state.last_boot != 0 && state.last_boot != boot;
            state.last_boot = boot;
            restarted
        };
        if restarted {
            self.handle_endpoint_crash();
        }
        self.lock().engine_up = true;
    }
}

/// The order as it appears in the log.
fn format_order(order: &Order) -> String {
    match order {
        Order::Barrier => "barrier".to_owned(),
        Order::Load { resource, size } => format!("load {resource} {size}"),
        Order::Unload { resource } => format!("unload {resource}"),
        Order::SetRole { role, kv_cache } => format!("set_role {role:?} {kv_cache}"),
    }
}

/// Counts an executed load, unload or role change.
fn count_move(order: &Order, result: &OrderResult) {
    let resource_kind = |resource: &Resource| match resource {
        Resource::Model { .. } => "model",
        Resource::Adapter { .. } => "adapter",
        Resource::KvCache => "role",
    };
    if *result != OrderResult::Done {
        return;
    }
    let (kind, direction) = match order {
        Order::Barrier => return,
        Order::Load { resource, .. } => (resource_kind(resource), "load"),
        Order::Unload { resource } => (resource_kind(resource), "unload"),
        Order::SetRole { .. } => ("role", "shift"),
    };
    counter!(names::MOVES, "kind" => kind, "direction" => direction).increment(1);
}
