//! Table of result codes. A test checks that `docs/errors.md` agrees with it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request provably did not run.
    NotRun,
    /// The request ran at least in part.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Name of the outcome in responses.
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
        /// Numbered result of a request, a configuration change or a process start.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $meaning] $name,)*
        }

        impl Code {
            /// All codes, sorted by number.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Number of the code, which is the same in all versions.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number),* }
            }

            /// HTTP status of a response with the code; 0 for codes that are not returned over HTTP.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Whether a request that gets the code took effect.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome),* }
            }

            /// One-sentence meaning for the documentation.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning),* }
            }

            /// Name of the code in JSON errors.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }
        }
    };
}

codes! {
    MalformedBody = 1001, 400, NotRun, "The body is not the JSON object that the path requires.";
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
    UnknownApiKey = 1013, 401, NotRun, "The request has no key, or one that belongs to no client account.";
    RateLimited = 2001, 429, NotRun, "The tenant has exceeded its rate limit `tenant.rate_per_s`.";
    ConcurrencyLimited = 2002, 429, NotRun, "The tenant already has `tenant.concurrency` requests in progress at this entry.";
    QueueFull = 2003, 503, NotRun, "The endpoint's queue is full.";
    DeadlineTooShort = 2004, 503, NotRun, "The request could not start before its deadline.";
    Quarantined = 2005, 422, NotRun, "The request is quarantined because endpoints crashed while they ran it.";
    QuotaExceeded = 2006, 429, NotRun, "The client account has used its quota.";
    MemoryShort = 2007, 503, NotRun, "The process holds as many bytes for others as its memory allows.";
    NoEndpoint = 3001, 503, NotRun, "No endpoint for the target answered or admitted the request.";
    Draining = 3002, 503, NotRun, "The process is shutting down gracefully.";
    NotResident = 3003, 503, NotRun, "The model is not loaded on the endpoint, and it does not fit or was not loaded in time.";
    ClaimUnavailable = 3004, 503, NotRun, "The idempotency key could not be claimed in the log.";
    NotReady = 3005, 503, NotRun, "The process has not received a configuration yet.";
    StaleTicket = 3006, 503, NotRun, "The attempt names another incarnation of the agent, or the ticket of its probe has expired.";
    Fenced = 3007, 503, NotRun, "The attempt was fenced before it started.";
    VersionGone = 3008, 503, NotRun, "No endpoint of the software version that began the stream accepts requests.";
    VersionUnknown = 3009, 503, NotRun, "It is not known which software version began the stream, so it cannot go on.";
    KeysOutdated = 3010, 503, NotRun, "The store was not read for longer than `accounts.revoke_ms`, and `accounts.fail_closed` is set.";
    EndpointFailed = 4001, 502, Unknown, "The endpoint failed while the request ran.";
    DeadlineExceeded = 4002, 504, Unknown, "The deadline passed while the request ran.";
    OutcomeUnknown = 4003, 409, Unknown, "An earlier request with this key may have run; it is not run again.";
    DuplicateAttempt = 4004, 409, Unknown, "The agent has seen this attempt before.";
    StaleBase = 5001, 409, NotRun, "The path was changed after the revision that the change names as its base.";
    MissingReason = 5002, 422, NotRun, "The change sets an exception without a written reason.";
    UnknownKey = 5003, 422, NotRun, "The configuration has no such key.";
    BadValue = 5004, 422, NotRun, "The value is outside the range of its key.";
    BadSelector = 5005, 422, NotRun, "The key takes no exception for this selector, or the selected item is not configured.";
    DoesNotFit = 5006, 422, NotRun, "Configured models would no longer fit into the memory of the endpoints.";
    NothingToDrop = 5007, 404, NotRun, "The exception or item to drop does not exist.";
    UnreadableRecord = 5008, 422, NotRun, "This version cannot read the record.";
    LogUnavailable = 5009, 503, Unknown, "The log did not confirm the change in time; read the history before trying again.";
    UnknownSetting = 6001, 0, NotRun, "The settings file has an unknown section or key.";
    BadSetting = 6002, 0, NotRun, "A setting has a value of the wrong type.";
    MissingSetting = 6003, 0, NotRun, "A required setting is missing.";
    NotAnAddress = 6004, 0, NotRun, "A setting is not an IP address with a port.";
    Contradiction = 6005, 0, NotRun, "Two settings contradict each other.";
    UnreadableSettings = 6006, 0, NotRun, "The settings file cannot be read or is not INI.";
    AddressTaken = 7001, 0, NotRun, "The listen address is in use by another process.";
}

impl Code {
    /// Returns the code with a number.
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
