//! Type aliases for the identifiers and sizes that modules share.

use std::sync::Arc;

/// Name of a model, as used in requests.
pub type ModelName = Arc<str>;
/// Id of an endpoint: an engine or an instance of a plain service.
pub type EndpointId = Arc<str>;
/// Name of a tenant: a caller's organisation.
pub type TenantName = Arc<str>;
/// Name of a client account in the operator's configuration.
pub type AccountName = Arc<str>;
/// Name of a service class, which has its own latency targets.
pub type ClassName = Arc<str>;
/// Id of an entry: a process that accepts callers' requests.
pub type EntryId = Arc<str>;
/// Position of a record in a stream of the log, starting at 1.
pub type Offset = u64;
/// Identifies one start of an agent process.
pub type Incarnation = u64;
/// Id of one attempt to run a request.
pub type AttemptId = Arc<str>;
/// Amount of accelerator memory, MiB.
pub type Mib = u64;
/// Hash of what stays the same when a caller sends a request again.
pub type Fingerprint = u64;
/// Hash of the headers that a caller has set in a request; 0 if they are not known.
pub type HeaderHash = u32;
/// Id of a segment of a prompt. Requests may share segments.
pub type SegmentId = u64;
/// Identifies the crash of one start of an endpoint.
pub type CrashId = u64;
/// Identifies a software version of one service. Streams of endpoints with the same one fit
/// together.
pub type VersionId = u64;
/// Hash of the id of the caller's attempt that brought the first event of a stream.
pub type StreamId = u64;
