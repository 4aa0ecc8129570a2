//! A refusal: a code with the words and the delay that go with it.

use std::{fmt, time::Duration};

use serde::Serialize;

use crate::errors::{Code, Outcome};

/// Why a request or a change was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// Names the thing that was refused.
    pub message: String,
    /// When a retry may succeed.
    pub retry_after: Option<Duration>,
    /// What is known about the request; the code's own outcome unless it was changed.
    pub outcome: Outcome,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    code: u32,
    name: &'a str,
    message: &'a str,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal with the outcome of its code.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None, outcome: code.outcome() }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Replaces the code's own outcome.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The JSON body that callers get.
    ///
    /// ```
    /// use goldcrestpitch::errors::{Code, Refusal};
    /// let body = Refusal::new(Code::UnknownModel, "model \"x\" is not configured").to_json();
    /// assert!(body.contains("\"outcome\":\"not_run\""));
    /// ```
    pub fn to_json(&self) -> String {
        let inner = Inner {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|d| d.as_millis() as u64),
        };
        serde_json::to_string(&Body { error: inner }).unwrap_or_default()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}
