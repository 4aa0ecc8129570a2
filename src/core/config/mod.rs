//! Configuration: defaults for the whole fleet and exceptions with reasons.
//!
//! The order of records in the log decides; every process folds the same
//! records to the same state.

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
