//! What an endpoint has to do, by our own sends and by what it reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// A report older than this says nothing about the present queue.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
// Prompts that were sent so lately count as work of the present: a stream that
// must not pause for longer sees what is read meanwhile.
const READ_WINDOW: Duration = Duration::from_millis(300);
// Prompt length that is assumed for other processes' requests, tokens.
const MEAN_PROMPT_TOKENS: u64 = 1200;
// Part of a new observation in the running mean of the pace.
const PACE_WEIGHT: f64 = 0.15;
// An endpoint that owes an answer and was not heard for so long may stand still.
// Source: agents tell of their engines every 600 ms; most plain answers come within
// a quarter of a second.
const SILENCE: Duration = Duration::from_millis(900);
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 20.0;

/// What an engine reports of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reported {
    /// Requests in its batch.
    pub active: u32,
    /// Requests that wait at it.
    pub queued: u32,
    /// Requests, waiting or in the batch, without a first token.
    pub unread: u32,
    /// Prompt tokens of the requests that came lately.
    pub recent_tokens: u64,
    /// Memory that cannot yield, tokens.
    pub kv_used: u64,
    /// Memory for prompts and answers, tokens.
    pub kv_total: u64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    reported: Reported,
    at: Instant,
    own_running: u32,
    own_unread: u32,
    own_recent: u64,
}

/// The load of one endpoint, as this process knows it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    running: u32,
    unread: u32,
    unread_tokens: u64,
    memory_tokens: u64,
    // Prompts that were sent within the window.
    recent: VecDeque<(Instant, u32)>,
    report: Option<Report>,
    pace: Option<f64>,
    // When it was last heard, by an answer or a report.
    heard: Option<Instant>,
    // Since when some request has no first part of its answer.
    owes_since: Option<Instant>,
}

// An endpoint that nothing is known of.
static IDLE: EndpointLoad = EndpointLoad {
    running: 0,
    unread: 0,
    unread_tokens: 0,
    memory_tokens: 0,
    recent: VecDeque::new(),
    report: None,
    pace: None,
    heard: None,
    owes_since: None,
};

impl EndpointLoad {
    /// The load of an endpoint that nothing is known of.
    pub fn idle() -> &'static Self {
        &IDLE
    }

    /// A request was sent of whose prompt so many tokens are to be read.
    pub fn sent(&mut self, now: Instant, prompt_tokens: u32, memory_tokens: u64) {
        self.recent.retain(|(at, _)| now < *at + READ_WINDOW);
        self.recent.push_back((now, prompt_tokens));
        self.owes_since.get_or_insert(now);
        self.running += 1;
        self.unread += 1;
        self.unread_tokens += u64::from(prompt_tokens);
        self.memory_tokens += memory_tokens;
    }

    /// The first part of an answer came.
    pub fn answered(&mut self, now: Instant, prompt_tokens: u32) {
        self.heard = Some(now);
        self.read(prompt_tokens);
        self.owes_since = self.owes_since.filter(|_| 0 < self.unread).map(|_| now);
    }

    /// A request ended; `answered` tells whether [`Self::answered`] was called for it.
    pub fn ended(&mut self, prompt_tokens: u32, memory_tokens: u64, answered: bool) {
        if !answered {
            self.read(prompt_tokens);
            self.owes_since = self.owes_since.filter(|_| 0 < self.unread);
        }
        self.running = self.running.saturating_sub(1);
        self.memory_tokens = self.memory_tokens.saturating_sub(memory_tokens);
    }

    /// The endpoint reported its load.
    pub fn reported(&mut self, now: Instant, reported: Reported) {
        self.heard = Some(now);
        let (own_running, own_unread) = (self.running, self.unread);
        let own_recent = self.recent_tokens(now);
        self.report = Some(Report { reported, at: now, own_running, own_unread, own_recent });
    }

    /// How long a first token took, and how long it was expected to take.
    pub fn observed(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(MIN_PACE, MAX_PACE);
        let pace = self.pace.unwrap_or(1.0);
        self.pace = Some(pace + (ratio - pace) * PACE_WEIGHT);
    }

    /// Whether the endpoint owes an answer and was not heard for so long that it may
    /// stand still.
    pub fn is_silent(&self, now: Instant) -> bool {
        let Some(since) = self.owes_since else { return false };
        self.heard.map_or(since, |heard| heard.max(since)) + SILENCE < now
    }

    /// Own requests at the endpoint.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Prompt tokens of own requests that have no first token yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Requests of all processes at the endpoint.
    pub fn all_running(&self, now: Instant) -> u32 {
        let others = self
            .fresh(now)
            .map_or(0, |r| (r.reported.active + r.reported.queued).saturating_sub(r.own_running));
        self.running + others
    }

    /// Requests of all processes that have no first token yet.
    pub fn all_unread(&self, now: Instant) -> u32 {
        let others = self.fresh(now).map_or(0, |r| r.reported.unread.saturating_sub(r.own_unread));
        self.unread + others
    }

    /// Prompt tokens that are ahead of a new request; those of other processes
    /// are taken to be of mean length.
    pub fn backlog_tokens(&self, now: Instant) -> u64 {
        let others = u64::from(self.all_unread(now) - self.unread);
        self.unread_tokens + others * MEAN_PROMPT_TOKENS
    }

    /// Prompt tokens that keep the endpoint from its running streams at present:
    /// those that it was sent lately, and older ones that are not read yet.
    pub fn reading_tokens(&self, now: Instant) -> f64 {
        let others = self.fresh(now).map_or(0.0, |r| {
            let told = r.reported.recent_tokens.saturating_sub(r.own_recent) as f64;
            let age = now.saturating_duration_since(r.at).as_secs_f64();
            // Of what was told, what came first has left the window meanwhile.
            told * (1.0 - age / READ_WINDOW.as_secs_f64()).max(0.0)
        });
        let recent = self.recent_tokens(now) as f64 + others;
        recent.max(self.backlog_tokens(now) as f64)
    }

    /// The same of own requests alone.
    pub fn own_reading_tokens(&self, now: Instant) -> f64 {
        self.unread_tokens.max(self.recent_tokens(now)) as f64
    }

    /// Share of the endpoint's memory that is taken, from 0 to 1.
    pub fn memory_share(&self, now: Instant, kv_tokens: u64) -> f64 {
        let reported = self
            .fresh(now)
            .map_or(0.0, |r| r.reported.kv_used as f64 / r.reported.kv_total.max(1) as f64);
        let own = self.memory_tokens as f64 / kv_tokens.max(1) as f64;
        reported.max(own)
    }

    /// Age of the last report, if there is a fresh one.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.fresh(now).map(|r| now.saturating_duration_since(r.at))
    }

    /// How much slower than expected the endpoint is; 1 when it is not.
    pub fn pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }

    fn read(&mut self, prompt_tokens: u32) {
        self.unread = self.unread.saturating_sub(1);
        self.unread_tokens = self.unread_tokens.saturating_sub(u64::from(prompt_tokens));
    }

    fn recent_tokens(&self, now: Instant) -> u64 {
        let recent = self.recent.iter().filter(|(at, _)| now < *at + READ_WINDOW);
        recent.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    fn fresh(&self, now: Instant) -> Option<&Report> {
        self.report.as_ref().filter(|r| now < r.at + REPORT_LIFETIME)
    }
}
