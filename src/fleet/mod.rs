//! State of the whole fleet that every process keeps: configuration, plan and VM list.

mod configuration;
mod follower;
mod http_vm_list;
mod log;
mod operator;
mod store;
mod topic;
mod vm_list;
mod vms;

pub use configuration::newest_configuration;
pub use follower::{CONFIG_STREAM, Follower};
pub use http_vm_list::HttpVmList;
pub use log::{AppendError, Log, LogRecord, Page, ReadError};
pub use operator::{ChangeError, read_config, read_records, submit};
pub use store::{ConfigStore, ConfigView};
pub use topic::{TopicHandler, follow_topic};
pub use vm_list::{Vm, VmList, VmState};
pub use vms::{VmWatch, watch_vms};
