//! The segments that one engine is believed to keep: the most recently used ones that fit into
//! the memory that running requests leave.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::chain::{ChainKey, KeptSegment, ModelTag, tag_of};

/// Age from which a segment that was not used is taken to be evicted. Segments of other requests,
/// which this process may not hear of, replace it: at 1,000 tokens/s the memory of an engine is
/// replaced in 100 s.
const MAX_AGE: Duration = Duration::from_secs(90);

/// Weight that earlier requests keep with each new one in the share of tokens to prefill.
const DECAY: f64 = 0.95;
/// Prompt tokens for which the share counts as 1 while little is known.
const PRIOR_TOKENS: f64 = 4_000.0;

#[derive(Clone, Copy, Debug)]
struct Use {
    at: Instant,
    tokens: u32,
}

#[derive(Clone, Debug, Default)]
pub(super) struct EngineMemory {
    segments: HashMap<ChainKey, Use>,
    tokens: u64,
    // Memory that running requests leave, by the last report.
    free_tokens: Option<u64>,
    started_ms: Option<u64>,
    loaded: Vec<ModelTag>,
    // Tokens of recently sent prompts, and those of them that were not kept.
    sent_tokens: f64,
    prefilled_tokens: f64,
}

impl EngineMemory {
    pub(super) fn len(&self) -> usize {
        self.segments.len()
    }

    pub(super) fn record_sent(&mut self, tokens: u32, prefilled: u32) {
        self.sent_tokens = self.sent_tokens * DECAY + f64::from(tokens);
        self.prefilled_tokens = self.prefilled_tokens * DECAY + f64::from(prefilled);
    }

    pub(super) fn prefilled_share(&self) -> f64 {
        (self.prefilled_tokens + PRIOR_TOKENS) / (self.sent_tokens + PRIOR_TOKENS)
    }

    pub(super) fn keeps(&self, now: Instant, key: ChainKey) -> bool {
        self.segments.get(&key).is_some_and(|used| now < used.at + MAX_AGE)
    }

    pub(super) fn record(&mut self, at: Instant, segment: KeptSegment) {
        let KeptSegment { key, tokens } = segment;
        let before = self.segments.get(&key).copied();
        let at = before.map_or(at, |before| before.at.max(at));
        self.tokens += u64::from(tokens);
        self.tokens -= u64::from(before.map_or(0, |before| before.tokens));
        self.segments.insert(key, Use { at, tokens });
    }

    /// Drops the least recently used segments, until there are at most `limit` and they fit into
    /// the memory. Of segments used at the same time the order is arbitrary: one without those
    /// before it does not count, and is dropped in turn.
    pub(super) fn evict(&mut self, limit: usize) {
        let free = self.free_tokens.unwrap_or(u64::MAX);
        while limit < self.segments.len() || free < self.tokens {
            let oldest = self.segments.iter().min_by_key(|(key, used)| (used.at, **key));
            let Some((key, used)) = oldest.map(|(key, used)| (*key, *used)) else { break };
            self.segments.remove(&key);
            self.tokens -= u64::from(used.tokens);
        }
    }

    pub(super) fn set_free_tokens(&mut self, tokens: u64) {
        self.free_tokens = Some(tokens);
        self.evict(usize::MAX);
    }

    /// Drops all if the engine has started again.
    pub(super) fn set_start(&mut self, started_ms: u64) {
        if self.started_ms.replace(started_ms).is_some_and(|before| before != started_ms) {
            *self = Self { started_ms: self.started_ms, ..Self::default() };
        }
    }

    /// Drops the segments of models that are no longer loaded.
    pub(super) fn set_loaded(&mut self, loaded: Vec<ModelTag>) {
        if loaded == self.loaded {
            return;
        }
        self.segments.retain(|key, _| loaded.contains(&tag_of(*key)));
        self.tokens = self.segments.values().map(|used| u64::from(used.tokens)).sum();
        self.loaded = loaded;
    }
}
