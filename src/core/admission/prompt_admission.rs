//! Decides when the prompts that gateways have for one engine are sent to it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    admission::EnginePace, forwarding::PREFILL_TOKENS_PER_MS, residency::RunningRequest,
};

/// Share of the budget below which a prompt of any length is admitted.
const FREE_SHARE: f64 = 0.25;
/// Share of the budget that is open to each step of priority below the most urgent one, so that
/// urgent prompts find room in a burst of others.
const PRIORITY_STEP: f64 = 0.05;
const MIN_PRIORITY_SHARE: f64 = 0.7;
/// Smallest share of the pause that is given to prompts, also of a slow engine.
const MIN_READING_SHARE: f64 = 0.15;
/// Share of the KV cache that admitted requests may fill when they are complete.
const KV_SHARE: f64 = 0.97;
/// Time after which an admitted request that the engine does not report has ended or never
/// arrived: a connection and two network delays take 100 ms, and the report is 60 ms old.
const UNSEEN_FOR: Duration = Duration::from_millis(700);
/// Time after which any admitted request is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// Most prompts that wait.
const MAX_WAITING: usize = 512;

/// Identifies a question: the gateway and the number of the question. A request that asks again after
/// its question was given up has another one.
pub type AdmissionId = (SocketAddr, u64);

/// A prompt that a gateway has for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Request id, as the engine reports it.
    pub request: Arc<str>,
    /// Work to read the prompt, in tokens of the data sheet's engine.
    pub work: u32,
    /// KV cache tokens that the request occupies when it is complete.
    pub kv_tokens: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Longest pause of the request's stream that is on time.
    pub pause: Duration,
    /// Until when it may wait here.
    pub wait_until: Instant,
}

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It may be sent now.
    Admitted,
    /// It waits here and is admitted about this much later.
    Waits(Duration),
    /// The engine has no room for it before about this much later.
    Full(Duration),
}

#[derive(Clone, Debug)]
struct Admitted {
    id: AdmissionId,
    at: Instant,
    work: u32,
    kv_tokens: u64,
    seen: bool,
    reading: bool,
}

/// Prompts admitted to one engine and those that wait for it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::admission::{Answer, Ask, PromptAdmission};
/// use goldcrestpitch::core::residency::RunningRequest;
/// let now = Instant::now();
/// let ask = |id: &str| Ask {
///     request: id.into(), work: 3500, kv_tokens: 3600, priority: 0,
///     pause: Duration::from_millis(300), wait_until: now + Duration::from_millis(500),
/// };
/// let gateway = ([127, 0, 0, 1], 80).into();
/// let mut admission = PromptAdmission::default();
/// assert_eq!(admission.ask(now, (gateway, 1), ask("q1")), Answer::Admitted);
/// assert!(matches!(admission.ask(now, (gateway, 2), ask("q2")), Answer::Waits(_)));
/// let later = now + Duration::from_millis(300);
/// // The engine has read the first prompt.
/// admission.record_report(later, &[RunningRequest { id: "q1".into(), tokens: 3500, events: 1 }]);
/// assert_eq!(admission.take_admitted(later), [(gateway, 2)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromptAdmission {
    pace: EnginePace,
    slots: u32,
    tokens_per_event: u32,
    kv_capacity: u64,
    admitted: HashMap<Arc<str>, Admitted>,
    // When work was admitted, to bound what an event of a stream has to wait for.
    recent: VecDeque<(Instant, u32)>,
    // The longest pause that was named, for which `recent` reaches back.
    window: Duration,
    waiting: BTreeMap<(u8, u64), (AdmissionId, Ask)>,
    next: u64,
    // Requests of the last report that were not admitted here.
    unknown: u32,
    unknown_kv: u64,
}

impl PromptAdmission {
    /// Sets the engine's capacity; 0 where it is unknown.
    pub fn configure(&mut self, slots: u32, tokens_per_event: u32, kv_capacity: u64) {
        self.slots = slots;
        self.tokens_per_event = tokens_per_event;
        self.kv_capacity = kv_capacity;
    }

    /// Forgets all requests: the engine has started again.
    pub fn restart(&mut self) {
        self.pace = EnginePace::default();
        self.admitted.clear();
        self.recent.clear();
        (self.unknown, self.unknown_kv) = (0, 0);
    }

    /// Updates the admitted requests from a report of the engine.
    pub fn record_report(&mut self, now: Instant, runs: &[RunningRequest]) {
        self.pace.record(now, runs, PREFILL_TOKENS_PER_MS);
        let mut reported: HashMap<&Arc<str>, &RunningRequest> =
            runs.iter().map(|r| (&r.id, r)).collect();
        self.admitted.retain(|id, admitted| {
            let Some(run) = reported.remove(id) else {
                let gone = admitted.seen || admitted.at + UNSEEN_FOR <= now;
                return !gone && now < admitted.at + FORGOTTEN_AFTER;
            };
            admitted.seen = true;
            admitted.reading &= run.events == 0;
            true
        });
        self.unknown = reported.len() as u32;
        self.unknown_kv = reported.values().map(|r| r.tokens).sum();
    }

    /// Asks for the admission of a prompt. Asking the same question again changes nothing.
    pub fn ask(&mut self, now: Instant, id: AdmissionId, ask: Ask) -> Answer {
        if let Some(admitted) = self.admitted.get_mut(&ask.request) {
            admitted.id = id;
            return Answer::Admitted;
        }
        let known = self.waiting.iter().find(|(_, (known, _))| *known == id);
        let key = match known.map(|(key, _)| *key) {
            Some(key) => key,
            None => {
                self.next += 1;
                (ask.priority, self.next)
            }
        };
        let is_first = self.waiting.keys().next().is_none_or(|first| key <= *first);
        if is_first && self.room(now, &ask).is_zero() {
            self.waiting.remove(&key);
            self.admit(now, id, &ask);
            return Answer::Admitted;
        }
        let wait = self.wait(now, key, &ask);
        if ask.wait_until < now + wait || MAX_WAITING <= self.waiting.len() {
            self.waiting.remove(&key);
            return Answer::Full(wait);
        }
        self.waiting.insert(key, (id, ask));
        Answer::Waits(wait)
    }

    /// Withdraws a prompt that waits, or one that was admitted and was not sent, unless the request has
    /// asked another question since.
    pub fn withdraw(&mut self, id: AdmissionId, request: &str) {
        self.waiting.retain(|_, (waiting, _)| *waiting != id);
        if let Some(admitted) = self.admitted.get(request).filter(|a| a.id == id && !a.seen) {
            let sent = (admitted.at, admitted.work);
            self.recent.retain(|recent| *recent != sent);
            self.admitted.remove(request);
        }
    }

    /// Removes the prompts that have waited for as long as they may, with the time until there
    /// may be room for each.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(AdmissionId, Duration)> {
        let is_expired = |ask: &Ask| ask.wait_until < now;
        let expired: Vec<_> =
            self.waiting.iter().filter(|(_, (_, ask))| is_expired(ask)).map(|(k, _)| *k).collect();
        let mut taken = Vec::with_capacity(expired.len());
        for key in expired {
            if let Some((id, ask)) = self.waiting.remove(&key) {
                taken.push((id, self.wait(now, key, &ask)));
            }
        }
        taken
    }

    /// Admits the prompts that wait and for which there is room, the most urgent first.
    pub fn take_admitted(&mut self, now: Instant) -> Vec<AdmissionId> {
        let mut taken = Vec::new();
        while let Some((key, (id, ask))) = self.waiting.first_key_value()
            && self.room(now, ask).is_zero()
        {
            let (key, id, ask) = (*key, *id, ask.clone());
            self.waiting.remove(&key);
            self.admit(now, id, &ask);
            taken.push(id);
        }
        taken
    }

    /// When [`Self::take_admitted`] is to be called next, if prompts wait.
    pub fn next_admission(&self, now: Instant) -> Option<Instant> {
        let (_, (_, ask)) = self.waiting.first_key_value()?;
        Some(now + self.room(now, ask).max(Duration::from_millis(2)))
    }

    /// Work that was admitted within the longest pause, or that waits.
    pub fn backlog(&self, now: Instant) -> u64 {
        let waiting = self.waiting.values().map(|(_, ask)| u64::from(ask.work)).sum::<u64>();
        waiting + self.unread(now)
    }

    /// Number of prompts that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How much longer the engine's steps take than at its usual pace.
    pub fn slowdown(&self) -> f64 {
        self.pace.slowdown()
    }

    fn admit(&mut self, now: Instant, id: AdmissionId, ask: &Ask) {
        self.window = self.window.max(ask.pause);
        self.recent.retain(|(at, _)| now < *at + self.window);
        self.recent.push_back((now, ask.work));
        let admitted = Admitted {
            id,
            at: now,
            work: ask.work,
            kv_tokens: ask.kv_tokens,
            seen: false,
            reading: true,
        };
        self.admitted.insert(ask.request.clone(), admitted);
    }

    /// Work that an engine at this pace does within a pause beside the steps of one event.
    fn budget(&self, ask: &Ask) -> f64 {
        let pause = ask.pause.as_secs_f64() * 1e3;
        let slowdown = self.pace.slowdown();
        let steps = f64::from(self.tokens_per_event.max(1)) * self.pace.step_ms() * slowdown;
        let reading = (pause - steps).max(pause * MIN_READING_SHARE);
        let share = (1.0 - PRIORITY_STEP * f64::from(ask.priority)).max(MIN_PRIORITY_SHARE);
        reading * PREFILL_TOKENS_PER_MS / slowdown * share
    }

    /// Work admitted within the last pause or still not read, whichever is more.
    fn unread(&self, now: Instant) -> u64 {
        let recent = self.recent.iter().map(|(at, work)| (at, u64::from(*work)));
        let recent: u64 =
            recent.filter(|(at, _)| now < **at + self.window).map(|(_, work)| work).sum();
        let reading = self.admitted.values().filter(|a| a.reading);
        recent.max(reading.map(|a| u64::from(a.work)).sum())
    }

    /// Time until there is room for a prompt, as far as it can be told; zero if there is now.
    fn room(&self, now: Instant, ask: &Ask) -> Duration {
        let running = self.admitted.len() as u32 + self.unknown;
        if 0 < self.slots && self.slots <= running {
            return ask.pause / 4;
        }
        let kv: u64 = self.admitted.values().map(|a| a.kv_tokens).sum::<u64>() + self.unknown_kv;
        let kv_limit = (self.kv_capacity as f64 * KV_SHARE) as u64;
        if 0 < self.kv_capacity && kv_limit < kv + ask.kv_tokens && 0 < running {
            return ask.pause / 4;
        }
        let budget = self.budget(ask);
        let unread = self.unread(now) as f64;
        let allowed = (budget - f64::from(ask.work)).max(budget * FREE_SHARE);
        let excess = unread - allowed;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(excess * self.pace.slowdown() / PREFILL_TOKENS_PER_MS / 1e3)
    }

    /// Time until a prompt at this position is admitted.
    fn wait(&self, now: Instant, key: (u8, u64), ask: &Ask) -> Duration {
        let ahead = self.waiting.range(..key).map(|(_, (_, ask))| f64::from(ask.work)).sum::<f64>();
        let slowdown = self.pace.slowdown();
        let budget = self.budget(ask).max(1.0);
        // A whole budget is admitted in each pause.
        let ahead = ask.pause.mul_f64(ahead / budget * slowdown.min(1.5));
        self.room(now, ask) + ahead
    }
}
