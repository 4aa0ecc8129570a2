//! Rate and concurrency limits, retry budgets and the fair queue of an endpoint.

mod byte_budget;
mod connection_choice;
mod endpoint_limits;
mod fair_queue;
mod limited_endpoint;
mod loop_lag;
mod process_limits;
mod shared_quota;
mod tenant_limits;
mod token_bucket;

pub use byte_budget::{BudgetShort, ByteBudget, HolderId, HolderKind};
pub use connection_choice::{ConnectionActivity, connection_to_close};
pub use endpoint_limits::{EndpointLimits, LimitChange, LimitReport, NamedLimit, ProcessId};
pub use fair_queue::{FairQueue, Flow, Popped};
pub use limited_endpoint::ProcessLoad;
pub use loop_lag::LoopLag;
pub use process_limits::ProcessLimits;
pub use shared_quota::{
    AccountName, AccountReport, DEFAULT_BURST_S, QuotaLevel, QuotaLimit, QuotaReport, QuotaWindow,
    SharedQuotas, StartId,
};
pub use tenant_limits::{Limits, TenantLimits};
pub use token_bucket::TokenBucket;
