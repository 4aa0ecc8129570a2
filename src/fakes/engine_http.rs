//! HTTP interface of the simulated engine.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::{
    agent::{BackendError, OrderRequest},
    core::hash,
    fakes::FakeEngine,
    http::{self, BodySender, Reply, ReplyAborted, ReplyBody, Stop},
};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_MAX_TOKENS: u32 = 16;

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Resume {
    tokens: u32,
}

impl CompletionRequest {
    fn full_prompt(&self) -> String {
        let messages = self.messages.iter().map(|m| m.content.as_str());
        std::iter::once(self.prompt.as_str()).chain(messages).collect::<Vec<_>>().join("\n")
    }
}

impl FakeEngine {
    /// Serves the engine over HTTP until the stop is signalled.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let engine = self.clone();
            async move { engine.handle(req).await }
        };
        http::serve(listener, handler, stop).await;
    }

    /// The text of a token. It depends only on the prompt and the index, so every engine
    /// generates the same text for a prompt.
    pub fn token(prompt: &str, index: u32) -> String {
        let word = hash::stable(&[prompt.as_bytes(), &index.to_le_bytes()]) & 0xffff;
        format!(" w{word:04x}")
    }

    async fn handle(&self, req: Request<http::RequestBody>) -> Result<Reply, ReplyAborted> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let body = http::read_body(req.into_body(), MAX_BODY_BYTES, Duration::from_secs(30)).await;
        let body = body.map_err(|_| ReplyAborted)?;
        match (&method, path.as_str()) {
            (&Method::GET, "/state") => json_reply(self.report()),
            (&Method::POST, "/order") => {
                let Ok(order) = serde_json::from_slice::<OrderRequest>(&body) else {
                    return Ok(http::text(StatusCode::BAD_REQUEST, "not an order"));
                };
                json_reply(self.order(order.number, order.order).await)
            }
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => self.complete(&body),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn complete(&self, body: &[u8]) -> Result<Reply, ReplyAborted> {
        let request = match serde_json::from_slice::<CompletionRequest>(body) {
            Ok(request) => request,
            Err(err) => return Ok(http::text(StatusCode::BAD_REQUEST, err.to_string())),
        };
        let prompt = request.full_prompt();
        let base_model = request.model.split(':').next().unwrap_or_default();
        let slot = match self.start_run(base_model, &prompt) {
            Ok(slot) => slot,
            Err(BackendError::Refused(text)) => {
                return Ok(http::text(StatusCode::NOT_FOUND, text));
            }
            Err(_) => return Err(ReplyAborted),
        };
        let (tx, body) = ReplyBody::stream();
        let engine = self.clone();
        tokio::spawn(async move {
            let mut slot = slot;
            if engine.generate(&mut slot, &request, &prompt, &tx).await.is_err() {
                let _ = tx.send(Err(ReplyAborted)).await;
            }
        });
        let mut reply = Response::new(body);
        let value = header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
        Ok(reply)
    }

    async fn generate(
        &self,
        slot: &mut super::engine::BatchSlot,
        request: &CompletionRequest,
        prompt: &str,
        tx: &BodySender,
    ) -> Result<(), BackendError> {
        let caller_gone = |_| BackendError::Interrupted("the caller disconnected".to_owned());
        let first = request.resume.as_ref().map_or(0, |r| r.tokens);
        let end = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let prefill_time = self.prefill_time(&request.model, prompt);
        slot.step(prefill_time).await?;
        for index in first..end {
            if index != first {
                slot.step(self.token_gap()).await?;
            }
            let text = Self::token(prompt, index);
            let event = json!({ "choices": [{ "index": 0, "text": text }] });
            tx.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await.map_err(caller_gone)?;
        }
        slot.mark_complete();
        tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.map_err(caller_gone)
    }
}

fn json_reply<T: serde::Serialize>(result: Result<T, BackendError>) -> Result<Reply, ReplyAborted> {
    match result {
        Ok(document) => Ok(http::json(StatusCode::OK, &document)),
        // An engine that is down closes the connection without a response.
        Err(_) => Err(ReplyAborted),
    }
}
