//! Datagrams between gateways and engine agents. All of them are hints.
//!
//! Nothing is acknowledged or sent again: each message repeats the current state, so
//! that a lost datagram only delays an update until the next one.

mod admission;
mod kept_segments;
mod limit_reports;
mod messages;
mod parts;
mod quota_reports;
mod socket;
mod streams;

pub use admission::{AdmissionAnswer, AdmissionKind, AdmissionRequest};
pub use kept_segments::KeptSegments;
pub use limit_reports::{InvalidRate, LimitReport, LimitReports};
pub use messages::{
    Body, CachedRecord, CachedRecords, ChangeKind, CrashReport, CrashReports, Datagram, Demand,
    EngineLoad, EngineStatus, GatewayStatus, Hello, LoadedModel, ResidencyChange, SuspectKind,
    TrialClaims,
};
pub use parts::{Part, PartAssembler, PartSplitter};
pub use quota_reports::{AccountQuota, InvalidQuota, QuotaReports};
pub use socket::{MAX_DATAGRAM_BYTES, Socket, rotating_subset};
pub use streams::{OriginKind, StreamOrigin, Streams};
