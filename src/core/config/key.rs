//! The keys that operators can set, with unit, range and default.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::core::config::ItemKind;

macro_rules! keys {
    ($($variant:ident = $name:literal, $default:literal, $min:literal..=$max:literal, [$($scope:ident),*], $doc:literal;)*) => {
        /// A configuration key. Every value is a whole number in the unit that the name ends with.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Key {
            $(#[doc = $doc] $variant,)*
        }

        impl Key {
            /// Every key.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// The name in records and on the command line.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),* }
            }

            /// The value when neither a default nor an exception is set.
            pub fn default_value(self) -> u64 {
                match self { $(Self::$variant => $default),* }
            }

            /// Smallest and largest accepted value.
            pub fn range(self) -> (u64, u64) {
                match self { $(Self::$variant => ($min, $max)),* }
            }

            /// The kinds of item that an exception may select, highest precedence first.
            pub fn scopes(self) -> &'static [ItemKind] {
                match self { $(Self::$variant => &[$(ItemKind::$scope),*]),* }
            }

            /// What the key does.
            pub fn doc(self) -> &'static str {
                match self { $(Self::$variant => $doc),* }
            }
        }
    };
}

keys! {
    MaxBodyKib = "request.max_body_kib", 1024, 1..=65536, [Tenant], "Largest request body, KiB.";
    BodyTimeoutMs = "request.body_timeout_ms", 10000, 100..=600000, [Tenant], "Time in which the body must arrive.";
    DeadlineMs = "request.deadline_ms", 30000, 1..=3600000, [Class, Tenant], "Deadline of a request that names none.";
    RatePerSecond = "tenant.rate_per_s", 1000, 1..=1000000, [Tenant], "Requests a second of one tenant, at one entry.";
    Concurrency = "tenant.concurrency", 512, 1..=100000, [Tenant], "Requests in progress of one tenant, at one entry.";
    Weight = "tenant.weight", 100, 1..=10000, [Tenant], "Share of an endpoint's queue against other tenants.";
    Priority = "class.priority", 5, 0..=9, [Class], "Order in the endpoint's queue; 0 goes first.";
    FirstTokenMs = "class.first_token_ms", 1200, 1..=600000, [Class, Model], "Target for the first token.";
    TokenGapMs = "class.token_gap_ms", 27, 1..=60000, [Class, Model], "Target between tokens.";
    RetryPercent = "retry.budget_percent", 20, 0..=100, [Tenant], "Retries as a share of a tenant's requests.";
    MaxAttempts = "retry.max_attempts", 3, 1..=10, [Class, Tenant], "Attempts of one request, the first included.";
    MinReplicas = "model.min_replicas", 1, 1..=1000, [Model], "Endpoints that keep the model loaded.";
    KvReservePercent = "endpoint.kv_reserve_percent", 25, 0..=90, [Endpoint], "Memory kept free of models.";
    QueueLimit = "endpoint.queue_limit", 64, 0..=100000, [Endpoint], "Requests that wait at one endpoint.";
    MaxRunning = "endpoint.max_running", 32, 1..=10000, [Endpoint], "Requests that run at one endpoint together.";
    OrderDelayMaxMs = "endpoint.order_delay_max_ms", 2000, 1..=600000, [Endpoint], "Longest time an order may be on its way to the engine.";
    ChecksFencing = "endpoint.checks_fencing", 0, 0..=1, [Endpoint], "1 when the engine refuses orders with an old fencing number.";
    QuarantineCrashes = "quarantine.crashes", 2, 1..=10, [Tenant], "Endpoint crashes after which a request is no longer run.";
}

impl FromStr for Key {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().copied().find(|k| k.name() == name);
        found.ok_or_else(|| format!("key {name:?} does not exist"))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Selects the item of an exception, written `kind=name`.
///
/// ```
/// use goldcrestpitch::core::config::{ItemKind, Selector};
/// let s: Selector = "tenant=stundenwerk".parse().unwrap();
/// assert_eq!(s.kind, ItemKind::Tenant);
/// assert_eq!(s.to_string(), "tenant=stundenwerk");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: String,
}

impl FromStr for Selector {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let Some((kind, name)) = text.split_once('=') else {
            return Err(format!("selector {text:?} must have the form kind=name"));
        };
        Ok(Self { kind: kind.parse()?, name: name.to_owned() })
    }
}

impl TryFrom<String> for Selector {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(s: Selector) -> Self {
        s.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.kind, self.name)
    }
}
