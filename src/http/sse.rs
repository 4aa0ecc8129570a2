//! Parser for the subset of server-sent events that engines send.

use bytes::{Buf, Bytes, BytesMut};

/// Splits a byte stream into the `data` lines of its events. Other lines are skipped.
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
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Number of buffered bytes: those of the incomplete last line once [`Self::next`] has
    /// returned `None`.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Returns the data of the next event, or `None` if more bytes are needed. Each event
    /// must have exactly one `data` line.
    #[expect(clippy::should_implement_trait, reason = "`push` may add bytes after `None`")]
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
                let has_space = line.starts_with(b" ");
                line.advance(usize::from(has_space));
                return Some(line);
            }
        }
    }
}
