//! Completions: parses the body, streams or collects the answer.

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
        caller::Caller,
        driver::{Call, Driver, Piece},
        shared::{Shared, TenantGuard},
    },
    errors::{Code, Refusal},
    fleet::Log,
    http::{self, Broken, Reply, ReplyBody, Sender},
    telemetry::names,
};

const FLUSH_TIME: Duration = Duration::from_millis(50);
// Prompts that agree so far are sent to the same endpoints.
const PREFIX_BYTES: usize = 256;

/// The two kinds of completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Text,
    Chat,
}

impl Kind {
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    fn choice(self, text: &str) -> Value {
        match self {
            Self::Text => json!({ "index": 0, "finish_reason": "stop", "text": text }),
            Self::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                json!({ "index": 0, "finish_reason": "stop", "message": message })
            }
        }
    }

    fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
        }
    }
}

/// A completion as the caller asked for it.
pub(super) struct Completion {
    pub(super) kind: Kind,
    pub(super) id: String,
    pub(super) target: String,
    pub(super) streamed: bool,
    pub(super) body: Map<String, Value>,
    pub(super) affinity: u64,
    pub(super) fingerprint: u64,
}

impl Completion {
    /// Parses a body.
    ///
    /// # Errors
    /// [`Code::MalformedBody`] with what is missing.
    pub(super) fn parse(
        kind: Kind,
        id: String,
        caller: &Caller,
        body: &[u8],
    ) -> Result<Self, Refusal> {
        let malformed = |text: String| Refusal::new(Code::MalformedBody, text);
        let mut map: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|err| malformed(format!("the body is not a JSON object: {err}")))?;
        let model = map.get("model").and_then(Value::as_str);
        let target = model.ok_or_else(|| malformed("field \"model\" is missing".to_owned()))?;
        let target = target.to_owned();
        let input = if kind == Kind::Text { "prompt" } else { "messages" };
        let Some(prompt) = map.get(input) else {
            return Err(malformed(format!("field {input:?} is missing")));
        };
        let prompt = prompt.to_string();
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let affinity = hash::stable(&[target.as_bytes(), prefix]);
        let fingerprint =
            hash::stable(&[caller.tenant.as_bytes(), target.as_bytes(), prompt.as_bytes()]);
        let streamed = map.get("stream").and_then(Value::as_bool).unwrap_or(false);
        map.insert("stream".to_owned(), Value::Bool(true));
        // Callers cannot resume: the field is the system's own.
        map.remove("resume");
        Ok(Self { kind, id, target, streamed, body: map, affinity, fingerprint })
    }

    /// The whole answer as JSON.
    pub(super) fn whole(&self, text: &str, tokens: u32) -> Value {
        json!({
            "id": self.id,
            "object": self.kind.object(false),
            "model": self.target,
            "choices": [self.kind.choice(text)],
            "usage": { "completion_tokens": tokens },
        })
    }

    /// The parts of a streamed event before and behind its text, which are the
    /// same for every token.
    fn frame(&self) -> (String, &'static str) {
        let head = |value: &str| serde_json::to_string(value).unwrap_or_default();
        let (open, close) = match self.kind {
            Kind::Text => ("\"text\":", "}]}\n\n"),
            Kind::Chat => ("\"delta\":{\"content\":", "}}]}\n\n"),
        };
        let start = format!(
            "data: {{\"id\":{},\"object\":{},\"model\":{},\"choices\":[{{\"index\":0,\
             \"finish_reason\":null,{open}",
            head(&self.id),
            head(self.kind.object(true)),
            head(&self.target),
        );
        (start, close)
    }
}

/// Times of one answer, for the metrics and the log.
struct Timing {
    caller: Caller,
    last: Instant,
    first: Option<Instant>,
    tokens: u32,
    first_seconds: Histogram,
    gap_seconds: Histogram,
}

impl Timing {
    fn new(caller: Caller) -> Self {
        let labels = [("tenant", caller.tenant.to_string()), ("class", caller.class.to_string())];
        Self {
            last: caller.started,
            first: None,
            tokens: 0,
            // Found once for each request, not for each token.
            first_seconds: histogram!(names::FIRST_TOKEN, &labels),
            gap_seconds: histogram!(names::TOKEN_GAP, &labels),
            caller,
        }
    }

    fn token(&mut self) {
        let now = Instant::now();
        let since = now.duration_since(self.last).as_secs_f64();
        let histogram = if self.first.is_none() { &self.first_seconds } else { &self.gap_seconds };
        histogram.record(since);
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += 1;
    }

    /// Whether the answer met its targets: first token, and mean time between tokens.
    fn attained<L>(&self, shared: &Shared<L>, target: &str) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let view = shared.store.view();
        let scope = self.caller.scope(target);
        let first_limit = view.state.duration(Key::FirstTokenMs, &scope);
        let gap_limit = view.state.duration(Key::TokenGapMs, &scope);
        let gaps = self.tokens.saturating_sub(1);
        first.duration_since(self.caller.started) <= first_limit
            && self.last.duration_since(first) <= gap_limit * gaps
    }

    fn finish<L>(&self, shared: &Shared<L>, call: &Completion, attempts: u32, code: u32) {
        let caller = &self.caller;
        let labels = [("tenant", caller.tenant.to_string()), ("class", caller.class.to_string())];
        counter!(names::REQUESTS, &labels).increment(1);
        histogram!(names::REQUEST, &labels).record(caller.started.elapsed().as_secs_f64());
        let attained = code == 0 && self.attained(shared, &call.target);
        counter!(names::ATTAINED, &labels).increment(u64::from(attained));
        if code != 0 {
            counter!(names::REFUSALS, "code" => code.to_string()).increment(1);
        }
        let first = self.first.map(|f| f.duration_since(caller.started).as_millis());
        info!(
            "event=request id={} tenant={} class={} model={} code={code} attempts={} tokens={} \
             first_token_ms={} total_ms={}",
            call.id,
            caller.tenant,
            caller.class,
            call.target,
            attempts + 1,
            self.tokens,
            first.unwrap_or(0),
            caller.started.elapsed().as_millis(),
        );
    }
}

impl<L: Log> Shared<L> {
    /// Answers a completion.
    pub(super) async fn complete(
        self: &Arc<Self>,
        kind: Kind,
        caller: Caller,
        guard: TenantGuard<L>,
        body: &[u8],
    ) -> Result<Reply, Refusal> {
        let call = Completion::parse(kind, self.request_id(), &caller, body)?;
        placement::required_resources(&self.store.view().state, &call.target)?;
        if caller.key.is_some() {
            return self.complete_once(&caller, &call).await;
        }
        let driver = Driver::new(
            self.clone(),
            caller.clone(),
            Call {
                id: call.id.clone(),
                target: call.target.clone(),
                path: kind.path().to_owned(),
                body: call.body.clone(),
                affinity: call.affinity,
                fingerprint: call.fingerprint,
            },
        );
        let timing = Timing::new(caller);
        match call.streamed {
            true => self.stream(call, driver, timing, guard).await,
            false => self.collect(call, driver, timing).await,
        }
    }

    async fn collect(
        &self,
        call: Completion,
        mut driver: Driver<L>,
        mut timing: Timing,
    ) -> Result<Reply, Refusal> {
        let mut text = Vec::new();
        loop {
            match driver.next().await {
                Piece::Token(token) => {
                    timing.token();
                    text.extend_from_slice(&token);
                }
                Piece::Complete => break,
                Piece::Failed(refusal) => {
                    timing.finish(self, &call, driver.attempts(), refusal.code.number());
                    return Err(refusal);
                }
            }
        }
        timing.finish(self, &call, driver.attempts(), 0);
        let text = String::from_utf8_lossy(&text);
        Ok(http::json(StatusCode::OK, &call.whole(&text, timing.tokens)))
    }

    async fn stream(
        self: &Arc<Self>,
        call: Completion,
        mut driver: Driver<L>,
        mut timing: Timing,
        guard: TenantGuard<L>,
    ) -> Result<Reply, Refusal> {
        // The head waits for the first piece, so that a refusal has its own status.
        let first = driver.next().await;
        if let Piece::Failed(refusal) = first {
            timing.finish(self, &call, driver.attempts(), refusal.code.number());
            return Err(refusal);
        }
        let (tx, body) = ReplyBody::parts();
        let me = self.clone();
        tokio::spawn(async move {
            let code = me.forward(&call, &mut driver, &mut timing, first, &tx).await;
            timing.finish(&me, &call, driver.attempts(), code);
            drop(guard);
        });
        let mut reply = Response::new(body);
        let value = header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
        Ok(reply)
    }

    /// Sends the pieces on until the end, and returns the code of the request.
    async fn forward(
        &self,
        call: &Completion,
        driver: &mut Driver<L>,
        timing: &mut Timing,
        first: Piece,
        tx: &Sender,
    ) -> u32 {
        let mut piece = first;
        let (head, tail) = call.frame();
        loop {
            let part = match piece {
                Piece::Token(token) => {
                    timing.token();
                    event(&head, &token, tail)
                }
                Piece::Complete => {
                    let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
                    return 0;
                }
                Piece::Failed(refusal) => {
                    let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
                    let _ = tx.send(Ok(event.into())).await;
                    // The error event is written out before the transfer is broken off.
                    time::sleep(FLUSH_TIME).await;
                    let _ = tx.send(Err(Broken)).await;
                    return refusal.code.number();
                }
            };
            if tx.send(Ok(part)).await.is_err() {
                // The caller went away; dropping the driver cancels the run.
                return 0;
            }
            piece = tokio::select! {
                piece = driver.next() => piece,
                () = tx.closed() => return 0,
            };
        }
    }
}

/// One streamed event.
fn event(head: &str, token: &[u8], tail: &str) -> Bytes {
    let text = serde_json::to_string(&String::from_utf8_lossy(token)).unwrap_or_default();
    let mut buf = String::with_capacity(head.len() + text.len() + tail.len());
    buf.push_str(head);
    buf.push_str(&text);
    buf.push_str(tail);
    buf.into()
}
