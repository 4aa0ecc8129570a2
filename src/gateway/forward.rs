//! Requests of callers: from the head to the answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use log::info;

use crate::{
    core::forwarding::{Route, RouteTable},
    errors::{Code, Refusal},
    gateway::{answer, job::Job, shared::SharedState},
    http::{self, Broken, Reply},
    platform,
};

/// Largest body when the operator sets no limit, bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time for a body when the operator sets no limit.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// Handles a request of a caller.
///
/// # Errors
/// [`Broken`] when the answer broke off after its head was sent.
pub(super) async fn handle(
    shared: Arc<SharedState>,
    req: Request<Incoming>,
) -> Result<Reply, Broken> {
    let mut reply = handle_inner(shared.clone(), req).await;
    // The stop may have begun while the request ran.
    if shared.is_shutting_down() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}

async fn handle_inner(shared: Arc<SharedState>, req: Request<Incoming>) -> Reply {
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let Some(table) = shared.table() else {
        let refusal = Refusal::new(Code::NotReady, "the routes are not known yet");
        return answer::reply(&refusal.retry_after(Duration::from_secs(1)));
    };
    let Some(route) = find(&table, &head) else {
        let refusal = Refusal::new(Code::UnknownPath, "no route has this host and path");
        let code = refusal.code.number();
        info!("event=refused code={code} path={} version={}", head.uri.path(), table.version);
        return answer::reply(&refusal);
    };
    let limits = table.limits;
    let max_body = limits.map_or(MAX_BODY_BYTES, |l| l.body_bytes);
    let body_limit = limits.map_or(BODY_LIMIT, |l| l.idle_timeout);
    let body = match http::read_body(body, max_body, body_limit).await {
        Ok(body) => body,
        Err(refusal) => return answer::reply(&refusal),
    };
    let caller = platform::parse_request_head(&head.headers);
    let job = match Job::new(shared.clone(), route, head, caller, body, arrived) {
        Ok(job) => job,
        Err(refusal) => return answer::reply(&refusal),
    };
    tokio::select! {
        reply = job.run() => reply,
        () = shared.grace_period_ended() => {
            let text = "the process ends before the endpoint has answered";
            answer::reply(&Refusal::new(Code::DeadlineExceeded, text))
        }
    }
}

fn find(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host())?;
    table.find(host, head.uri.path()).cloned()
}
