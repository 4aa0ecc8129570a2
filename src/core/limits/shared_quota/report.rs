//! What gateways tell each other about quotas.

pub use crate::core::ids::AccountName;

/// Identifies one start of a gateway.
pub type StartId = u64;

/// What one gateway has charged since its start, and the level of each account as it knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaReport {
    /// The start of the gateway to which the charges refer.
    pub start: StartId,
    /// Number of the report since that start.
    pub sequence: u64,
    /// Number of gateways among which it divides the rates, itself included.
    pub gateways: usize,
    /// It has a level that others may take over.
    pub is_settled: bool,
    /// One entry for each account with a limit.
    pub accounts: Vec<AccountReport>,
}

/// What a gateway reports of one account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountReport {
    /// The account.
    pub account: AccountName,
    /// Charges less refunds since the start of the gateway.
    pub charged: f64,
    /// Level of the account in the whole fleet.
    pub level: f64,
}
