//! Server-sent events, as far as engines use them.

use bytes::{Buf, Bytes, BytesMut};

/// Splits a byte stream into the data of its events.
///
/// ```
/// use goldcrestpitch::http::SseParser;
/// let mut parser = SseParser::default();
/// parser.push(b"data: one\n\nda");
/// parser.push(b"ta: two\r\n\r\n");
/// assert_eq!(parser.next().as_deref(), Some(&b"one"[..]));
/// assert_eq!(parser.next().as_deref(), Some(&b"two"[..]));
/// assert_eq!(parser.next(), None);
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    buf: BytesMut,
}

impl SseParser {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Bytes that do not make a whole line yet.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// The data of the next event. Each event has one line of data.
    #[expect(clippy::should_implement_trait, reason = "it is fed between calls")]
    pub fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buf.iter().position(|b| *b == b'\n')?;
            let mut line = self.buf.split_to(end).freeze();
            self.buf.advance(1);
            if line.ends_with(b"\r") {
                line.truncate(line.len() - 1);
            }
            if line.starts_with(b"data:") {
                line.advance(b"data:".len());
                let padded = line.starts_with(b" ");
                line.advance(usize::from(padded));
                return Some(line);
            }
        }
    }
}
