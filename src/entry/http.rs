//! The paths that callers use.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use metrics::counter;
use serde_json::json;

use crate::{
    core::config::{Item, ItemKind, Key},
    entry::{caller::Caller, completion::Kind, shared::Shared},
    errors::{Code, Refusal},
    fleet::Log,
    http::{self, Reply},
    telemetry::names,
};

const SERVICES: &str = "/services/";

impl<L: Log> Shared<L> {
    /// Answers a request.
    pub(super) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let result = match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return http::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => return self.readyz(),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/v1/completions") => self.completion(Kind::Text, req).await,
            (&Method::POST, "/v1/chat/completions") => self.completion(Kind::Chat, req).await,
            (&Method::POST, path) if path.starts_with(SERVICES) => self.service(req).await,
            _ => Err(Refusal::new(Code::UnknownPath, format!("{method} {path} is not served"))),
        };
        result.unwrap_or_else(|refusal| http::refusal(&refusal))
    }

    fn readyz(&self) -> Reply {
        if self.draining.load(Ordering::Relaxed) {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if !self.store.is_ready(Instant::now()) {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "configuration not confirmed\n");
        }
        http::text(StatusCode::OK, "ready\n")
    }

    fn models(&self) -> Reply {
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

    async fn completion(
        self: &Arc<Self>,
        kind: Kind,
        req: Request<Incoming>,
    ) -> Result<Reply, Refusal> {
        let (caller, body, guard) = self.receive(req).await?;
        self.complete(kind, caller, guard, &body).await
    }

    async fn service(self: &Arc<Self>, req: Request<Incoming>) -> Result<Reply, Refusal> {
        let rest = req.uri().path().strip_prefix(SERVICES).unwrap_or_default().to_owned();
        let (name, path) = match rest.split_once('/') {
            Some((name, path)) => (name.to_owned(), format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let (caller, body, _guard) = self.receive(req).await?;
        // The call goes on when the caller goes away: it may be one that must not be repeated.
        let me = self.clone();
        let call = tokio::spawn(async move { me.call_service(&caller, &name, &path, body).await });
        call.await.unwrap_or_else(|_| {
            Err(Refusal::new(Code::OutcomeUnknown, "the call ended unexpectedly"))
        })
    }

    /// Reads head and body and admits the tenant's request.
    async fn receive(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<(Caller, bytes::Bytes, super::shared::TenantGuard<L>), Refusal> {
        let view = self.store.view();
        if view.state.revision == 0 {
            return Err(Refusal::new(Code::NotReady, "the entry has no configuration yet"));
        }
        let caller = Caller::from_headers(&view, req.headers())?;
        let guard = self.begin(&view, &caller.tenant).inspect_err(|refusal| {
            let code = refusal.code.number().to_string();
            counter!(names::REFUSALS, "code" => code).increment(1);
        })?;
        let scope = caller.scope("");
        let max = view.state.value(Key::MaxBodyKib, &scope) as usize * 1024;
        let limit = view.state.duration(Key::BodyTimeoutMs, &scope);
        let body = http::read_body(req.into_body(), max, limit).await?;
        Ok((caller, body, guard))
    }
}
