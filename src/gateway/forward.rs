//! Handles callers' requests: finds the route, reads the body and forwards the request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request,
    header::{self, HeaderValue},
    http::request::Parts,
};
use log::info;

use crate::{
    core::forwarding::{Route, RouteTable, TimeLimit},
    errors::{Code, Refusal},
    gateway::{accounts, refusals, request::ProxiedRequest, shared::SharedState},
    http::{self, Reply, ReplyAborted},
    platform,
};

/// Maximum body size when the operator sets none, bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time to read a body when the operator sets none.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles a caller's request.
///
/// # Errors
/// [`ReplyAborted`] when the response was interrupted after its head was sent.
pub(super) async fn handle(
    shared: Arc<SharedState>,
    req: Request<http::RequestBody>,
) -> Result<Reply, ReplyAborted> {
    let mut reply = forward(shared.clone(), req).await;
    // The shutdown may have begun while the request ran.
    if shared.is_shutting_down() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}

async fn forward(shared: Arc<SharedState>, req: Request<http::RequestBody>) -> Reply {
    let received_at = Instant::now();
    let (mut head, body) = req.into_parts();
    let Some(table) = shared.table() else {
        let refusal = Refusal::new(Code::NotReady, "the routes are not known yet");
        return refusals::response(&refusal.retry_after(Duration::from_secs(1)));
    };
    let Some(route) = find_route(&table, &head) else {
        let refusal = Refusal::new(Code::UnknownPath, "no route has this host and path");
        let code = refusal.code.number();
        info!("event=refused code={code} path={} version={}", head.uri.path(), table.version);
        return refusals::response(&refusal);
    };
    let caller = platform::parse_request_head(&head.headers);
    if let Err(denial) = shared.authenticate(&table, &route, &head.headers) {
        return accounts::refuse(&shared, denial, &caller.id, &route);
    }
    // What a late loop reads has waited for it.
    let received_at = received_at.checked_sub(shared.loop_lag(received_at)).unwrap_or(received_at);
    let limit = TimeLimit::new(received_at, caller.deadline, route.timeout);
    let limits = table.limits;
    let max_body = limits.map_or(DEFAULT_MAX_BODY_BYTES, |l| l.body_bytes);
    let body_timeout = limits.map_or(DEFAULT_BODY_TIMEOUT, |l| l.idle_timeout);
    let body_timeout = limit.stage(Instant::now(), body_timeout);
    let body = match http::read_body(body, max_body, body_timeout).await {
        Ok(body) => body,
        Err(refusal) => return refusals::response(&refusal),
    };
    // A key may have been revoked while the body arrived.
    let latest = shared.table().unwrap_or(table);
    let access = match shared.authenticate(&latest, &route, &head.headers) {
        Ok(access) => access,
        Err(denial) => return accounts::refuse(&shared, denial, &caller.id, &route),
    };
    accounts::replace_headers(&access, &mut head.headers);
    let route = accounts::route_for(&access, route);
    let account = access.account().cloned();
    let request = match ProxiedRequest::new(shared, route, head, caller, body, limit, account) {
        Ok(request) => request,
        Err(refusal) => return refusals::response(&refusal),
    };
    request.run().await
}

fn find_route(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host())?;
    table.find(host, head.uri.path()).cloned()
}
