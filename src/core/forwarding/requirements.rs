//! What a request requires of an endpoint.

use std::sync::Arc;

use crate::core::{
    forwarding::ModelRef,
    hash,
    ids::{ModelName, SegmentId},
};

/// A segment of a prompt that other requests may share, so that an engine can reuse
/// its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request requires of its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Requirements {
    /// The model, where the endpoints are engines.
    pub model: Option<ModelName>,
    /// The adapter of the model, if one is named.
    pub adapter: Option<Arc<str>>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response in tokens.
    pub output_tokens: u32,
    /// The shared segments of the prompt, in order.
    pub prompt_segments: Vec<PromptSegment>,
}

impl Requirements {
    /// Ids of the segments of the prompt but the last, which is the request's own.
    pub fn leading_segments(&self) -> Vec<SegmentId> {
        let leading = self.prompt_segments.split_last().map_or(&[][..], |(_, leading)| leading);
        leading.iter().map(|s| s.id).collect()
    }

    /// Hash of what an engine computes for the request: the model, the adapter and the whole
    /// prompt, whoever sends it. None if the request does not state its prompt.
    ///
    /// ```
    /// use goldcrestpitch::core::forwarding::{PromptSegment, Requirements};
    /// let segment = |id| PromptSegment { id, tokens: 100 };
    /// let prompt = |segments: &[u64]| Requirements {
    ///     model: Some("m".into()),
    ///     prompt_segments: segments.iter().map(|id| segment(*id)).collect(),
    ///     ..Requirements::default()
    /// };
    /// assert_eq!(prompt(&[1, 2]).computation(), prompt(&[1, 2]).computation());
    /// assert_ne!(prompt(&[1, 2]).computation(), prompt(&[1, 3]).computation());
    /// assert_eq!(prompt(&[]).computation(), None);
    /// ```
    pub fn computation(&self) -> Option<u64> {
        let model = self.model.as_ref().filter(|_| !self.prompt_segments.is_empty())?;
        let adapter = self.adapter.as_deref().unwrap_or_default();
        let mut prompt = Vec::with_capacity(self.prompt_segments.len() * 12);
        for segment in &self.prompt_segments {
            prompt.extend(segment.id.to_le_bytes());
            prompt.extend(segment.tokens.to_le_bytes());
        }
        Some(hash::stable(&[model.as_bytes(), adapter.as_bytes(), &prompt]))
    }

    /// The model, with the adapter if one is named.
    pub fn model_ref(&self) -> Option<ModelRef> {
        self.model.clone().map(|model| (model, self.adapter.clone()))
    }

    /// KV cache tokens that the request occupies when its response is complete.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
