//! The fold of one claim stream: which claim holds each key.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    idempotency::{Answer, Claim, ClaimRecord},
    ids::Offset,
};

/// How the claim that holds a key stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// Its attempt may run, be running or have run.
    Open,
    /// Its attempt ran.
    Settled(Answer),
    /// Its attempt did not and will not run.
    Abandoned,
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// Offset of the claim.
    pub offset: Offset,
    /// The claim.
    pub claim: Claim,
    /// How it stands.
    pub standing: ClaimStatus,
}

/// Folds a claim stream; every reader comes to the same holders.
///
/// ```
/// use goldcrestpitch::core::idempotency::{ClaimTable, Claim, ClaimRecord};
/// let claim = |attempt: &str| Claim {
///     key: "k".into(), digest: 1, attempt: attempt.into(), entry: "e".into(),
///     agent: "a".into(), incarnation: 1, ticket_ms: 0, supersedes: None,
/// };
/// let mut book = ClaimTable::default();
/// book.apply(1, ClaimRecord::Claim(claim("first")));
/// book.apply(2, ClaimRecord::Claim(claim("second")));
/// assert_eq!(&*book.holder("k").unwrap().claim.attempt, "first");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    position: Offset,
    keys: HashMap<String, KeyHolder>,
}

impl ClaimTable {
    /// Offset of the last record that was folded in.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// The claim that holds a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.get(key)
    }

    /// Keys that are held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds one record in; one that was folded before has no effect.
    pub fn apply(&mut self, offset: Offset, record: ClaimRecord) {
        if offset <= self.position {
            return;
        }
        self.position = offset;
        match record {
            ClaimRecord::Claim(claim) => self.claim(offset, claim),
            ClaimRecord::Settle(settle) => {
                self.change(&settle.key, &settle.attempt, ClaimStatus::Settled(settle.answer));
            }
            ClaimRecord::Abandon { key, attempt } => {
                self.change(&key, &attempt, ClaimStatus::Abandoned);
            }
        }
    }

    /// Notes a record that cannot be read, or a part of the log that is gone.
    pub fn skip_to(&mut self, offset: Offset) {
        self.position = self.position.max(offset);
    }

    /// Forgets claims that the log no longer holds.
    pub fn expire(&mut self, first: Offset) {
        self.keys.retain(|_, held| first <= held.offset);
    }

    fn claim(&mut self, offset: Offset, claim: Claim) {
        let wins = match self.keys.get(&claim.key) {
            None => true,
            Some(held) if held.claim.attempt == claim.attempt => false,
            Some(held) => match held.standing {
                ClaimStatus::Abandoned => true,
                ClaimStatus::Open => claim.supersedes == Some(held.offset),
                ClaimStatus::Settled(_) => false,
            },
        };
        if wins {
            let held = KeyHolder { offset, claim, standing: ClaimStatus::Open };
            self.keys.insert(held.claim.key.clone(), held);
        }
    }

    fn change(&mut self, key: &str, attempt: &str, standing: ClaimStatus) {
        let Some(held) = self.keys.get_mut(key) else {
            return;
        };
        if &*held.claim.attempt == attempt && held.standing == ClaimStatus::Open {
            held.standing = standing;
        }
    }
}
