//! Messages about the software versions that began streams.

use std::time::Duration;

use prost::{Message, UnknownEnumValue};

use crate::core::{
    ids::StreamId,
    resumption::{self, Origin},
};

/// Streams in a datagram of [`Streams`]; an origin has up to 28 bytes.
const MAX_STREAMS_PER_DATAGRAM: usize = 45;

/// What a gateway knows, does not know or asks of streams.
#[derive(Clone, PartialEq, Message)]
pub struct Streams {
    /// Streams that it knows.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<StreamOrigin>,
    /// Streams that it was asked about and does not know.
    #[prost(fixed64, repeated, tag = "2")]
    pub unknown: Vec<u64>,
    /// Streams that it asks about.
    #[prost(fixed64, repeated, tag = "3")]
    pub asked: Vec<u64>,
}

impl Streams {
    /// Distributes reports over messages that fit a datagram each.
    pub fn batches(reports: &[resumption::OriginReport]) -> Vec<Self> {
        let batch = |chunk: &[resumption::OriginReport]| Self {
            known: chunk.iter().copied().map(StreamOrigin::from).collect(),
            ..Self::default()
        };
        reports.chunks(MAX_STREAMS_PER_DATAGRAM).map(batch).collect()
    }

    /// A question about a stream.
    pub fn question(stream: StreamId) -> Self {
        Self { asked: vec![stream], ..Self::default() }
    }
}

/// The software version that wrote the first event of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOrigin {
    /// Hash of the id of the caller's attempt that brought the first event.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the version, if it is known.
    #[prost(fixed64, tag = "2")]
    pub version: u64,
    /// What is known of the version, an [`OriginKind`].
    #[prost(enumeration = "OriginKind", tag = "3")]
    pub kind: i32,
    /// How long it has to be remembered, milliseconds.
    #[prost(uint32, tag = "4")]
    pub lifetime_ms: u32,
}

/// What is known of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OriginKind {
    /// The version.
    Version = 0,
    /// Its endpoint may have been started again with another one.
    Unsure = 1,
    /// Two gateways name different ones.
    Contradictory = 2,
}

impl From<resumption::OriginReport> for StreamOrigin {
    fn from(report: resumption::OriginReport) -> Self {
        let (kind, version) = match report.origin {
            Origin::Version(version) => (OriginKind::Version, version),
            Origin::Unsure => (OriginKind::Unsure, 0),
            Origin::Contradictory => (OriginKind::Contradictory, 0),
        };
        let lifetime_ms = u32::try_from(report.lifetime.as_millis()).unwrap_or(u32::MAX);
        Self { stream: report.stream, version, kind: kind.into(), lifetime_ms }
    }
}

impl TryFrom<StreamOrigin> for resumption::OriginReport {
    type Error = UnknownEnumValue;

    fn try_from(wire: StreamOrigin) -> Result<Self, UnknownEnumValue> {
        let origin = match OriginKind::try_from(wire.kind)? {
            OriginKind::Version => Origin::Version(wire.version),
            OriginKind::Unsure => Origin::Unsure,
            OriginKind::Contradictory => Origin::Contradictory,
        };
        let lifetime = Duration::from_millis(wire.lifetime_ms.into());
        Ok(Self { stream: wire.stream, origin, lifetime })
    }
}
