//! Decodes the client accounts in the operator's configuration.

use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    core::accounts::{Account, Accounts, QuotaSpec, QuotaUnit},
    platform::DecodeError,
};

/// What a request without token counts uses of a quota in tokens, if the account does not say.
const DEFAULT_PLAIN_TOKENS: u32 = 1;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct AccountWire {
    name: String,
    #[serde(default)]
    api_keys: Option<Vec<String>>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    unit: Option<String>,
    #[serde(default)]
    plain_tokens: Option<u32>,
    #[serde(default)]
    rate_per_s: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
}

impl AccountWire {
    /// The quota; none if the rate is 0 or absent. A burst that is 0 or absent is what accrues
    /// in a second, and at least 1, since otherwise no request could ever be served.
    fn quota(&self) -> Option<QuotaSpec> {
        let rate_per_s = self.rate_per_s.filter(|rate| 0.0 < *rate)?;
        let unit = match self.unit.as_deref() {
            Some("tokens") => QuotaUnit::Tokens {
                plain_tokens: self.plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS),
            },
            _ => QuotaUnit::Requests,
        };
        let burst = self.burst.filter(|burst| 0.0 < *burst).unwrap_or(rate_per_s.max(1.0));
        Some(QuotaSpec { rate_per_s, burst, unit })
    }
}

/// The directory of the accounts.
///
/// # Errors
/// [`DecodeError`] for an account that cannot be read or has a name that no header can carry. It
/// is logged, and so leaves out the error of `serde_json`, which may quote a key.
pub(super) fn accounts(list: Value) -> Result<Accounts, DecodeError> {
    let Value::Array(list) = list else {
        return Err(DecodeError("the client accounts are not a list".to_owned()));
    };
    let read = |(i, value)| {
        let unreadable = |_| DecodeError(format!("client account {} cannot be read", i + 1));
        serde_json::from_value(value).map_err(unreadable)
    };
    let wire: Vec<AccountWire> =
        list.into_iter().enumerate().map(read).collect::<Result<_, _>>()?;
    let unusable =
        |a: &&AccountWire| a.name.is_empty() || HeaderValue::from_bytes(a.name.as_bytes()).is_err();
    if let Some(account) = wire.iter().find(unusable) {
        return Err(DecodeError(format!("the account name {:?} is unusable", account.name)));
    }
    Ok(Accounts::new(wire.into_iter().map(|wire| {
        let quota = wire.quota();
        let account = Account { name: wire.name.into(), priority: wire.priority, quota };
        (account, wire.api_keys.unwrap_or_default())
    })))
}
