//! Configuration: defaults for the whole fleet, and exceptions for single items.
//!
//! The configuration is a stream of records in the log. Every process applies
//! them in log order and arrives at the same state.

mod fold;
mod item;
mod key;
mod record;
mod state;

pub use fold::{ApplyResult, Fold};
pub use item::{Item, ItemKind};
pub use key::{Key, Selector};
pub use record::{Action, Change, Crash, Record, Snapshot};
pub use state::{Exception, Scope, State, Suspect};
