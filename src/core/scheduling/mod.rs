//! Which requests run at one endpoint.

mod crash_watch;
mod scheduler;

pub use crash_watch::{CrashWatch, Suspicion};
pub use scheduler::{Estimate, Job, Next, Scheduler, Traits};
