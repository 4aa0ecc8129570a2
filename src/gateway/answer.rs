//! Answers that the gateway gives by itself.

use std::time::Duration;

use hyper::header::{self, HeaderValue};

use crate::{
    core::forwarding::RefusalReason,
    errors::{Code, Refusal},
    http::{self, Reply},
};

/// The refusal of a request that was not sent.
pub(super) fn refused(why: RefusalReason, retry_after: Duration) -> Refusal {
    let (code, text) = match why {
        RefusalReason::NoEndpoint => {
            (Code::NoEndpoint, "no endpoint of the service takes requests")
        }
        RefusalReason::Full => {
            (Code::QueueFull, "every endpoint that could serve the request is full")
        }
        RefusalReason::NotResident => (Code::NotResident, "no endpoint holds the model in time"),
        RefusalReason::UnknownModel => (Code::NotResident, "the configuration has no such model"),
        RefusalReason::UnknownService => {
            (Code::NoEndpoint, "the route's service is not configured")
        }
    };
    Refusal::new(code, text).retry_after(retry_after)
}

/// The reply to a refused request. The delay is told in seconds with a fraction.
pub(super) fn reply(refusal: &Refusal) -> Reply {
    let mut reply = http::refusal(refusal);
    if let Some(delay) = refusal.retry_after {
        let text = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
