//! Rate and concurrency limits, retry budgets and the fair queue of an endpoint.

mod fair_queue;
mod tenant_limits;
mod token_bucket;

pub use fair_queue::{FairQueue, Flow, Popped};
pub use tenant_limits::{Limits, TenantLimits};
pub use token_bucket::TokenBucket;
