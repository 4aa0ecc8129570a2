//! Prompt segments that engines keep, as one gateway tells the others.

use prost::Message;

use crate::{
    core::forwarding::{EngineHash, KeptSegment, ReportedSegment},
    gossip::{GatewayStatus, MAX_DATAGRAM_BYTES},
};

/// Segments in one message, at most: 24 take 346 bytes with lengths below 16,384.
const MAX_SEGMENTS: usize = 24;
/// Bytes of a segment: 4 of the engine, 8 of the key, and up to 3 of the number of tokens.
const SEGMENT_BYTES: usize = 15;
/// Bytes in front of the message, of its three lists and of the status in its datagram.
const FRAMING_BYTES: usize = 16;

/// Segments that were in use recently, as three lists of equal length.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KeptSegments {
    /// Hash of the id of each engine.
    #[prost(fixed32, repeated, tag = "1")]
    pub engines: Vec<EngineHash>,
    /// Key of each segment and those before it.
    #[prost(fixed64, repeated, tag = "2")]
    pub keys: Vec<u64>,
    /// Length of each segment.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
}

impl KeptSegments {
    /// A message with these segments; none if there are none.
    pub fn new(reported: &[ReportedSegment]) -> Option<Self> {
        (!reported.is_empty()).then(|| Self {
            engines: reported.iter().map(|r| r.engine).collect(),
            keys: reported.iter().map(|r| r.segment.key).collect(),
            tokens: reported.iter().map(|r| r.segment.tokens).collect(),
        })
    }

    /// Number of segments that fit into a datagram beside the rest of a status.
    pub fn room_beside(status: &GatewayStatus) -> usize {
        let used = status.encoded_len() + FRAMING_BYTES;
        (MAX_DATAGRAM_BYTES.saturating_sub(used) / SEGMENT_BYTES).min(MAX_SEGMENTS)
    }

    /// The segments.
    pub fn segments(&self) -> impl Iterator<Item = ReportedSegment> {
        let lists = self.engines.iter().zip(&self.keys).zip(&self.tokens);
        lists.map(|((engine, key), tokens)| ReportedSegment {
            engine: *engine,
            segment: KeptSegment { key: *key, tokens: *tokens },
        })
    }
}
