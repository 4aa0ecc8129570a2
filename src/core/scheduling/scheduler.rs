//! Admission to one endpoint: a limit of running requests, a fair queue
//! before it, and requests that must run alone.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    core::{
        ids::AttemptId,
        limits::{FairQueue, Flow, Popped},
    },
    errors::{Code, Refusal},
};

// Weight of the newest measurement in a moving average.
const NEWEST: f64 = 0.1;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits in force for the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traits {
    /// Requests that run together.
    pub max_running: usize,
    /// Requests that wait.
    pub queue_limit: usize,
}

/// A request that asks to be run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its attempt.
    pub attempt: AttemptId,
    /// Whose share it takes.
    pub flow: Flow,
    /// When it must have started.
    pub latest_start: Instant,
    /// Hash of tenant, target and body.
    pub fingerprint: u64,
    /// It must run alone.
    pub isolated: bool,
}

/// What the endpoint expects of a request that came now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Time until the first token.
    pub first_token: Duration,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub queued: usize,
}

/// What to do with a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Start it.
    Start(AttemptId),
    /// Refuse it: it cannot start in time.
    Expired(AttemptId),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: u64,
    isolated: bool,
    since: Instant,
}

/// Decides what runs at one endpoint.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{limits::Flow, scheduling::*};
/// let now = Instant::now();
/// let mut scheduler = Scheduler::new(Traits { max_running: 1, queue_limit: 8 });
/// let job = |attempt: &str| Job {
///     attempt: attempt.into(),
///     flow: Flow { tenant: "t".into(), class: "c".into(), weight: 1, priority: 5 },
///     latest_start: now + Duration::from_secs(1),
///     fingerprint: 0,
///     isolated: false,
/// };
/// scheduler.offer(now, job("a")).unwrap();
/// scheduler.offer(now, job("b")).unwrap();
/// assert_eq!(scheduler.next(now), Some(Next::Start("a".into())));
/// assert_eq!(scheduler.next(now), None);
/// scheduler.ended(now, "a");
/// assert_eq!(scheduler.next(now), Some(Next::Start("b".into())));
/// ```
#[derive(Debug)]
pub struct Scheduler {
    traits: Traits,
    running: HashMap<AttemptId, Running>,
    queue: FairQueue<(AttemptId, u64)>,
    isolated: VecDeque<(AttemptId, u64, Instant)>,
    first_token: f64,
    duration: f64,
}

impl Scheduler {
    /// A scheduler of an idle endpoint.
    pub fn new(traits: Traits) -> Self {
        Self {
            traits,
            running: HashMap::new(),
            queue: FairQueue::new(traits.queue_limit),
            isolated: VecDeque::new(),
            first_token: 0.0,
            duration: 0.0,
        }
    }

    /// Mean time from the start of a request to its first token.
    pub fn mean_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token)
    }

    /// Changes the limits; what runs or waits stays.
    pub fn configure(&mut self, traits: Traits) {
        self.traits = traits;
        self.queue.set_limit(traits.queue_limit);
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.isolated.len()
    }

    /// What a request that came now would meet.
    pub fn estimate(&self) -> Estimate {
        let waiting = self.queued();
        let max = self.traits.max_running.max(1);
        let ahead = (self.running.len() + waiting + 1).saturating_sub(max);
        let mut seconds = self.first_token + self.duration * ahead as f64 / max as f64;
        if self.isolation() {
            seconds += self.duration;
        }
        Estimate {
            first_token: Duration::from_secs_f64(seconds.min(3600.0)),
            running: self.running.len(),
            queued: waiting,
        }
    }

    /// Takes a request in or refuses it at once.
    ///
    /// # Errors
    /// [`Code::QueueFull`] or [`Code::DeadlineTooShort`]; the request did not run.
    pub fn offer(&mut self, now: Instant, job: Job) -> Result<(), Refusal> {
        let estimate = self.estimate();
        let full = self.traits.max_running <= self.running.len();
        let wait = if full { self.wait_of(&job.flow) } else { Duration::ZERO };
        if job.latest_start < now + wait {
            let text = format!("a start is expected in {} ms", wait.as_millis());
            return Err(retry(Code::DeadlineTooShort, text, estimate.first_token));
        }
        if job.isolated {
            self.isolated.push_back((job.attempt, job.fingerprint, job.latest_start));
            return Ok(());
        }
        let item = (job.attempt, job.fingerprint);
        // An idle endpoint runs a request even when nothing may wait.
        let limit = self
            .traits
            .queue_limit
            .max(self.traits.max_running - self.running().min(self.traits.max_running));
        self.queue.set_limit(limit);
        self.queue.push(&job.flow, job.latest_start, item).map_err(|_| {
            let text = format!("{limit} requests wait");
            retry(Code::QueueFull, text, estimate.first_token)
        })
    }

    /// The next request to start or to refuse; to be called until it returns nothing.
    pub fn next(&mut self, now: Instant) -> Option<Next> {
        if let Some((attempt, _)) = self.queue.pop_expired(now) {
            return Some(Next::Expired(attempt));
        }
        let late = self.isolated.iter().position(|(_, _, latest)| *latest < now);
        if let Some((attempt, _, _)) = late.and_then(|i| self.isolated.remove(i)) {
            return Some(Next::Expired(attempt));
        }
        if self.isolation() {
            return self.next_isolated(now);
        }
        if self.traits.max_running <= self.running.len() {
            return None;
        }
        match self.queue.pop(now)? {
            Popped::Expired((attempt, _)) => Some(Next::Expired(attempt)),
            Popped::Start((attempt, fingerprint)) => {
                Some(self.start(now, attempt, fingerprint, false))
            }
        }
    }

    /// Notes the time from the start of an attempt to its first token.
    pub fn first_token(&mut self, now: Instant, attempt: &str) {
        if let Some(running) = self.running.get(attempt) {
            let took = now.saturating_duration_since(running.since);
            average(&mut self.first_token, took);
        }
    }

    /// Notes that an attempt ended.
    pub fn ended(&mut self, now: Instant, attempt: &str) {
        if let Some(running) = self.running.remove(attempt) {
            average(&mut self.duration, now.saturating_duration_since(running.since));
        }
    }

    /// Takes out a request that waits, when its caller went away.
    pub fn forget(&mut self, attempt: &str) {
        self.queue.remove_where(|(a, _)| &**a == attempt);
        self.isolated.retain(|(a, _, _)| &**a != attempt);
    }

    /// Takes out all requests that run, when the endpoint crashed, with their fingerprints.
    pub fn crashed(&mut self) -> Vec<(AttemptId, u64)> {
        self.running.drain().map(|(a, r)| (a, r.fingerprint)).collect()
    }

    /// Takes out everything that waits, at the start of a graceful shutdown.
    pub fn drop_waiting(&mut self) -> Vec<AttemptId> {
        let queued = self.queue.remove_where(|_| true);
        let mut out: Vec<AttemptId> = queued.into_iter().map(|(a, _)| a).collect();
        out.extend(self.isolated.drain(..).map(|(a, _, _)| a));
        out
    }

    fn isolation(&self) -> bool {
        !self.isolated.is_empty() || self.running.values().any(|r| r.isolated)
    }

    fn next_isolated(&mut self, now: Instant) -> Option<Next> {
        if !self.running.is_empty() {
            return None;
        }
        let (attempt, fingerprint, _) = self.isolated.pop_front()?;
        Some(self.start(now, attempt, fingerprint, true))
    }

    fn start(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        fingerprint: u64,
        isolated: bool,
    ) -> Next {
        self.running.insert(attempt.clone(), Running { fingerprint, isolated, since: now });
        Next::Start(attempt)
    }

    /// Time until a new request of a flow would start.
    fn wait_of(&self, flow: &Flow) -> Duration {
        let max = self.traits.max_running.max(1) as f64;
        let position = self.queue.position(flow) + self.isolated.len() as f64;
        Duration::from_secs_f64((self.duration * position / max).min(3600.0))
    }
}

fn average(value: &mut f64, took: Duration) {
    let took = took.as_secs_f64();
    *value = if *value == 0.0 { took } else { *value + (took - *value) * NEWEST };
}

fn retry(code: Code, text: String, after: Duration) -> Refusal {
    Refusal::new(code, text).retry_after(after.max(MIN_RETRY_AFTER))
}
