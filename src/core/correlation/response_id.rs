//! The request id in a response.

/// The request id in a response, compared with that of the request that awaits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseId {
    /// That of the request.
    Own,
    /// The response has none.
    Missing,
    /// That of another request.
    Other,
}

impl ResponseId {
    /// Compares the id in a response with that of the request.
    ///
    /// ```
    /// use goldcrestpitch::core::correlation::ResponseId;
    /// assert_eq!(ResponseId::new(Some(b"q1"), b"q1"), ResponseId::Own);
    /// assert_eq!(ResponseId::new(Some(b"q2"), b"q1"), ResponseId::Other);
    /// assert_eq!(ResponseId::new(None, b"q1"), ResponseId::Missing);
    /// ```
    pub fn new(found: Option<&[u8]>, request: &[u8]) -> Self {
        match found {
            None => Self::Missing,
            Some(id) if id == request => Self::Own,
            Some(_) => Self::Other,
        }
    }

    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Missing => "missing",
            Self::Other => "other",
        }
    }
}
