//! Admission control for one endpoint: a concurrency limit, a fair queue, and isolated
//! execution of requests that must run alone.

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

// Weight of the newest sample in an exponential moving average.
const AVERAGE_WEIGHT: f64 = 0.1;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Current limits of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Maximum number of running requests.
    pub max_running: usize,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
}

/// A request submitted to the scheduler.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Flow for fair queueing.
    pub flow: Flow,
    /// Latest time at which it may start.
    pub latest_start: Instant,
    /// Hash of tenant, target and body.
    pub fingerprint: u64,
    /// Whether it must run alone.
    pub isolated: bool,
}

/// Expected wait of a request submitted now, and the current load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Expected time until the first token.
    pub first_token: Duration,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
}

/// What to do with a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start it.
    Start(AttemptId),
    /// Refuse it, since it cannot start in time.
    Expired(AttemptId),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: u64,
    isolated: bool,
    since: Instant,
}

/// Decides which requests run at one endpoint.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{limits::Flow, scheduling::*};
/// let now = Instant::now();
/// let mut scheduler = Scheduler::new(SchedulerLimits { max_running: 1, queue_limit: 8 });
/// let request = |attempt: &str| QueuedRequest {
///     attempt: attempt.into(),
///     flow: Flow { tenant: "t".into(), class: "c".into(), weight: 1, priority: 5 },
///     latest_start: now + Duration::from_secs(1),
///     fingerprint: 0,
///     isolated: false,
/// };
/// scheduler.submit(now, request("a")).unwrap();
/// scheduler.submit(now, request("b")).unwrap();
/// assert_eq!(scheduler.poll_next(now), Some(Decision::Start("a".into())));
/// assert_eq!(scheduler.poll_next(now), None);
/// scheduler.finish(now, "a");
/// assert_eq!(scheduler.poll_next(now), Some(Decision::Start("b".into())));
/// ```
#[derive(Debug)]
pub struct Scheduler {
    limits: SchedulerLimits,
    running: HashMap<AttemptId, Running>,
    queue: FairQueue<(AttemptId, u64)>,
    isolated: VecDeque<(AttemptId, u64, Instant)>,
    mean_first_token: f64,
    mean_duration: f64,
}

impl Scheduler {
    /// Creates the scheduler of an idle endpoint.
    pub fn new(limits: SchedulerLimits) -> Self {
        Self {
            limits,
            running: HashMap::new(),
            queue: FairQueue::new(limits.queue_limit),
            isolated: VecDeque::new(),
            mean_first_token: 0.0,
            mean_duration: 0.0,
        }
    }

    /// Mean time from the start of a request to its first token.
    pub fn mean_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.mean_first_token)
    }

    /// Changes the limits. Running and queued requests are kept.
    pub fn set_limits(&mut self, limits: SchedulerLimits) {
        self.limits = limits;
        self.queue.set_limit(limits.queue_limit);
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.isolated.len()
    }

    /// Estimates the wait of a request submitted now.
    pub fn estimate(&self) -> Estimate {
        let waiting = self.queued();
        let max = self.limits.max_running.max(1);
        let ahead = (self.running.len() + waiting + 1).saturating_sub(max);
        let mut seconds = self.mean_first_token + self.mean_duration * ahead as f64 / max as f64;
        if self.is_isolating() {
            seconds += self.mean_duration;
        }
        Estimate {
            first_token: Duration::from_secs_f64(seconds.min(3600.0)),
            running: self.running.len(),
            queued: waiting,
        }
    }

    /// Queues a request or refuses it immediately.
    ///
    /// # Errors
    /// [`Code::QueueFull`] or [`Code::DeadlineTooShort`]; the request did not run.
    pub fn submit(&mut self, now: Instant, request: QueuedRequest) -> Result<(), Refusal> {
        let estimate = self.estimate();
        let full = self.limits.max_running <= self.running.len();
        let wait = if full { self.expected_wait(&request.flow) } else { Duration::ZERO };
        if request.latest_start < now + wait {
            let text = format!("the expected wait of {} ms is too long", wait.as_millis());
            return Err(refusal_with_retry(Code::DeadlineTooShort, text, estimate.first_token));
        }
        if request.isolated {
            self.isolated.push_back((request.attempt, request.fingerprint, request.latest_start));
            return Ok(());
        }
        let item = (request.attempt, request.fingerprint);
        // An endpoint with free slots accepts requests even if the queue limit is 0.
        let limit = self
            .limits
            .queue_limit
            .max(self.limits.max_running - self.running().min(self.limits.max_running));
        self.queue.set_limit(limit);
        self.queue.push(&request.flow, request.latest_start, item).map_err(|_| {
            let text = format!("the queue limit of {limit} requests is reached");
            refusal_with_retry(Code::QueueFull, text, estimate.first_token)
        })
    }

    /// The next request to start or to refuse. Call until it returns `None`.
    pub fn poll_next(&mut self, now: Instant) -> Option<Decision> {
        if let Some((attempt, _)) = self.queue.pop_expired(now) {
            return Some(Decision::Expired(attempt));
        }
        let expired = self.isolated.iter().position(|(_, _, latest_start)| *latest_start < now);
        if let Some((attempt, _, _)) = expired.and_then(|i| self.isolated.remove(i)) {
            return Some(Decision::Expired(attempt));
        }
        if self.is_isolating() {
            return self.next_isolated(now);
        }
        if self.limits.max_running <= self.running.len() {
            return None;
        }
        match self.queue.pop(now)? {
            Popped::Expired((attempt, _)) => Some(Decision::Expired(attempt)),
            Popped::Start((attempt, fingerprint)) => {
                Some(self.start(now, attempt, fingerprint, false))
            }
        }
    }

    /// Records that an attempt produced its first token.
    pub fn record_first_token(&mut self, now: Instant, attempt: &str) {
        if let Some(running) = self.running.get(attempt) {
            let took = now.saturating_duration_since(running.since);
            update_average(&mut self.mean_first_token, took);
        }
    }

    /// Removes an attempt that ended and records its duration.
    pub fn finish(&mut self, now: Instant, attempt: &str) {
        if let Some(running) = self.running.remove(attempt) {
            update_average(&mut self.mean_duration, now.saturating_duration_since(running.since));
        }
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel(&mut self, attempt: &str) {
        self.queue.remove_where(|(a, _)| &**a == attempt);
        self.isolated.retain(|(a, _, _)| &**a != attempt);
    }

    /// Removes and returns all running attempts with their fingerprints, after the
    /// endpoint crashed.
    pub fn take_running(&mut self) -> Vec<(AttemptId, u64)> {
        self.running.drain().map(|(a, r)| (a, r.fingerprint)).collect()
    }

    /// Removes and returns all queued attempts, at a crash or the start of a graceful
    /// shutdown.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        let queued = self.queue.remove_where(|_| true);
        let mut out: Vec<AttemptId> = queued.into_iter().map(|(a, _)| a).collect();
        out.extend(self.isolated.drain(..).map(|(a, _, _)| a));
        out
    }

    /// Whether a request that must run alone is queued or running.
    fn is_isolating(&self) -> bool {
        !self.isolated.is_empty() || self.running.values().any(|r| r.isolated)
    }

    fn next_isolated(&mut self, now: Instant) -> Option<Decision> {
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
    ) -> Decision {
        self.running.insert(attempt.clone(), Running { fingerprint, isolated, since: now });
        Decision::Start(attempt)
    }

    /// Expected time until a new request of a flow would start.
    fn expected_wait(&self, flow: &Flow) -> Duration {
        let max = self.limits.max_running.max(1) as f64;
        let position = self.queue.position(flow) + self.isolated.len() as f64;
        Duration::from_secs_f64((self.mean_duration * position / max).min(3600.0))
    }
}

fn update_average(value: &mut f64, took: Duration) {
    let took = took.as_secs_f64();
    *value = if *value == 0.0 { took } else { *value + (took - *value) * AVERAGE_WEIGHT };
}

fn refusal_with_retry(code: Code, text: String, after: Duration) -> Refusal {
    Refusal::new(code, text).retry_after(after.max(MIN_RETRY_AFTER))
}
