//! HTTP routes for callers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use hyper::{Method, Request, StatusCode};
use metrics::counter;
use serde_json::json;

use crate::{
    core::config::{Item, ItemKind, Key},
    entry::{completion::CompletionKind, request_context::RequestContext, shared::Shared},
    errors::{Code, Refusal},
    fleet::Log,
    http::{self, Reply},
    telemetry::names,
};

const SERVICES_PREFIX: &str = "/services/";

impl<L: Log> Shared<L> {
    /// Handles one HTTP request.
    pub(super) async fn handle(self: Arc<Self>, req: Request<http::RequestBody>) -> Reply {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let result = match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return http::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => return self.readiness(),
            (&Method::GET, "/v1/models") => Ok(self.list_models()),
            (&Method::POST, "/v1/completions") => {
                self.handle_completion(CompletionKind::Text, req).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.handle_completion(CompletionKind::Chat, req).await
            }
            (&Method::POST, path) if path.starts_with(SERVICES_PREFIX) => {
                self.handle_service_call(req).await
            }
            _ => Err(Refusal::new(Code::UnknownPath, format!("{method} {path} is not served"))),
        };
        result.unwrap_or_else(|refusal| http::refusal(&refusal))
    }

    fn readiness(&self) -> Reply {
        if self.draining.load(Ordering::Relaxed) {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if !self.store.is_ready(Instant::now()) {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "configuration not confirmed\n");
        }
        http::text(StatusCode::OK, "ready\n")
    }

    fn list_models(&self) -> Reply {
        let state = self.store.view().state;
        let models = state.models().map(|(name, _)| name.to_owned());
        let adapters = state.items(ItemKind::Adapter).filter_map(|(name, item)| match item {
            Item::Adapter { model, .. } => Some(format!("{model}:{name}")),
            _ => None,
        });
        let data: Vec<_> =
            models.chain(adapters).map(|id| json!({ "id": id, "object": "model" })).collect();
        http::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
    }

    async fn handle_completion(
        self: &Arc<Self>,
        kind: CompletionKind,
        req: Request<http::RequestBody>,
    ) -> Result<Reply, Refusal> {
        let (context, body, guard) = self.receive_request(req).await?;
        self.complete(kind, context, guard, &body).await
    }

    async fn handle_service_call(
        self: &Arc<Self>,
        req: Request<http::RequestBody>,
    ) -> Result<Reply, Refusal> {
        let rest = req.uri().path().strip_prefix(SERVICES_PREFIX).unwrap_or_default().to_owned();
        let (name, path) = match rest.split_once('/') {
            Some((name, path)) => (name.to_owned(), format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let (context, body, _guard) = self.receive_request(req).await?;
        // The call continues when the caller disconnects, because it may be one that must not be
        // repeated.
        let shared = self.clone();
        let call =
            tokio::spawn(async move { shared.call_service(&context, &name, &path, body).await });
        call.await.unwrap_or_else(|_| {
            Err(Refusal::new(Code::OutcomeUnknown, "the service call ended unexpectedly"))
        })
    }

    /// Checks the headers, admits the request under the limits of its tenant and reads the body.
    async fn receive_request(
        self: &Arc<Self>,
        req: Request<http::RequestBody>,
    ) -> Result<(RequestContext, bytes::Bytes, super::shared::TenantGuard<L>), Refusal> {
        let view = self.store.view();
        if view.state.revision == 0 {
            return Err(Refusal::new(Code::NotReady, "the entry has no configuration yet"));
        }
        let context = RequestContext::from_headers(&view, req.headers())?;
        let guard = self.admit(&view, &context.tenant).inspect_err(|refusal| {
            let code = refusal.code.number().to_string();
            counter!(names::REFUSALS, "code" => code).increment(1);
        })?;
        let scope = context.scope("");
        let max_bytes = view.state.value(Key::MaxBodyKib, &scope) as usize * 1024;
        let timeout = view.state.duration(Key::BodyTimeoutMs, &scope);
        let body = http::read_body(req.into_body(), max_bytes, timeout).await?;
        Ok((context, body, guard))
    }
}
