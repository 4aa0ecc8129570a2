//! A client account and its quota.

use crate::core::{forwarding::Requirements, ids::AccountName};

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name given by the operator; endpoints are told it.
    pub name: AccountName,
    /// Takes precedence over the priority of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Limit on the requests of the account over all gateways; none if there is no limit.
    pub quota: Option<QuotaSpec>,
}

/// Limit on the requests of an account over all gateways: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSpec {
    /// Units that accrue in a second.
    pub rate_per_s: f64,
    /// Most units that accrue while none is used.
    pub burst: f64,
    /// What a request counts.
    pub unit: QuotaUnit,
}

/// The unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and output tokens.
    Tokens {
        /// What a request counts that does not state its tokens.
        plain_tokens: u32,
    },
}

impl Account {
    /// Units of the quota that a request uses; 0 if the account has no quota.
    ///
    /// ```
    /// use goldcrestpitch::core::accounts::{Account, QuotaSpec, QuotaUnit};
    /// use goldcrestpitch::core::forwarding::Requirements;
    /// let unit = QuotaUnit::Tokens { plain_tokens: 200 };
    /// let quota = Some(QuotaSpec { rate_per_s: 9000.0, burst: 9000.0, unit });
    /// let account = Account { name: "a".into(), priority: None, quota };
    /// let plain = Requirements::default();
    /// let prompt = Requirements { prompt_tokens: 1460, output_tokens: 80, ..plain.clone() };
    /// assert_eq!(account.cost(&plain), 200.0);
    /// assert_eq!(account.cost(&prompt), 1540.0);
    /// ```
    pub fn cost(&self, requirements: &Requirements) -> f64 {
        match self.quota.map(|quota| quota.unit) {
            None => 0.0,
            Some(QuotaUnit::Requests) => 1.0,
            Some(QuotaUnit::Tokens { plain_tokens }) => match requirements.kv_tokens() {
                0 => f64::from(plain_tokens),
                tokens => tokens as f64,
            },
        }
    }
}
