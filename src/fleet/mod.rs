//! What every process keeps of the fleet: configuration, plan, VM list.

mod follower;
mod operator;
mod store;
mod vms;

pub use follower::{CONFIG_STREAM, Follower};
pub use operator::{ChangeError, read_all, read_records, submit};
pub use store::{ConfigStore, View};
pub use vms::{VmWatch, watch_vms};
