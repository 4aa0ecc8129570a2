//! Settings of a process, read from an INI file and checked as a whole.

mod agent;
mod entry;
mod reader;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
pub use reader::{Fault, Reader};
