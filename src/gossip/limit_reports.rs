//! Messages about the limits that endpoints name.

use std::time::Duration;

use prost::Message;

use crate::core::limits;

/// Reports in a datagram of [`LimitReports`]; one has up to 50 bytes with an id of 20.
const MAX_LIMITS_PER_DATAGRAM: usize = 20;

/// Limits that endpoints name.
#[derive(Clone, PartialEq, Message)]
pub struct LimitReports {
    /// One report for each endpoint.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<LimitReport>,
}

impl LimitReports {
    /// Distributes reports over messages that fit a datagram each.
    pub fn batches(reports: Vec<limits::LimitReport>) -> Vec<Self> {
        let reports: Vec<LimitReport> = reports.into_iter().map(LimitReport::from).collect();
        let chunks = reports.chunks(MAX_LIMITS_PER_DATAGRAM);
        chunks.map(|reports| Self { reports: reports.to_vec() }).collect()
    }
}

/// What a gateway knows of the limit of one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LimitReport {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start of the endpoint, Unix time in milliseconds.
    #[prost(fixed64, tag = "2")]
    pub started_ms: u64,
    /// Requests per second; absent if the limit has ended.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// Time since the endpoint said so, milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Requests of the gateway wait for the endpoint, or were refused because of the limit.
    #[prost(bool, tag = "5")]
    pub waiting: bool,
    /// Requests that the gateway has sent to the endpoint since it heard of the limit.
    #[prost(uint64, tag = "6")]
    pub sent: u64,
}

/// A report names a rate that is negative or not finite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

impl From<limits::LimitReport> for LimitReport {
    fn from(report: limits::LimitReport) -> Self {
        Self {
            endpoint: report.endpoint.to_string(),
            started_ms: report.started_ms,
            rate: report.rate,
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
            waiting: report.load.waiting,
            sent: report.load.sent,
        }
    }
}

impl TryFrom<LimitReport> for limits::LimitReport {
    type Error = InvalidRate;

    fn try_from(report: LimitReport) -> Result<Self, InvalidRate> {
        if report.rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
            return Err(InvalidRate);
        }
        Ok(Self {
            endpoint: report.endpoint.as_str().into(),
            started_ms: report.started_ms,
            rate: report.rate,
            age: Duration::from_millis(report.age_ms.into()),
            load: limits::ProcessLoad { waiting: report.waiting, sent: report.sent },
        })
    }
}
