//! What a request needs of its endpoint.

use std::sync::Arc;

use crate::core::ids::ModelName;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request needs of its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Requirements {
    /// The model, for engines.
    pub model: Option<ModelName>,
    /// An adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Parts of the prompt in order.
    pub prompt_segments: Vec<PromptSegment>,
}

impl Requirements {
    /// Tokens of memory that the request takes at its end.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
