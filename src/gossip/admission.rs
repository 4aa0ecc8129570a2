//! Messages on the admission of prompts to an engine.

use std::time::{Duration, Instant};

use crate::core::admission::{Answer, Ask};

/// From a gateway to an engine agent: asks for the admission of a prompt, or withdraws it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionRequest {
    /// Random number of the question. A question that is sent again keeps its number; the next one of
    /// the same request has another. Earlier versions send the ticket of the request.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// Request id that the engine will see.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Work to read the prompt, in tokens of the data sheet's engine.
    #[prost(uint32, tag = "3")]
    pub work: u32,
    /// KV cache tokens that the request occupies when it is complete.
    #[prost(uint64, tag = "4")]
    pub kv_tokens: u64,
    /// Priority; 0 is the highest.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// Longest pause of its stream that is on time, milliseconds.
    #[prost(uint32, tag = "6")]
    pub pause_ms: u32,
    /// Longest time that it may wait at the agent, milliseconds.
    #[prost(uint32, tag = "7")]
    pub wait_ms: u32,
    /// It is withdrawn.
    #[prost(bool, tag = "8")]
    pub withdrawn: bool,
}

impl AdmissionRequest {
    /// What is asked for at this moment.
    pub fn ask(&self, now: Instant) -> Ask {
        Ask {
            request: self.request.as_str().into(),
            work: self.work,
            kv_tokens: self.kv_tokens,
            priority: u8::try_from(self.priority).unwrap_or(u8::MAX),
            pause: Duration::from_millis(self.pause_ms.into()),
            wait_until: now + Duration::from_millis(self.wait_ms.into()),
        }
    }
}

/// From an engine agent to a gateway.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionAnswer {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// What was decided, an [`AdmissionKind`].
    #[prost(enumeration = "AdmissionKind", tag = "2")]
    pub kind: i32,
    /// Expected wait, milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Kinds of [`AdmissionAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum AdmissionKind {
    /// The prompt may be sent now.
    Admitted = 0,
    /// It waits at the agent.
    Waits = 1,
    /// The engine has no room in time.
    Full = 2,
}

impl AdmissionAnswer {
    /// The message for an answer.
    pub fn new(question: u64, answer: Answer) -> Self {
        let (kind, wait) = match answer {
            Answer::Admitted => (AdmissionKind::Admitted, Duration::ZERO),
            Answer::Waits(wait) => (AdmissionKind::Waits, wait),
            Answer::Full(wait) => (AdmissionKind::Full, wait),
        };
        Self { question, kind: kind.into(), wait_ms: wait.as_millis() as u32 }
    }

    /// The answer in the message.
    pub fn answer(&self) -> Answer {
        let wait = Duration::from_millis(self.wait_ms.into());
        match self.kind() {
            AdmissionKind::Admitted => Answer::Admitted,
            AdmissionKind::Waits => Answer::Waits(wait),
            AdmissionKind::Full => Answer::Full(wait),
        }
    }
}
