//! Completion requests: parses the body, and streams or collects the response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use log::info;
use metrics::{Histogram, counter, histogram};
use serde_json::{Map, Value, json};
use tokio::time;

use crate::{
    core::{config::Key, hash, placement},
    entry::{
        driver::{Driver, RetryableRequest, StreamItem},
        request_context::RequestContext,
        shared::{Shared, TenantGuard},
    },
    errors::{Code, Refusal},
    fleet::Log,
    http::{self, BodySender, Reply, ReplyAborted, ReplyBody},
    telemetry::names,
};

// Time for the error event to be written before the connection is aborted.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
// Prompts that share a prefix of this length prefer the same endpoints.
const PREFIX_BYTES: usize = 256;

/// Type of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    Text,
    Chat,
}

impl CompletionKind {
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    fn choice_json(self, text: &str) -> Value {
        match self {
            Self::Text => json!({ "index": 0, "finish_reason": "stop", "text": text }),
            Self::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                json!({ "index": 0, "finish_reason": "stop", "message": message })
            }
        }
    }

    fn object_type(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
        }
    }
}

/// A completion request.
pub(super) struct Completion {
    pub(super) kind: CompletionKind,
    pub(super) id: String,
    pub(super) target: String,
    pub(super) streamed: bool,
    pub(super) body: Map<String, Value>,
    pub(super) affinity: u64,
    pub(super) fingerprint: u64,
}

impl Completion {
    /// Parses a request body.
    ///
    /// # Errors
    /// [`Code::MalformedBody`] when the body is not a JSON object or lacks a field.
    pub(super) fn parse(
        kind: CompletionKind,
        id: String,
        context: &RequestContext,
        body: &[u8],
    ) -> Result<Self, Refusal> {
        let malformed = |text: String| Refusal::new(Code::MalformedBody, text);
        let mut map: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|err| malformed(format!("the request body is not a JSON object: {err}")))?;
        let model = map.get("model").and_then(Value::as_str);
        let target = model.ok_or_else(|| malformed("field \"model\" is missing".to_owned()))?;
        let target = target.to_owned();
        let input_field = if kind == CompletionKind::Text { "prompt" } else { "messages" };
        let Some(prompt) = map.get(input_field) else {
            return Err(malformed(format!("field {input_field:?} is missing")));
        };
        let prompt = prompt.to_string();
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let affinity = hash::stable(&[target.as_bytes(), prefix]);
        let fingerprint =
            hash::stable(&[context.tenant.as_bytes(), target.as_bytes(), prompt.as_bytes()]);
        let streamed = map.get("stream").and_then(Value::as_bool).unwrap_or(false);
        map.insert("stream".to_owned(), Value::Bool(true));
        // Only the driver sets this field, when it resumes a response on another endpoint.
        map.remove("resume");
        Ok(Self { kind, id, target, streamed, body: map, affinity, fingerprint })
    }

    /// JSON body of a response that is not streamed.
    pub(super) fn response_json(&self, text: &str, tokens: u32) -> Value {
        json!({
            "id": self.id,
            "object": self.kind.object_type(false),
            "model": self.target,
            "choices": [self.kind.choice_json(text)],
            "usage": { "completion_tokens": tokens },
        })
    }

    /// The parts of a server-sent event before and after its text. They are the same for every
    /// token.
    fn sse_frame(&self) -> (String, &'static str) {
        let quote = |value: &str| serde_json::to_string(value).unwrap_or_default();
        let (open, close) = match self.kind {
            CompletionKind::Text => ("\"text\":", "}]}\n\n"),
            CompletionKind::Chat => ("\"delta\":{\"content\":", "}}]}\n\n"),
        };
        let start = format!(
            "data: {{\"id\":{},\"object\":{},\"model\":{},\"choices\":[{{\"index\":0,\
             \"finish_reason\":null,{open}",
            quote(&self.id),
            quote(self.kind.object_type(true)),
            quote(&self.target),
        );
        (start, close)
    }
}

/// Timing of one response, for the metrics and the log.
struct ResponseTiming {
    context: RequestContext,
    /// Time of the last token; before the first one, the start of the request.
    last_token: Instant,
    first_token: Option<Instant>,
    tokens: u32,
    first_token_seconds: Histogram,
    token_gap_seconds: Histogram,
}

impl ResponseTiming {
    fn new(context: RequestContext) -> Self {
        let labels = [("tenant", context.tenant.to_string()), ("class", context.class.to_string())];
        Self {
            last_token: context.started,
            first_token: None,
            tokens: 0,
            // Looked up once per request instead of once per token.
            first_token_seconds: histogram!(names::FIRST_TOKEN, &labels),
            token_gap_seconds: histogram!(names::TOKEN_GAP, &labels),
            context,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.last_token).as_secs_f64();
        let histogram = if self.first_token.is_none() {
            &self.first_token_seconds
        } else {
            &self.token_gap_seconds
        };
        histogram.record(elapsed);
        self.first_token.get_or_insert(now);
        self.last_token = now;
        self.tokens += 1;
    }

    /// Whether the response met its targets for the time to the first token and the mean time
    /// between tokens.
    fn met_targets<L>(&self, shared: &Shared<L>, target: &str) -> bool {
        let Some(first) = self.first_token else {
            return false;
        };
        let view = shared.store.view();
        let scope = self.context.scope(target);
        let first_token_target = view.state.duration(Key::FirstTokenMs, &scope);
        let token_gap_target = view.state.duration(Key::TokenGapMs, &scope);
        let gaps = self.tokens.saturating_sub(1);
        first.duration_since(self.context.started) <= first_token_target
            && self.last_token.duration_since(first) <= token_gap_target * gaps
    }

    fn record_metrics<L>(
        &self,
        shared: &Shared<L>,
        completion: &Completion,
        attempts: u32,
        code: u32,
    ) {
        let context = &self.context;
        let labels = [("tenant", context.tenant.to_string()), ("class", context.class.to_string())];
        counter!(names::REQUESTS, &labels).increment(1);
        histogram!(names::REQUEST, &labels).record(context.started.elapsed().as_secs_f64());
        let met_targets = code == 0 && self.met_targets(shared, &completion.target);
        counter!(names::ATTAINED, &labels).increment(u64::from(met_targets));
        if code != 0 {
            counter!(names::REFUSALS, "code" => code.to_string()).increment(1);
        }
        let first_token_ms =
            self.first_token.map(|f| f.duration_since(context.started).as_millis());
        info!(
            "event=request id={} tenant={} class={} model={} code={code} attempts={} tokens={} \
             first_token_ms={} total_ms={}",
            completion.id,
            context.tenant,
            context.class,
            completion.target,
            attempts + 1,
            self.tokens,
            first_token_ms.unwrap_or(0),
            context.started.elapsed().as_millis(),
        );
    }
}

impl<L: Log> Shared<L> {
    /// Handles a completion request.
    pub(super) async fn complete(
        self: &Arc<Self>,
        kind: CompletionKind,
        context: RequestContext,
        guard: TenantGuard<L>,
        body: &[u8],
    ) -> Result<Reply, Refusal> {
        let completion = Completion::parse(kind, self.request_id(), &context, body)?;
        placement::required_resources(&self.store.view().state, &completion.target)?;
        if context.idempotency_key.is_some() {
            return self.complete_once(&context, &completion).await;
        }
        let driver = Driver::new(
            self.clone(),
            context.clone(),
            RetryableRequest {
                id: completion.id.clone(),
                target: completion.target.clone(),
                path: kind.path().to_owned(),
                body: completion.body.clone(),
                affinity: completion.affinity,
                fingerprint: completion.fingerprint,
            },
        );
        let timing = ResponseTiming::new(context);
        match completion.streamed {
            true => self.stream_response(completion, driver, timing, guard).await,
            false => self.collect_response(completion, driver, timing).await,
        }
    }

    async fn collect_response(
        &self,
        completion: Completion,
        mut driver: Driver<L>,
        mut timing: ResponseTiming,
    ) -> Result<Reply, Refusal> {
        let mut text = Vec::new();
        loop {
            match driver.next().await {
                StreamItem::Token(token) => {
                    timing.record_token();
                    text.extend_from_slice(&token);
                }
                StreamItem::Complete => break,
                StreamItem::Failed(refusal) => {
                    timing.record_metrics(
                        self,
                        &completion,
                        driver.attempts(),
                        refusal.code.number(),
                    );
                    return Err(refusal);
                }
            }
        }
        timing.record_metrics(self, &completion, driver.attempts(), 0);
        let text = String::from_utf8_lossy(&text);
        Ok(http::json(StatusCode::OK, &completion.response_json(&text, timing.tokens)))
    }

    async fn stream_response(
        self: &Arc<Self>,
        completion: Completion,
        mut driver: Driver<L>,
        mut timing: ResponseTiming,
        guard: TenantGuard<L>,
    ) -> Result<Reply, Refusal> {
        // The response headers wait for the first item, so that a refusal can set the HTTP status.
        let first = driver.next().await;
        if let StreamItem::Failed(refusal) = first {
            timing.record_metrics(self, &completion, driver.attempts(), refusal.code.number());
            return Err(refusal);
        }
        let (tx, body) = ReplyBody::stream();
        let shared = self.clone();
        tokio::spawn(async move {
            let code =
                shared.forward_items(&completion, &mut driver, &mut timing, first, &tx).await;
            timing.record_metrics(&shared, &completion, driver.attempts(), code);
            drop(guard);
        });
        let mut reply = Response::new(body);
        let value = header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
        Ok(reply)
    }

    /// Forwards items to the caller until the end of the response. Returns the error code of the
    /// request, 0 for none.
    async fn forward_items(
        &self,
        completion: &Completion,
        driver: &mut Driver<L>,
        timing: &mut ResponseTiming,
        first: StreamItem,
        tx: &BodySender,
    ) -> u32 {
        let mut item = first;
        let (head, tail) = completion.sse_frame();
        loop {
            let chunk = match item {
                StreamItem::Token(token) => {
                    timing.record_token();
                    sse_event(&head, &token, tail)
                }
                StreamItem::Complete => {
                    let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
                    return 0;
                }
                StreamItem::Failed(refusal) => {
                    let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
                    let _ = tx.send(Ok(event.into())).await;
                    // The error event must be written before the connection is aborted.
                    time::sleep(FLUSH_DELAY).await;
                    let _ = tx.send(Err(ReplyAborted)).await;
                    return refusal.code.number();
                }
            };
            if tx.send(Ok(chunk)).await.is_err() {
                // The caller disconnected; dropping the driver cancels the run.
                return 0;
            }
            item = tokio::select! {
                item = driver.next() => item,
                () = tx.closed() => return 0,
            };
        }
    }
}

/// A server-sent event with one token.
fn sse_event(head: &str, token: &[u8], tail: &str) -> Bytes {
    let text = serde_json::to_string(&String::from_utf8_lossy(token)).unwrap_or_default();
    let mut buf = String::with_capacity(head.len() + text.len() + tail.len());
    buf.push_str(head);
    buf.push_str(&text);
    buf.push_str(tail);
    buf.into()
}
