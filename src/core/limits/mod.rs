//! Rates, concurrency, retry budgets and the endpoint's fair queue.

mod fair_queue;
mod tenant_limits;
mod token_bucket;

pub use fair_queue::{FairQueue, Flow, Popped};
pub use tenant_limits::{Limits, TenantLimits};
pub use token_bucket::TokenBucket;
