//! Keys of prompt segments, each for the segment and all before it.

use crate::core::{forwarding::Requirements, hash};

/// Identifies a segment after those before it, for a model and adapter. The upper 16 bits are the
/// [`ModelTag`], so that an unloaded model's segments are found without the model's name.
pub type ChainKey = u64;
/// Hash of a model's name.
pub(super) type ModelTag = u16;

const TAG_SHIFT: u32 = 48;

/// A segment that an engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptSegment {
    /// The segment and those before it.
    pub key: ChainKey,
    /// Length of the segment in tokens.
    pub tokens: u32,
}

/// The segments of a request's prompt.
///
/// ```
/// use goldcrestpitch::core::forwarding::{PromptSegment, Requirements, chain};
/// let prompt = |model: &str| Requirements {
///     model: Some(model.into()),
///     prompt_segments: vec![PromptSegment { id: 1, tokens: 100 }],
///     ..Requirements::default()
/// };
/// assert_ne!(chain(&prompt("m")), chain(&prompt("n")));
/// ```
pub fn chain(requirements: &Requirements) -> Vec<KeptSegment> {
    links(requirements).collect()
}

/// The same, computed as far as it is needed.
pub(super) fn links(requirements: &Requirements) -> impl Iterator<Item = KeptSegment> {
    let model = requirements.model.as_deref().unwrap_or_default();
    let adapter = requirements.adapter.as_deref().unwrap_or_default();
    let tag = ChainKey::from(model_tag(model)) << TAG_SHIFT;
    let first = hash::stable(&[model.as_bytes(), adapter.as_bytes()]);
    requirements.prompt_segments.iter().scan(first, move |before, segment| {
        *before = hash::stable(&[&before.to_le_bytes(), &segment.id.to_le_bytes()]);
        let key = tag | (*before & ((1 << TAG_SHIFT) - 1));
        Some(KeptSegment { key, tokens: segment.tokens })
    })
}

pub(super) fn model_tag(model: &str) -> ModelTag {
    hash::stable(&[model.as_bytes()]) as ModelTag
}

pub(super) fn tag_of(key: ChainKey) -> ModelTag {
    (key >> TAG_SHIFT) as ModelTag
}
