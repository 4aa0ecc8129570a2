//! The state that results from a claim stream: which claim holds each key.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    idempotency::{Answer, Claim, ClaimRecord},
    ids::Offset,
};

/// Status of the claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The attempt may still run, be running or have run.
    Open,
    /// The attempt ran and returned this answer.
    Settled(Answer),
    /// The attempt did not run and never will.
    Abandoned,
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// Offset of the claim.
    pub offset: Offset,
    /// The claim.
    pub claim: Claim,
    /// Status of the claim.
    #[serde(rename = "standing")]
    pub status: ClaimStatus,
}

/// Maps each key to the claim that holds it, by applying the records of a claim
/// stream in order. Every reader of the stream gets the same holders.
///
/// ```
/// use goldcrestpitch::core::idempotency::{Claim, ClaimRecord, ClaimTable};
/// let claim = |attempt: &str| Claim {
///     key: "k".into(), digest: 1, attempt: attempt.into(), entry: "e".into(),
///     agent: "a".into(), incarnation: 1, ticket_ms: 0, supersedes: None,
/// };
/// let mut table = ClaimTable::default();
/// table.apply(1, ClaimRecord::Claim(claim("first")));
/// table.apply(2, ClaimRecord::Claim(claim("second")));
/// assert_eq!(&*table.holder("k").unwrap().claim.attempt, "first");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    position: Offset,
    holders: HashMap<String, KeyHolder>,
}

impl ClaimTable {
    /// Offset of the last record that was applied.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// The claim that holds a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.holders.get(key)
    }

    /// Number of keys that are held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Applies one record. A record at or before [`Self::position`] has no effect.
    pub fn apply(&mut self, offset: Offset, record: ClaimRecord) {
        if offset <= self.position {
            return;
        }
        self.position = offset;
        match record {
            ClaimRecord::Claim(claim) => self.apply_claim(offset, claim),
            ClaimRecord::Settle(settle) => {
                self.set_status(&settle.key, &settle.attempt, ClaimStatus::Settled(settle.answer));
            }
            ClaimRecord::Abandon { key, attempt } => {
                self.set_status(&key, &attempt, ClaimStatus::Abandoned);
            }
        }
    }

    /// Moves the position past a record that cannot be read, or past records that
    /// the log no longer retains.
    pub fn skip_to(&mut self, offset: Offset) {
        self.position = self.position.max(offset);
    }

    /// Removes claims before `first`, the oldest offset that the log retains.
    pub fn expire(&mut self, first: Offset) {
        self.holders.retain(|_, holder| first <= holder.offset);
    }

    fn apply_claim(&mut self, offset: Offset, claim: Claim) {
        let wins = match self.holders.get(&claim.key) {
            None => true,
            Some(holder) if holder.claim.attempt == claim.attempt => false,
            Some(holder) => match holder.status {
                ClaimStatus::Abandoned => true,
                ClaimStatus::Open => claim.supersedes == Some(holder.offset),
                ClaimStatus::Settled(_) => false,
            },
        };
        if wins {
            let holder = KeyHolder { offset, claim, status: ClaimStatus::Open };
            self.holders.insert(holder.claim.key.clone(), holder);
        }
    }

    fn set_status(&mut self, key: &str, attempt: &str, status: ClaimStatus) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        if &*holder.claim.attempt == attempt && holder.status == ClaimStatus::Open {
            holder.status = status;
        }
    }
}
