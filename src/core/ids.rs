//! Names of the ids and sizes that parts exchange.

use std::sync::Arc;

/// A model, as callers name it.
pub type ModelName = Arc<str>;
/// An endpoint: one engine or one plain service instance.
pub type EndpointId = Arc<str>;
/// A caller's organisation.
pub type TenantName = Arc<str>;
/// A service class with its own targets.
pub type ClassName = Arc<str>;
/// A process of the system that takes callers' requests.
pub type EntryId = Arc<str>;
/// Position of a record in a stream of the log; the first is 1.
pub type Offset = u64;
/// One start of an agent.
pub type Incarnation = u64;
/// One try at running a request.
pub type AttemptId = Arc<str>;
/// Accelerator memory in mebibytes.
pub type Mib = u64;
