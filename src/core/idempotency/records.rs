//! Records of the claim streams, stored as JSON.

use serde::{Deserialize, Serialize};

use crate::core::ids::{AttemptId, EndpointId, EntryId, Incarnation, Offset};

/// One record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimRecord {
    /// An entry claims a key in order to run its request.
    Claim(Claim),
    /// The claimed attempt ran and returned an answer.
    Settle(Settle),
    /// The claimed attempt did not run and never will.
    Abandon {
        /// The idempotency key, as in [`Claim::key`].
        key: String,
        /// The abandoned attempt.
        attempt: AttemptId,
    },
}

impl ClaimRecord {
    /// The idempotency key of the record.
    pub fn key(&self) -> &str {
        match self {
            Self::Claim(claim) => &claim.key,
            Self::Settle(settle) => &settle.key,
            Self::Abandon { key, .. } => key,
        }
    }
}

/// Claims a key for one attempt on one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Tenant, target and the caller's idempotency key.
    pub key: String,
    /// Hash of the body, to detect a key that is reused for another request.
    pub digest: u64,
    /// Id of the attempt, unique to this claim.
    pub attempt: AttemptId,
    /// The entry that made the claim.
    pub entry: EntryId,
    /// The only agent that may run the attempt.
    pub agent: EndpointId,
    /// The only incarnation of that agent that may run it.
    pub incarnation: Incarnation,
    /// Uptime of the agent when it was probed, ms.
    pub ticket_ms: u64,
    /// Offset of the claim that this one replaces, if any.
    pub supersedes: Option<Offset>,
}

/// Records the answer of an attempt that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The idempotency key, as in [`Claim::key`].
    pub key: String,
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// Answer of the attempt.
    pub answer: Answer,
}

/// HTTP response of an attempt, as stored in the log for duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body; `None` when it is too large to store or not UTF-8.
    pub body: Option<String>,
}

impl Answer {
    // Larger bodies are not stored in the log.
    const MAX_BODY_BYTES: usize = 4096;

    /// Converts a response to the form that is stored for duplicates.
    ///
    /// ```
    /// use goldcrestpitch::core::idempotency::Answer;
    /// assert_eq!(Answer::from_response(200, "text/plain", b"ok").body.as_deref(), Some("ok"));
    /// assert_eq!(Answer::from_response(200, "text/plain", &[0; 5000]).body, None);
    /// ```
    pub fn from_response(status: u16, content_type: &str, body: &[u8]) -> Self {
        let small = body.len() <= Self::MAX_BODY_BYTES;
        let text = small.then(|| String::from_utf8(body.to_vec()).ok()).flatten();
        Self { status, content_type: content_type.to_owned(), body: text }
    }
}
