//! A model of an engine that keeps prompt segments: it prefills one prompt after the other, and
//! drops the least recently used segments where running requests need the memory.

use std::collections::VecDeque;

use goldcrestpitch::core::forwarding::{KeptSegment, LoadReport, Ticket};

use crate::setup::KV_TOKENS;

const PREFILL_TOKENS_PER_MS: f64 = 22.0;
const RECENT_MS: f64 = 300.0;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub gateway: usize,
    pub ticket: Option<Ticket>,
    pub arrived_ms: f64,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub decode_ms: f64,
    pub segments: Vec<KeptSegment>,
}

/// What an engine has done since the last step.
pub enum Event {
    /// The time of the first event, and the shared tokens that were found kept.
    First(Job, f64, u64),
    Ended(Job),
}

#[derive(Default)]
pub struct Engine {
    waiting: VecDeque<Job>,
    // The prompt that is prefilled, when that ends, and its shared tokens that were kept.
    prefilling: Option<(Job, f64, u64)>,
    running: Vec<(Job, f64)>,
    // The least recently used first.
    kept: VecDeque<KeptSegment>,
    recent: VecDeque<(f64, u32)>,
    free_from_ms: f64,
}

impl Engine {
    pub fn add(&mut self, now_ms: f64, job: Job) {
        self.recent.push_back((now_ms, job.prompt_tokens));
        self.waiting.push_back(job);
    }

    pub fn restart(&mut self) {
        self.kept.clear();
    }

    pub fn pending_tokens(&self) -> u64 {
        let all = self.waiting.iter().chain(self.prefilling.iter().map(|(job, ..)| job));
        all.map(|job| u64::from(job.prompt_tokens)).sum()
    }

    pub fn step(&mut self, now_ms: f64) -> Vec<Event> {
        let mut events = Vec::new();
        let (ended, running) = self.running.drain(..).partition(|(_, end)| *end <= now_ms);
        self.running = running;
        let ended: Vec<(Job, f64)> = ended;
        events.extend(ended.into_iter().map(|(job, _)| Event::Ended(job)));
        loop {
            match self.prefilling.take_if(|(_, end, _)| *end <= now_ms) {
                Some((job, end, found)) => {
                    self.free_from_ms = end;
                    self.keep(&job.segments);
                    self.running.push((job.clone(), end + job.decode_ms));
                    self.evict();
                    events.push(Event::First(job, end, found));
                }
                None if self.prefilling.is_some() => break,
                None => {
                    let Some(job) = self.waiting.pop_front() else { break };
                    let is_kept = |s: &&KeptSegment| self.kept.contains(s);
                    let found: Vec<_> = job.segments.iter().take_while(is_kept).copied().collect();
                    let tokens = |all: &[KeptSegment]| -> u64 {
                        all.iter().map(|s| u64::from(s.tokens)).sum()
                    };
                    let work = u64::from(job.prompt_tokens) - tokens(&found);
                    let shared = found.len().min(job.segments.len().saturating_sub(1));
                    let begin = self.free_from_ms.max(now_ms - 1.0);
                    let end = begin + work as f64 / PREFILL_TOKENS_PER_MS;
                    let found_shared = tokens(&found[..shared]);
                    self.keep(&found);
                    self.prefilling = Some((job, end, found_shared));
                }
            }
        }
        events
    }

    pub fn report(&mut self, now_ms: f64) -> LoadReport {
        self.recent.retain(|(at, _)| now_ms < at + RECENT_MS);
        let awaiting = (self.waiting.len() + usize::from(self.prefilling.is_some())) as u32;
        LoadReport {
            active: self.running.len() as u32 + u32::from(self.prefilling.is_some()),
            queued: self.waiting.len() as u32,
            awaiting_first_token: awaiting,
            recent_tokens: self.recent.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
            kv_used: self.used(),
            kv_total: KV_TOKENS,
        }
    }

    fn used(&self) -> u64 {
        let jobs = self.running.iter().map(|(job, _)| job);
        let jobs = jobs.chain(self.prefilling.iter().map(|(job, ..)| job));
        jobs.map(|job| u64::from(job.prompt_tokens + job.output_tokens)).sum()
    }

    fn keep(&mut self, segments: &[KeptSegment]) {
        self.kept.retain(|kept| !segments.contains(kept));
        // The last of a chain is dropped first.
        self.kept.extend(segments.iter().rev());
    }

    fn evict(&mut self) {
        let free = KV_TOKENS.saturating_sub(self.used());
        let mut kept: u64 = self.kept.iter().map(|s| u64::from(s.tokens)).sum();
        while free < kept {
            kept -= self.kept.pop_front().map_or(kept, |s| u64::from(s.tokens));
        }
    }
}
