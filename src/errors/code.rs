//! The table of result codes. `docs/errors.md` is held to it by a test.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Proven not to have run.
    NotRun,
    /// Ran, at least in part.
    Ran,
    /// May or may not have run.
    Unknown,
}

impl Outcome {
    /// The word that callers read.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:ident, $meaning:literal;)*) => {
        /// A numbered result.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $meaning] $name,)*
        }

        impl Code {
            /// Every code, in the order of its number.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The number that stays the same between versions.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number),* }
            }

            /// The HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// What the code says about the request.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome),* }
            }

            /// One sentence for the documentation.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning),* }
            }

            /// The name in machine-readable errors.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }
        }
    };
}

codes! {
    MalformedBody = 1001, 400, NotRun, "The body is not the JSON object that the path takes.";
    BodyTooLarge = 1002, 413, NotRun, "The body is larger than `request.max_body_kib`.";
    UnknownModel = 1003, 404, NotRun, "No model or adapter of that name is configured.";
    UnknownTenant = 1004, 403, NotRun, "The `x-tenant` header is missing or names no configured tenant.";
    UnknownClass = 1005, 400, NotRun, "The `x-class` header names no configured class.";
    BadDeadline = 1006, 400, NotRun, "The `x-deadline-ms` header is not a whole number of milliseconds from 1 to 3600000.";
    SlowSender = 1007, 408, NotRun, "The body did not arrive within `request.body_timeout_ms`.";
    UnknownService = 1009, 404, NotRun, "No plain service of that name is configured.";
    KeyReused = 1010, 422, NotRun, "The idempotency key was used before with another body.";
    UnknownPath = 1011, 404, NotRun, "The path or method is not served.";
    BadKey = 1012, 400, NotRun, "The `idempotency-key` header is empty, longer than 200 bytes or not visible ASCII.";
    RateLimited = 2001, 429, NotRun, "The tenant's `tenant.rate_per_s` is used up.";
    ConcurrencyLimited = 2002, 429, NotRun, "The tenant has `tenant.concurrency` requests in progress at this entry.";
    QueueFull = 2003, 503, NotRun, "The endpoint's queue is full.";
    DeadlineTooShort = 2004, 503, NotRun, "The request could not start before its deadline.";
    Quarantined = 2005, 422, NotRun, "The request crashed endpoints before and is no longer run.";
    NoEndpoint = 3001, 503, NotRun, "No endpoint for the target answered or admitted the request.";
    Draining = 3002, 503, NotRun, "The process is in graceful shutdown.";
    NotResident = 3003, 503, NotRun, "The model is not loaded on the endpoint and cannot be made to fit.";
    ClaimUnavailable = 3004, 503, NotRun, "The idempotency key could not be claimed in the log.";
    NotReady = 3005, 503, NotRun, "The process has no configuration yet.";
    StaleTicket = 3006, 503, NotRun, "The attempt names another incarnation of the agent or an expired probe.";
    Fenced = 3007, 503, NotRun, "The attempt was forbidden before it started.";
    EndpointFailed = 4001, 502, Unknown, "The endpoint failed while the request ran.";
    DeadlineExceeded = 4002, 504, Unknown, "The deadline passed while the request ran.";
    OutcomeUnknown = 4003, 409, Unknown, "An earlier request with this key may have run; it is not run again.";
    DuplicateAttempt = 4004, 409, Unknown, "The agent has seen this attempt before.";
    StaleBase = 5001, 409, NotRun, "The path was changed since the revision that the change names.";
    MissingReason = 5002, 422, NotRun, "An exception needs a written reason.";
    UnknownKey = 5003, 422, NotRun, "The configuration has no such key.";
    BadValue = 5004, 422, NotRun, "The value is outside the range of its key.";
    BadSelector = 5005, 422, NotRun, "The key takes no exception for this selector, or the selected item is not configured.";
    DoesNotFit = 5006, 422, NotRun, "The models would no longer fit the endpoints.";
    NothingToDrop = 5007, 404, NotRun, "There is no such exception or item.";
    UnreadableRecord = 5008, 422, NotRun, "The record is not one that this version reads.";
    LogUnavailable = 5009, 503, Unknown, "The log did not confirm the change in time; read the history before trying again.";
    UnknownSetting = 6001, 0, NotRun, "The settings file has a section or key that is not known.";
    BadSetting = 6002, 0, NotRun, "A setting has a value that is not of its kind.";
    MissingSetting = 6003, 0, NotRun, "A required setting is missing.";
    NotAnAddress = 6004, 0, NotRun, "A setting is not an IP address with a port.";
    Contradiction = 6005, 0, NotRun, "Two settings contradict each other.";
    UnreadableSettings = 6006, 0, NotRun, "The settings file cannot be read or is not INI.";
    AddressTaken = 7001, 0, NotRun, "The listening address is held by another process.";
}

impl Code {
    /// Finds a code by its number.
    ///
    /// ```
    /// use goldcrestpitch::errors::Code;
    /// assert_eq!(Code::from_number(1003), Some(Code::UnknownModel));
    /// assert_eq!(Code::from_number(1), None);
    /// ```
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.iter().copied().find(|c| c.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
