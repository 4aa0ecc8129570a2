//! The load of an endpoint, from the requests sent to it and from its load reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// Older reports say nothing about the current queue.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
// Prompts sent within this time count as current prefill work: it is the longest pause
// allowed in a stream, and prefill during it delays the running streams.
const PREFILL_WINDOW: Duration = Duration::from_millis(300);
// Assumed prompt length in tokens of other processes' requests.
const MEAN_PROMPT_TOKENS: f64 = 1200.0;
// Weight of a new observation in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
// An endpoint with an outstanding response that sends nothing for longer may have stalled.
// Agents report on their engines every 600 ms, and most responses of other endpoints
// arrive within 250 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 20.0;

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub active: u32,
    /// Requests queued at the engine.
    pub queued: u32,
    /// Requests, queued or in the batch, that have no first token yet.
    pub awaiting_first_token: u32,
    /// Prompt tokens of recently received requests.
    pub recent_tokens: u64,
    /// KV cache tokens in use that cannot be evicted.
    pub kv_used: u64,
    /// KV cache capacity in tokens.
    pub kv_total: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: LoadReport,
    at: Instant,
    // The corresponding counts of this process's own requests when the report arrived.
    own_running: u32,
    own_awaiting_first_token: u32,
    own_recent_tokens: u64,
    // Work to read a token of the models that the endpoint has loaded.
    token_cost: f64,
}

/// The load of one endpoint, as this process knows it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    running: u32,
    awaiting_first_token: u32,
    pending_prompt_tokens: u64,
    kv_tokens: u64,
    // Time and tokens of the prompts sent within the window.
    recent_prompts: VecDeque<(Instant, u32)>,
    report: Option<ReceivedReport>,
    slowdown: Option<f64>,
    // Time of the last response or report.
    last_heard: Option<Instant>,
    // Since when any request has been waiting for the first part of its response.
    awaiting_since: Option<Instant>,
}

// The load of an endpoint without requests or reports.
static IDLE: EndpointLoad = EndpointLoad {
    running: 0,
    awaiting_first_token: 0,
    pending_prompt_tokens: 0,
    kv_tokens: 0,
    recent_prompts: VecDeque::new(),
    report: None,
    slowdown: None,
    last_heard: None,
    awaiting_since: None,
};

impl EndpointLoad {
    /// The load of an endpoint without requests or reports.
    pub fn idle() -> &'static Self {
        &IDLE
    }

    /// Records a sent request with the work to read its prompt, in tokens of the data sheet's
    /// engine, and the KV cache tokens it will occupy.
    pub fn record_sent(&mut self, now: Instant, prompt_tokens: u32, kv_tokens: u64) {
        self.recent_prompts.retain(|(at, _)| now < *at + PREFILL_WINDOW);
        self.recent_prompts.push_back((now, prompt_tokens));
        self.awaiting_since.get_or_insert(now);
        self.running += 1;
        self.awaiting_first_token += 1;
        self.pending_prompt_tokens += u64::from(prompt_tokens);
        self.kv_tokens += kv_tokens;
    }

    /// Records the first part of a response.
    pub fn record_first_response(&mut self, now: Instant, prompt_tokens: u32) {
        self.last_heard = Some(now);
        self.prompt_processed(prompt_tokens);
        self.awaiting_since =
            self.awaiting_since.filter(|_| 0 < self.awaiting_first_token).map(|_| now);
    }

    /// Records the end of a request; `responded` tells whether
    /// [`Self::record_first_response`] was called for it.
    pub fn record_end(&mut self, prompt_tokens: u32, kv_tokens: u64, responded: bool) {
        if !responded {
            self.prompt_processed(prompt_tokens);
            self.awaiting_since = self.awaiting_since.filter(|_| 0 < self.awaiting_first_token);
        }
        self.running = self.running.saturating_sub(1);
        self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
    }

    /// Records that a request sent at `sent_at` was not run, so that its prompt takes no room.
    pub fn record_not_run(&mut self, sent_at: Instant, prompt_tokens: u32) {
        let sent = |prompt: &(Instant, u32)| *prompt == (sent_at, prompt_tokens);
        if let Some(position) = self.recent_prompts.iter().position(sent) {
            self.recent_prompts.remove(position);
        }
    }

    /// Stores a load report of the endpoint. `token_cost` is the work to read a token there,
    /// 1 for an engine of the data sheet.
    pub fn record_report(&mut self, now: Instant, report: LoadReport, token_cost: f64) {
        self.last_heard = Some(now);
        let (own_running, own_awaiting_first_token) = (self.running, self.awaiting_first_token);
        let own_recent_tokens = self.recent_tokens(now);
        self.report = Some(ReceivedReport {
            report,
            at: now,
            own_running,
            own_awaiting_first_token,
            own_recent_tokens,
            token_cost,
        });
    }

    /// Updates the slowdown with a measured and an expected time to the first token.
    pub fn record_latency(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let slowdown = self.slowdown.unwrap_or(1.0);
        self.slowdown = Some(slowdown + (ratio - slowdown) * SLOWDOWN_WEIGHT);
    }

    /// Whether a response is outstanding and the endpoint has been silent for so long that
    /// it may have stalled.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(since) = self.awaiting_since else { return false };
        self.last_heard.map_or(since, |heard| heard.max(since)) + SILENCE_LIMIT < now
    }

    /// Requests of this process at the endpoint.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Prompt tokens of this process's requests that have no first token yet.
    pub fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens
    }

    /// Requests of all processes at the endpoint.
    pub fn total_running(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now).map_or(0, |r| {
            r.report.active.saturating_add(r.report.queued).saturating_sub(r.own_running)
        });
        self.running.saturating_add(others)
    }

    /// Requests of all processes that have no first token yet.
    pub fn total_awaiting_first_token(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now).map_or(0, |r| {
            r.report.awaiting_first_token.saturating_sub(r.own_awaiting_first_token)
        });
        self.awaiting_first_token.saturating_add(others)
    }

    /// Prompt tokens queued ahead of a new request; prompts of other processes count with
    /// a mean length.
    pub fn backlog_tokens(&self, now: Instant) -> u64 {
        let others = u64::from(self.total_awaiting_first_token(now) - self.awaiting_first_token);
        let cost = self.fresh_report(now).map_or(1.0, |r| r.token_cost);
        self.pending_prompt_tokens + (others as f64 * MEAN_PROMPT_TOKENS * cost) as u64
    }

    /// Prompt tokens whose prefill currently delays running streams: those sent recently,
    /// or all that are still pending if that is more.
    pub fn prefill_tokens(&self, now: Instant) -> f64 {
        let others = self.fresh_report(now).map_or(0.0, |r| {
            let reported = r.report.recent_tokens as f64 * r.token_cost;
            let reported = (reported - r.own_recent_tokens as f64).max(0.0);
            let age = now.saturating_duration_since(r.at).as_secs_f64();
            // Part of the reported tokens has left the window since the report.
            reported * (1.0 - age / PREFILL_WINDOW.as_secs_f64()).max(0.0)
        });
        let recent = self.recent_tokens(now) as f64 + others;
        recent.max(self.backlog_tokens(now) as f64)
    }

    /// The same for this process's requests only.
    pub fn own_prefill_tokens(&self, now: Instant) -> f64 {
        self.pending_prompt_tokens.max(self.recent_tokens(now)) as f64
    }

    /// Share of the KV cache in use, from 0 to 1.
    pub fn kv_utilization(&self, now: Instant, kv_capacity: u64) -> f64 {
        let reported = self
            .fresh_report(now)
            .map_or(0.0, |r| r.report.kv_used as f64 / r.report.kv_total.max(1) as f64);
        let own = self.kv_tokens as f64 / kv_capacity.max(1) as f64;
        reported.max(own)
    }

    /// Age of the last report, if it is recent.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.fresh_report(now).map(|r| now.saturating_duration_since(r.at))
    }

    /// Ratio of measured to expected latency; 1 if none was measured.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.unwrap_or(1.0)
    }

    fn prompt_processed(&mut self, prompt_tokens: u32) {
        self.awaiting_first_token = self.awaiting_first_token.saturating_sub(1);
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_sub(u64::from(prompt_tokens));
    }

    fn recent_tokens(&self, now: Instant) -> u64 {
        let prompts = self.recent_prompts.iter().filter(|(at, _)| now < *at + PREFILL_WINDOW);
        prompts.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    fn fresh_report(&self, now: Instant) -> Option<&ReceivedReport> {
        self.report.as_ref().filter(|r| now < r.at + REPORT_LIFETIME)
    }
}
