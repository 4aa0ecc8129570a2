//! Client accounts: who may send requests, with which priority and quota.

mod access;
mod account;
mod directory;
mod labels;

pub use access::{Access, Denial, check_access};
pub use account::{Account, QuotaSpec, QuotaUnit};
pub use directory::{Accounts, KeyFingerprint, key_fingerprint};
pub use labels::{AccountLabels, MAX_LABELS, OTHER_ACCOUNTS};
