//! Messages about what gateways have charged to client accounts.

use prost::Message;

use crate::{core::limits, gossip::MAX_DATAGRAM_BYTES};

/// Bytes in a datagram of [`QuotaReports`] beside the accounts, at most: framing and four numbers.
const FRAMING_BYTES: usize = 48;
/// Bytes in front of each account: a tag and its length.
const ACCOUNT_FRAMING_BYTES: usize = 3;
/// Most gateways that a report is believed to name; a larger number would withhold all quotas.
const MAX_GATEWAYS: u32 = 4096;

/// What a gateway has charged to client accounts since its start.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaReports {
    /// Identifies the start of the gateway.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Number of the report; the datagrams of one report have the same.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Gateways among which the sender divides the rates.
    #[prost(uint32, tag = "3")]
    pub gateways: u32,
    /// The levels may be taken over.
    #[prost(bool, tag = "4")]
    pub is_settled: bool,
    /// One report for each account with a limit.
    #[prost(message, repeated, tag = "5")]
    pub accounts: Vec<AccountQuota>,
}

/// Charges and level of one account.
#[derive(Clone, PartialEq, Message)]
pub struct AccountQuota {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Charges less refunds since the start of the gateway.
    #[prost(double, tag = "2")]
    pub charged: f64,
    /// Level for all gateways together.
    #[prost(float, tag = "3")]
    pub level: f32,
}

/// A report names an amount that is not finite, or no plausible number of gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidQuota;

impl QuotaReports {
    /// Distributes a report over messages that fit into a datagram each.
    pub fn batches(report: limits::QuotaReport) -> Vec<Self> {
        let message = Self::from(report);
        let empty = Self { accounts: Vec::new(), ..message };
        let mut batches = vec![empty.clone()];
        let mut bytes_left = MAX_DATAGRAM_BYTES - FRAMING_BYTES;
        for account in message.accounts {
            let bytes = account.encoded_len() + ACCOUNT_FRAMING_BYTES;
            let is_full = batches.last().is_some_and(|b| !b.accounts.is_empty());
            if bytes_left < bytes && is_full {
                batches.push(empty.clone());
                bytes_left = MAX_DATAGRAM_BYTES - FRAMING_BYTES;
            }
            bytes_left = bytes_left.saturating_sub(bytes);
            if let Some(batch) = batches.last_mut() {
                batch.accounts.push(account);
            }
        }
        batches
    }
}

impl From<limits::QuotaReport> for QuotaReports {
    fn from(report: limits::QuotaReport) -> Self {
        let account = |account: limits::AccountReport| AccountQuota {
            account: account.account.to_string(),
            charged: account.charged,
            level: account.level as f32,
        };
        Self {
            start: report.start,
            sequence: report.sequence,
            gateways: u32::try_from(report.gateways).unwrap_or(u32::MAX),
            is_settled: report.is_settled,
            accounts: report.accounts.into_iter().map(account).collect(),
        }
    }
}

impl TryFrom<QuotaReports> for limits::QuotaReport {
    type Error = InvalidQuota;

    fn try_from(reports: QuotaReports) -> Result<Self, InvalidQuota> {
        let is_finite = |a: &AccountQuota| a.charged.is_finite() && a.level.is_finite();
        if MAX_GATEWAYS < reports.gateways || !reports.accounts.iter().all(is_finite) {
            return Err(InvalidQuota);
        }
        let account = |account: AccountQuota| limits::AccountReport {
            account: account.account.into(),
            charged: account.charged,
            level: account.level.into(),
        };
        Ok(Self {
            start: reports.start,
            sequence: reports.sequence,
            gateways: reports.gateways as usize,
            is_settled: reports.is_settled,
            accounts: reports.accounts.into_iter().map(account).collect(),
        })
    }
}
