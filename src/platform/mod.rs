//! What the platform and the engines provide, behind small traits.

mod backend;
mod http_backend;
mod http_log;
mod http_vm_list;
mod log;
mod vm_list;

pub use backend::{Backend, BackendError, EngineReport, ServiceReply, TokenStream};
pub use http_backend::{HttpBackend, NumberedOrder};
pub use http_log::{AppendReply, HttpLog, ReadReply};
pub use http_vm_list::HttpVmList;
pub use log::{AppendError, Log, LogRecord, Page, ReadError};
pub use vm_list::{Vm, VmList, VmState};
