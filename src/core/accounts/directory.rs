//! Finds client accounts by their keys.

use std::{collections::HashMap, fmt, sync::Arc};

use sha2::{Digest, Sha256};

use crate::core::{accounts::Account, ids::AccountName};

/// SHA-256 of a key.
type KeyDigest = [u8; 32];

/// Tells keys apart in log lines without disclosing them: the first 32 bits of their SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyFingerprint(u32);

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

/// The fingerprint of a key. `printf %s KEY | sha256sum` begins with the same eight characters.
///
/// ```
/// use goldcrestpitch::core::accounts::key_fingerprint;
/// assert_eq!(key_fingerprint(b"abc").to_string(), "ba7816bf");
/// ```
pub fn key_fingerprint(key: &[u8]) -> KeyFingerprint {
    let [a, b, c, d, ..] = digest(key);
    KeyFingerprint(u32::from_be_bytes([a, b, c, d]))
}

/// The client accounts of one configuration version, by the SHA-256 of their keys.
///
/// A look-up costs the same with any number of keys. Its duration may depend on the digest of a
/// key that a caller sends, which tells nothing about the known keys.
///
/// ```
/// use goldcrestpitch::core::accounts::{Account, Accounts};
/// let account = Account { name: "a".into(), priority: Some(1), quota: None };
/// let accounts = Accounts::new([(account, vec!["k1".to_owned(), "k2".to_owned()])]);
/// assert_eq!(&*accounts.find(b"k2").unwrap().name, "a");
/// assert!(accounts.find(b"k").is_none());
/// ```
#[derive(Clone, Default)]
pub struct Accounts {
    accounts: Vec<Arc<Account>>,
    by_key: HashMap<KeyDigest, Arc<Account>>,
}

// Digests are left out: a key that can be guessed could be found from its digest.
impl fmt::Debug for Accounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&AccountName> = self.accounts.iter().map(|a| &a.name).collect();
        f.debug_struct("Accounts").field("names", &names).finish_non_exhaustive()
    }
}

impl Accounts {
    /// Creates the directory from accounts with their keys. All gateways must read a contradictory
    /// list in the same way: a key that several accounts have belongs to the first of them, and of
    /// several accounts with one name the first holds, with the keys of all. Empty keys are
    /// left out.
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<String>)>) -> Self {
        let mut directory = Self::default();
        let mut by_name: HashMap<AccountName, Arc<Account>> = HashMap::new();
        for (account, keys) in accounts {
            let known = by_name.get(&account.name).cloned();
            let account = known.unwrap_or_else(|| {
                let account = Arc::new(account);
                by_name.insert(account.name.clone(), account.clone());
                directory.accounts.push(account.clone());
                account
            });
            for key in keys.iter().filter(|key| !key.is_empty()) {
                directory.by_key.entry(digest(key.as_bytes())).or_insert_with(|| account.clone());
            }
        }
        directory
    }

    /// Finds the account of a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&digest(key))
    }

    /// All accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Number of different keys.
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }
}
