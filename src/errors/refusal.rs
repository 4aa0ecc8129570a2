//! Refusals: a result code with a message and a retry delay.

use std::{fmt, time::Duration};

use serde::Serialize;

use crate::errors::{Code, Outcome};

/// Reason why a request or a configuration change was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Message that names what was refused.
    pub message: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Whether the request took effect; the outcome of the code unless it was replaced.
    pub outcome: Outcome,
}

#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    code: u32,
    name: &'a str,
    message: &'a str,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal with the outcome of its code.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None, outcome: code.outcome() }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Replaces the outcome of the code.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The JSON body of the error response.
    ///
    /// ```
    /// use goldcrestpitch::errors::{Code, Refusal};
    /// let body = Refusal::new(Code::UnknownModel, "model \"x\" is not configured").to_json();
    /// assert!(body.contains("\"outcome\":\"not_run\""));
    /// ```
    pub fn to_json(&self) -> String {
        let error = ErrorDetails {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|d| d.as_millis() as u64),
        };
        serde_json::to_string(&ErrorResponse { error }).unwrap_or_default()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}
