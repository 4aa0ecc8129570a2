//! What each engine is believed to keep of the prompts that it has prefilled.
//!
//! The knowledge comes from the first events of this process's requests and from what other
//! processes report of theirs. It is an estimate: where it is wrong, a prompt is prefilled in
//! full. Engines are known by a hash of their id, which is also their name in reports.

mod chain;
mod engine_memory;
mod reports;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

pub use chain::{ChainKey, KeptSegment, chain};

use crate::core::{
    forwarding::{Endpoint, EndpointRegistry, LoadReport, Requirements},
    hash,
};
use chain::model_tag;
use engine_memory::EngineMemory;
use reports::UntoldSegments;

/// Hash of an engine's id.
pub type EngineHash = u32;

/// Segments remembered per engine, at most. At a mean of 250 tokens for a segment, an engine with
/// memory for 100,000 tokens keeps fewer.
const MAX_SEGMENTS: usize = 512;
/// Segments remembered of all engines. It leaves 109 for each of 600 engines; a table of so many
/// takes 4.3 kB, and all of them 2.6 MB.
const MAX_ALL_SEGMENTS: usize = 65_536;
/// Engines remembered between two updates of the registrations, at most: reports may name engines
/// that this process does not know yet.
const MAX_ENGINES: usize = 2_048;
/// Age of what other processes report on arrival: half of the interval between their broadcasts,
/// and the way between regions.
const REPORT_AGE: Duration = Duration::from_millis(500);

/// The prompt segments that engines are believed to keep.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::forwarding::{KeptPrompts, PromptSegment, Requirements, chain};
/// let segments = |ids: &[u64]| Requirements {
///     model: Some("m".into()),
///     prompt_tokens: 200,
///     prompt_segments: ids.iter().map(|id| PromptSegment { id: *id, tokens: 100 }).collect(),
///     ..Requirements::default()
/// };
/// let now = Instant::now();
/// let mut kept = KeptPrompts::default();
/// kept.record_first_event(now, "i-1", &chain(&segments(&[1, 2])));
/// assert_eq!(kept.kept_tokens(now, "i-1", &segments(&[1, 3])), 100);
/// // A segment is of use only if all before it are kept.
/// assert_eq!(kept.kept_tokens(now, "i-1", &segments(&[3, 2])), 0);
/// assert_eq!(kept.kept_tokens(now, "i-2", &segments(&[1, 3])), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct KeptPrompts {
    engines: HashMap<EngineHash, EngineMemory>,
    untold: UntoldSegments,
}

/// A segment that a process reports to be kept by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedSegment {
    /// The engine.
    pub engine: EngineHash,
    /// The segment and those before it.
    pub segment: KeptSegment,
}

impl KeptPrompts {
    /// Records the length of a prompt that is sent to an engine, and the tokens to prefill there.
    pub fn record_sent(&mut self, endpoint: &str, tokens: u32, to_prefill: u32) {
        if let Some(engine) = self.engines.get_mut(&engine_hash(endpoint)) {
            engine.record_sent(tokens, to_prefill);
        }
    }

    /// Share of the tokens of recently sent prompts that the engine had to prefill. Engines report
    /// whole prompts: without it, those that keep much would seem to have the most work.
    pub fn prefilled_share(&self, endpoint: &str) -> f64 {
        self.engines.get(&engine_hash(endpoint)).map_or(1.0, EngineMemory::prefilled_share)
    }

    /// Records that an engine has sent the first event of a request, and so has prefilled the
    /// segments of its prompt.
    pub fn record_first_event(&mut self, now: Instant, endpoint: &str, segments: &[KeptSegment]) {
        let Some((_, shared)) = segments.split_last() else { return };
        let engine = engine_hash(endpoint);
        self.record(now, engine, segments);
        for segment in shared {
            self.untold.add(now, ReportedSegment { engine, segment: *segment });
        }
    }

    /// Records what another process reports.
    pub fn merge(&mut self, now: Instant, reported: impl IntoIterator<Item = ReportedSegment>) {
        let used = now.checked_sub(REPORT_AGE).unwrap_or(now);
        for ReportedSegment { engine, segment } in reported {
            self.record(used, engine, &[segment]);
        }
    }

    /// Takes up to `count` segments that other processes have not been told of, the newest first.
    pub fn take_report(&mut self, now: Instant, count: usize) -> Vec<ReportedSegment> {
        self.untold.take(now, count)
    }

    /// Tokens at the start of the prompt that the engine is believed to keep.
    pub fn kept_tokens(&self, now: Instant, endpoint: &str, requirements: &Requirements) -> u32 {
        if requirements.prompt_segments.is_empty() {
            return 0;
        }
        let Some(engine) = self.engines.get(&engine_hash(endpoint)) else { return 0 };
        let kept = chain::links(requirements).take_while(|s| engine.keeps(now, s.key));
        let tokens = kept.fold(0, |sum: u32, s| sum.saturating_add(s.tokens));
        tokens.min(requirements.prompt_tokens)
    }

    /// Records the engine's start, its loaded models and the memory that its running requests
    /// leave.
    pub fn record_report(&mut self, endpoint: &Endpoint, report: &LoadReport) {
        let Some(engine) = self.engines.get_mut(&engine_hash(endpoint.id())) else { return };
        engine.set_start(endpoint.registration.started_ms);
        let loaded = &endpoint.residency().loaded;
        engine.set_loaded(loaded.iter().map(|m| model_tag(&m.name)).collect());
        if 0 < report.kv_total {
            engine.set_free_tokens(report.kv_total.saturating_sub(report.kv_used));
        }
    }

    /// Records that an engine has lost its memory.
    pub fn record_restart(&mut self, endpoint: &str) {
        self.engines.remove(&engine_hash(endpoint));
    }

    /// Drops what is known of engines that are no longer registered or have restarted.
    pub fn retain_registered(&mut self, registry: &EndpointRegistry) {
        if self.engines.is_empty() {
            return;
        }
        let started = |e: &Endpoint| (engine_hash(e.id()), e.registration.started_ms);
        let started: HashMap<_, _> = registry.iter().map(started).collect();
        self.engines.retain(|engine, _| started.contains_key(engine));
        for (engine, memory) in &mut self.engines {
            memory.set_start(started[engine]);
        }
    }

    /// Segments that are remembered, of all engines.
    pub fn len(&self) -> usize {
        self.engines.values().map(EngineMemory::len).sum()
    }

    /// Whether no segment is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn record(&mut self, used: Instant, engine: EngineHash, segments: &[KeptSegment]) {
        if MAX_ENGINES <= self.engines.len() && !self.engines.contains_key(&engine) {
            return;
        }
        let memory = self.engines.entry(engine).or_default();
        for segment in segments {
            memory.record(used, *segment);
        }
        let limit = MAX_SEGMENTS.min(MAX_ALL_SEGMENTS / self.engines.len());
        if let Some(memory) = self.engines.get_mut(&engine) {
            memory.evict(limit);
        }
    }
}

fn engine_hash(endpoint: &str) -> EngineHash {
    hash::stable(&[endpoint.as_bytes()]) as EngineHash
}
