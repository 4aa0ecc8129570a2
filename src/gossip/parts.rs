//! Splits messages that are larger than a datagram, and joins them again.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use prost::Message;

use crate::gossip::{Body, Datagram, MAX_DATAGRAM_BYTES};

/// Bytes of a datagram beside those of the message: the numbers of the part, and framing.
const FRAMING_BYTES: usize = 32;
const PART_BYTES: usize = MAX_DATAGRAM_BYTES - FRAMING_BYTES;
/// Most parts of a message, 342 KiB: ten times what an engine with a thousand models reports.
const MAX_PARTS: usize = 256;
/// How long the parts of a message are kept while others are missing. They are sent at once.
const PART_LIFETIME: Duration = Duration::from_millis(2000);
/// Most bytes that are kept of messages with missing parts.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// A part of an encoded [`Datagram`].
#[derive(Clone, PartialEq, Message)]
pub struct Part {
    /// Identifies the start of the sender.
    #[prost(fixed32, tag = "1")]
    pub start: u32,
    /// Number of the message since that start.
    #[prost(uint32, tag = "2")]
    pub message: u32,
    /// Position of the part.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of parts of the message.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Its bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}

/// Encodes messages into datagrams, however large they are.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::gossip::{Body, Datagram, Hello, PartAssembler, PartSplitter};
/// use prost::Message;
/// let used_models = (0..100).map(|i| format!("a-model-with-a-long-name-{i}")).collect();
/// let body = Body::Hello(Hello { used_models, ..Hello::default() });
/// let mut datagrams = PartSplitter::default().encode(body.clone()).unwrap();
/// assert_eq!(datagrams.len(), 3);
/// // Datagrams may overtake each other.
/// datagrams.reverse();
/// let (from, mut assembler) = ("127.0.0.1:1".parse().unwrap(), PartAssembler::default());
/// let bodies = datagrams.iter().map(|d| Datagram::decode(&**d).unwrap().body.unwrap());
/// let joined: Vec<_> = bodies.filter_map(|b| assembler.accept(Instant::now(), from, b)).collect();
/// assert_eq!(joined, [body]);
/// ```
#[derive(Debug)]
pub struct PartSplitter {
    start: u32,
    next_message: AtomicU32,
}

impl Default for PartSplitter {
    fn default() -> Self {
        Self { start: fastrand::u32(..), next_message: AtomicU32::new(0) }
    }
}

impl PartSplitter {
    /// Encodes a message: as it is if that fits a datagram, else in parts.
    ///
    /// # Errors
    /// The size in bytes of a message that has too many parts.
    pub fn encode(&self, body: Body) -> Result<Vec<Vec<u8>>, usize> {
        let bytes = Datagram { body: Some(body) }.encode_to_vec();
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Ok(vec![bytes]);
        }
        let count = bytes.len().div_ceil(PART_BYTES);
        if MAX_PARTS < count {
            return Err(bytes.len());
        }
        let message = self.next_message.fetch_add(1, Ordering::Relaxed);
        let part = |(index, bytes): (usize, &[u8])| Part {
            start: self.start,
            message,
            index: index as u32,
            count: count as u32,
            bytes: bytes.to_vec(),
        };
        let parts = bytes.chunks(PART_BYTES).enumerate().map(part);
        Ok(parts.map(|p| Datagram { body: Some(Body::Part(p)) }.encode_to_vec()).collect())
    }
}

/// Joins messages from their parts. A message with a missing part is dropped as a whole.
#[derive(Debug, Default)]
pub struct PartAssembler {
    // In the order in which their first parts arrived.
    messages: Vec<Incomplete>,
}

#[derive(Debug)]
struct Incomplete {
    from: SocketAddr,
    start: u32,
    message: u32,
    since: Instant,
    parts: Vec<Vec<u8>>,
}

impl Incomplete {
    fn new(now: Instant, from: SocketAddr, part: &Part) -> Self {
        let parts = vec![Vec::new(); part.count as usize];
        Self { from, start: part.start, message: part.message, since: now, parts }
    }

    fn is_of(&self, from: SocketAddr, part: &Part) -> bool {
        let id = (self.from, self.start, self.message, self.parts.len());
        id == (from, part.start, part.message, part.count as usize)
    }

    fn is_complete(&self) -> bool {
        self.parts.iter().all(|part| !part.is_empty())
    }

    fn bytes(&self) -> usize {
        self.parts.iter().map(|part| size_of_val(part) + part.len()).sum()
    }
}

impl PartAssembler {
    /// Takes what a datagram contains, and returns the message that it is or completes.
    pub fn accept(&mut self, now: Instant, from: SocketAddr, body: Body) -> Option<Body> {
        let Body::Part(part) = body else { return Some(body) };
        self.messages.retain(|m| now < m.since + PART_LIFETIME);
        let (index, count) = (part.index as usize, part.count as usize);
        if MAX_PARTS < count || count <= index || part.bytes.is_empty() {
            return None;
        }
        let position = self.messages.iter().position(|m| m.is_of(from, &part));
        let position = position.unwrap_or_else(|| {
            self.messages.push(Incomplete::new(now, from, &part));
            self.messages.len() - 1
        });
        self.messages[position].parts[index] = part.bytes;
        if self.messages[position].is_complete() {
            let bytes = self.messages.remove(position).parts.concat();
            let joined = Datagram::decode(&*bytes).ok()?.body?;
            return (!matches!(joined, Body::Part(_))).then_some(joined);
        }
        let mut kept = self.kept_bytes();
        while MAX_KEPT_BYTES < kept {
            kept -= self.messages.remove(0).bytes();
        }
        None
    }

    /// Bytes that are kept of messages with missing parts.
    pub fn kept_bytes(&self) -> usize {
        self.messages.iter().map(Incomplete::bytes).sum()
    }
}
