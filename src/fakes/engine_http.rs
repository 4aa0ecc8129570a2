//! The engine's HTTP side.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::{
    agent::{BackendError, NumberedOrder},
    core::hash,
    fakes::FakeEngine,
    http::{self, Broken, Reply, ReplyBody, Sender, Stop},
};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_TOKENS: u32 = 16;

#[derive(Debug, Deserialize)]
struct Completion {
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

impl Completion {
    fn whole_prompt(&self) -> String {
        let messages = self.messages.iter().map(|m| m.content.as_str());
        std::iter::once(self.prompt.as_str()).chain(messages).collect::<Vec<_>>().join("\n")
    }
}

impl FakeEngine {
    /// Serves the engine over HTTP until the stop.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let me = self.clone();
            async move { me.handle(req).await }
        };
        http::serve(listener, handler, stop).await;
    }

    /// The text of a token: the same for the same prompt on every engine.
    pub fn token(prompt: &str, index: u32) -> String {
        let word = hash::stable(&[prompt.as_bytes(), &index.to_le_bytes()]) & 0xffff;
        format!(" w{word:04x}")
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Reply, Broken> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let body = http::read_body(req.into_body(), MAX_BODY_BYTES, Duration::from_secs(30)).await;
        let body = body.map_err(|_| Broken)?;
        match (&method, path.as_str()) {
            (&Method::GET, "/state") => answer(self.report()),
            (&Method::POST, "/order") => {
                let Ok(order) = serde_json::from_slice::<NumberedOrder>(&body) else {
                    return Ok(http::text(StatusCode::BAD_REQUEST, "not an order"));
                };
                answer(self.order(order.number, order.order).await)
            }
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => self.complete(&body),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn complete(&self, body: &[u8]) -> Result<Reply, Broken> {
        let call = match serde_json::from_slice::<Completion>(body) {
            Ok(call) => call,
            Err(err) => return Ok(http::text(StatusCode::BAD_REQUEST, err.to_string())),
        };
        let prompt = call.whole_prompt();
        let base = call.model.split(':').next().unwrap_or_default();
        let slot = match self.join(base, &prompt) {
            Ok(slot) => slot,
            Err(BackendError::Refused(text)) => {
                return Ok(http::text(StatusCode::NOT_FOUND, text));
            }
            Err(_) => return Err(Broken),
        };
        let (tx, body) = ReplyBody::parts();
        let me = self.clone();
        tokio::spawn(async move {
            let mut slot = slot;
            if me.generate(&mut slot, &call, &prompt, &tx).await.is_err() {
                let _ = tx.send(Err(Broken)).await;
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
        call: &Completion,
        prompt: &str,
        tx: &Sender,
    ) -> Result<(), BackendError> {
        let gone = |_| BackendError::Interrupted("the caller went away".to_owned());
        let first = call.resume.as_ref().map_or(0, |r| r.tokens);
        let all = call.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let wait = self.prefill(&call.model, prompt);
        slot.step(wait).await?;
        for index in first..all {
            if index != first {
                slot.step(self.gap()).await?;
            }
            let text = Self::token(prompt, index);
            let event = json!({ "choices": [{ "index": 0, "text": text }] });
            tx.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await.map_err(gone)?;
        }
        slot.completed();
        tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.map_err(gone)
    }
}

fn answer<T: serde::Serialize>(result: Result<T, BackendError>) -> Result<Reply, Broken> {
    match result {
        Ok(document) => Ok(http::json(StatusCode::OK, &document)),
        // An engine that is down closes the connection without a word.
        Err(_) => Err(Broken),
    }
}
