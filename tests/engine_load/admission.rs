//! The agents of the engines, which admit the prompts of all gateways.

use std::{net::SocketAddr, time::Duration};

use goldcrestpitch::core::admission::{Answer, Ask, PromptAdmission};

use crate::{
    engine::{EVENT_TOKENS, Job, KV_TOKENS, SLOTS},
    fleet::{ENGINES, Event, Fleet, LATENCY, engine_id},
    gateway::{PAUSE_TARGET, Policy},
    workload::CLASSES,
};

/// Interval at which an agent reads the report of its engine.
const AGENT_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait at an agent, as in the gateway.
const MAX_AGENT_WAIT: Duration = Duration::from_millis(250);
/// Shortest time for which an engine without room is not chosen, as in the gateway.
const MIN_FULL_TIME: Duration = Duration::from_millis(20);

pub fn agents() -> Vec<PromptAdmission> {
    let mut agent = PromptAdmission::default();
    agent.configure(SLOTS as u32, EVENT_TOKENS, KV_TOKENS);
    vec![agent; ENGINES]
}

fn address(gateway: usize) -> SocketAddr {
    ([127, 0, 0, 1], gateway as u16 + 1).into()
}

impl Fleet<'_> {
    /// Sends a request to an engine, or to its agent first.
    pub fn send(&mut self, engine: usize, job: Job) {
        match self.policy {
            Policy::Product => self.schedule(LATENCY, Event::AskAgent(engine, job)),
            _ => self.schedule(LATENCY, Event::AtEngine(engine, job)),
        }
    }

    pub fn ask_agent(&mut self, engine: usize, job: Job) {
        let (index, attempt) = job.id;
        let stream = &self.streams[index];
        if stream.attempt != attempt || stream.end.is_some() {
            return;
        }
        if !self.alive[engine] {
            return self.schedule(LATENCY, Event::AtEngine(engine, job));
        }
        let work = self.gateways[stream.gateway].dispatcher.prompt_work(stream.ticket);
        let ask = Ask {
            request: format!("{index}-{attempt}").into(),
            work: work.unwrap_or(job.prompt),
            kv_tokens: u64::from(job.prompt + job.output),
            priority: CLASSES[stream.class].priority,
            pause: PAUSE_TARGET,
            wait_until: self.now + MAX_AGENT_WAIT,
        };
        let id = (address(stream.gateway), stream.ticket);
        match self.agents[engine].ask(self.now, id, ask) {
            Answer::Admitted => self.schedule(LATENCY * 2, Event::AtEngine(engine, job)),
            Answer::Waits(_) => {
                self.held.insert(id, job);
                self.admit_later(engine);
            }
            Answer::Full(wait) => {
                let full = Event::Full(index, attempt, wait.max(MIN_FULL_TIME));
                self.schedule(LATENCY, full);
            }
        }
    }

    /// The gateway chooses again for a request that an agent turned away.
    pub fn choose_again(&mut self, index: usize, attempt: u32, full: Duration) {
        let stream = &mut self.streams[index];
        if stream.attempt != attempt || stream.end.is_some() {
            return;
        }
        let gateway = stream.gateway;
        if let Some(endpoint) = stream.endpoint.take() {
            self.gateways[gateway].not_sent(&endpoint);
        }
        self.gateways[gateway].dispatcher.requeue(self.now, self.streams[index].ticket, full);
        self.poll_soon(gateway);
    }

    pub fn admit_waiting(&mut self, engine: usize) {
        for id in self.agents[engine].take_admitted(self.now) {
            if let Some(job) = self.held.remove(&id) {
                self.schedule(LATENCY * 2, Event::AtEngine(engine, job));
            }
        }
        for (id, wait) in self.agents[engine].take_expired(self.now) {
            if let Some(job) = self.held.remove(&id) {
                let (index, attempt) = job.id;
                self.schedule(LATENCY, Event::Full(index, attempt, wait.max(MIN_FULL_TIME)));
            }
        }
        self.admit_later(engine);
    }

    fn admit_later(&mut self, engine: usize) {
        if let Some(at) = self.agents[engine].next_admission(self.now)
            && at < self.now + AGENT_INTERVAL
        {
            self.schedule(at - self.now, Event::Admit(engine));
        }
    }

    pub fn read_progress(&mut self, engine: usize) {
        self.schedule(AGENT_INTERVAL, Event::Progress(engine));
        if self.alive[engine] {
            let runs = self.engines[engine].runs();
            self.agents[engine].record_report(self.now, &runs);
            self.admit_waiting(engine);
        }
    }

    /// New gateways know which agents admit.
    pub fn set_admitting(&mut self) {
        for gateway in &mut self.gateways {
            for engine in 0..ENGINES {
                gateway.dispatcher.set_admits(&engine_id(engine), true);
            }
        }
    }

    pub fn withdraw(&mut self, index: usize) {
        let stream = &self.streams[index];
        let id = (address(stream.gateway), stream.ticket);
        if self.held.remove(&id).is_some() {
            let request = format!("{index}-{}", stream.attempt);
            self.agents.iter_mut().for_each(|agent| agent.withdraw(id, &request));
        }
    }
}
