//! Labels of metrics by client account.

use std::collections::HashSet;

use crate::core::ids::AccountName;

/// Most accounts that have a label of their own. Each label is a time series of its own, also
/// after the account was removed.
pub const MAX_LABELS: usize = 32;

/// Label of all accounts beyond [`MAX_LABELS`].
pub const OTHER_ACCOUNTS: &str = "other";

/// The accounts that have a label of their own: the first ones that needed one.
///
/// ```
/// use goldcrestpitch::core::accounts::{AccountLabels, MAX_LABELS};
/// let mut labels = AccountLabels::default();
/// for i in 0..MAX_LABELS {
///     assert_eq!(&*labels.label(&format!("a{i}").into()), format!("a{i}"));
/// }
/// assert_eq!(&*labels.label(&"late".into()), "other");
/// assert_eq!(&*labels.label(&"a3".into()), "a3");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountLabels {
    labelled: HashSet<AccountName>,
}

impl AccountLabels {
    /// The label of an account.
    pub fn label(&mut self, name: &AccountName) -> AccountName {
        if self.labelled.contains(name) {
            return name.clone();
        }
        if MAX_LABELS <= self.labelled.len() {
            return OTHER_ACCOUNTS.into();
        }
        self.labelled.insert(name.clone());
        name.clone()
    }
}
