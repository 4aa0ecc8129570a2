//! Refusals that the gateway itself sends.

use std::time::Duration;

use hyper::header::{self, HeaderValue};

use crate::{
    core::forwarding::RefusalReason,
    errors::{Code, Refusal},
    http::{self, Reply},
};

/// The refusal of a request for which no endpoint was selected.
pub(super) fn for_reason(reason: RefusalReason, retry_after: Duration) -> Refusal {
    let (code, text) = match reason {
        RefusalReason::NoEndpoint => {
            (Code::NoEndpoint, "no endpoint of the service accepts requests")
        }
        RefusalReason::Full => {
            (Code::QueueFull, "every endpoint that could serve the request is full")
        }
        RefusalReason::NotResident => {
            (Code::NotResident, "no endpoint can have the model loaded in time")
        }
        RefusalReason::Limited => (
            Code::QueueFull,
            "every endpoint that could serve the request limits its rate of requests",
        ),
        RefusalReason::Resting => {
            (Code::QueueFull, "every endpoint that could serve the request has asked for rest")
        }
        RefusalReason::NoVersion => {
            let text = "no endpoint of the software version that began the stream accepts requests";
            return Refusal::new(Code::VersionGone, text);
        }
        RefusalReason::UnknownModel => (Code::NotResident, "the configuration has no such model"),
        RefusalReason::UnknownService => {
            (Code::NoEndpoint, "the route's service is not configured")
        }
    };
    Refusal::new(code, text).retry_after(retry_after)
}

/// The response for a refusal. `Retry-After` is given in seconds with two decimals.
pub(super) fn response(refusal: &Refusal) -> Reply {
    let mut reply = http::refusal(refusal);
    if let Some(delay) = refusal.retry_after {
        let text = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
