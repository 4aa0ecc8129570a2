//! Records of the claim streams.

use serde::{Deserialize, Serialize};

use crate::core::ids::{AttemptId, EndpointId, EntryId, Incarnation, Offset};

/// One record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimRecord {
    /// An entry wants to run the request of a key.
    Claim(Claim),
    /// The attempt of a key ended with an answer.
    Settle(Settle),
    /// The claimer will never run its attempt.
    Abandon {
        /// The key.
        key: String,
        /// The attempt that was not and will not be run.
        attempt: AttemptId,
    },
}

impl ClaimRecord {
    /// The key that the record is about.
    pub fn key(&self) -> &str {
        match self {
            Self::Claim(claim) => &claim.key,
            Self::Settle(settle) => &settle.key,
            Self::Abandon { key, .. } => key,
        }
    }
}

/// A claim names the one agent that may run the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Tenant, target and the caller's key.
    pub key: String,
    /// Hash of the body.
    pub digest: u64,
    /// The attempt, which is tried only under this claim.
    pub attempt: AttemptId,
    /// The entry that claims.
    pub entry: EntryId,
    /// The agent that may run the attempt.
    pub agent: EndpointId,
    /// The start of that agent that may run it.
    pub incarnation: Incarnation,
    /// The agent's uptime when it was probed, ms.
    pub ticket_ms: u64,
    /// Offset of the claim that this one replaces.
    pub supersedes: Option<Offset>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The key.
    pub key: String,
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// Its answer.
    pub answer: Answer,
}

/// The answer of an attempt that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body; none when it was too large to keep.
    pub body: Option<String>,
}

impl Answer {
    // Larger answers are not kept in the log.
    const MAX_KEPT_BYTES: usize = 4096;

    /// The answer as it is kept for duplicates.
    ///
    /// ```
    /// use goldcrestpitch::core::idempotency::Answer;
    /// assert_eq!(Answer::from_response(200, "text/plain", b"ok").body.as_deref(), Some("ok"));
    /// assert_eq!(Answer::from_response(200, "text/plain", &[0; 5000]).body, None);
    /// ```
    pub fn from_response(status: u16, content_type: &str, body: &[u8]) -> Self {
        let small = body.len() <= Self::MAX_KEPT_BYTES;
        let text = small.then(|| String::from_utf8(body.to_vec()).ok()).flatten();
        Self { status, content_type: content_type.to_owned(), body: text }
    }
}
