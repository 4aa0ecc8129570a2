//! The entry process, which accepts requests from callers and runs them at endpoints.

mod at_most_once;
mod attempt_registry;
mod claim_partition;
mod claims;
mod completion;
mod driver;
mod endpoint_selection;
mod http;
mod peer;
mod process;
mod request_context;
mod shared;

pub use claims::{CLAIM_PARTITIONS, ClaimService};
pub use process::{EntryConfig, EntryProcess, start};
