//! Whether a request may be forwarded, and for whom.

use std::{sync::Arc, time::Duration};

use crate::core::{
    accounts::{Account, Accounts, KeyFingerprint, key_fingerprint},
    ids::AccountName,
};

/// For whom a request is forwarded.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The configuration has no client accounts.
    Unrestricted,
    /// The route needs no key.
    Anonymous,
    /// This account.
    Account(Arc<Account>),
}

impl Access {
    /// The account, if there is one.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unrestricted | Self::Anonymous => None,
        }
    }

    /// Name of the account, if there is one.
    pub fn account_name(&self) -> Option<&AccountName> {
        self.account().map(|account| &account.name)
    }
}

/// Why a request must not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no key.
    NoKey,
    /// No account has its key.
    UnknownKey(KeyFingerprint),
    /// The known accounts are older than a process that fails closed may use.
    Outdated,
}

impl Denial {
    /// Name of the cause in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey(_) => "unknown_key",
            Self::Outdated => "outdated",
        }
    }
}

/// Decides whether a request with this key may be forwarded. `age` is the time since the store was
/// last read (none if it never was), `max_age` the largest one at which keys are still used, if
/// there is a limit.
///
/// # Errors
/// Why it may not.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::core::accounts::{Access, Accounts, Denial, check_access};
/// let accounts = Accounts::new([]);
/// let age = Some(Duration::from_secs(1));
/// assert_eq!(check_access(None, true, None, age, None), Ok(Access::Unrestricted));
/// assert_eq!(check_access(Some(&accounts), false, None, age, None), Ok(Access::Anonymous));
/// assert_eq!(check_access(Some(&accounts), true, None, age, None), Err(Denial::NoKey));
/// ```
pub fn check_access(
    accounts: Option<&Accounts>,
    needs_key: bool,
    key: Option<&[u8]>,
    age: Option<Duration>,
    max_age: Option<Duration>,
) -> Result<Access, Denial> {
    let Some(accounts) = accounts else { return Ok(Access::Unrestricted) };
    if !needs_key {
        return Ok(Access::Anonymous);
    }
    if max_age.is_some_and(|max| age.is_none_or(|age| max < age)) {
        return Err(Denial::Outdated);
    }
    let key = key.ok_or(Denial::NoKey)?;
    let account = accounts.find(key).ok_or_else(|| Denial::UnknownKey(key_fingerprint(key)))?;
    Ok(Access::Account(account.clone()))
}
