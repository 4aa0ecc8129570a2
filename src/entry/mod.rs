//! The process that takes callers' requests.

mod caller;
mod claims;
mod completion;
mod driver;
mod http;
mod once;
mod partition;
mod peer;
mod probe;
mod process;
mod shared;
mod vetting;

pub use claims::{CLAIM_PARTITIONS, ClaimService};
pub use process::{EntryConfig, EntryProcess, start};
