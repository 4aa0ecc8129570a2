//! Callers: send requests to entries and check what comes back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time;

use crate::{
    fakes::FakeEngine,
    http::{Client, SseParser},
};

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// HTTP status; 0 when there was no answer.
    pub status: u16,
    /// Code of the refusal; 0 for none.
    pub code: u32,
    /// `not_run`, `ran` or `unknown` of a refusal.
    pub outcome: String,
    /// The text or body of the answer.
    pub body: String,
    /// The answer is whole and the one to this request.
    pub complete: bool,
    /// Time to the first token, or to the answer.
    pub first_token: Duration,
    /// Whole time.
    pub total: Duration,
}

/// Sends requests to one entry for one tenant and class.
#[derive(Clone, Debug)]
pub struct ApiClient {
    client: Client,
    tenant: String,
    class: String,
}

const LIMIT: Duration = Duration::from_secs(40);

impl ApiClient {
    /// A caller of the entry at an address.
    pub fn new(entry: SocketAddr, tenant: &str, class: &str) -> Self {
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        Self { client: Client::new(entry), tenant, class }
    }

    /// Asks for a completion and checks that the answer is whole.
    pub async fn complete(&self, ask: &CompletionRequest) -> RequestResult {
        let body = json!({
            "model": ask.model,
            "prompt": ask.prompt,
            "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        let mut result = self.post("/v1/completions", &body, None, ask.stream).await;
        let prompt = &ask.prompt;
        let expected: String = (0..ask.tokens).map(|i| FakeEngine::token(prompt, i)).collect();
        result.complete = result.code == 0 && result.status == 200 && result.body == expected;
        result
    }

    /// Calls a plain service with an idempotency key.
    pub async fn confirm(&self, service: &str, id: &str, key: Option<&str>) -> RequestResult {
        let path = format!("/services/{service}/confirm");
        let mut result = self.post(&path, &json!({ "id": id }), key, false).await;
        let document: Value = serde_json::from_str(&result.body).unwrap_or_default();
        result.complete = result.status == 200 && document["confirmed"] == id;
        result
    }

    /// Posts a document.
    pub async fn post(
        &self,
        path: &str,
        body: &Value,
        key: Option<&str>,
        stream: bool,
    ) -> RequestResult {
        let began = Instant::now();
        let mut headers = HeaderMap::new();
        let mut add = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        add("x-tenant", &self.tenant);
        add("x-class", &self.class);
        if let Some(key) = key {
            add("idempotency-key", key);
        }
        let mut result = RequestResult {
            status: 0,
            code: 0,
            outcome: String::new(),
            body: String::new(),
            complete: false,
            first_token: Duration::ZERO,
            total: Duration::ZERO,
        };
        let call = async {
            let sent = self.client.send(Method::POST, path, headers, body.to_string().into()).await;
            let Ok(reply) = sent else { return };
            result.status = reply.status().as_u16();
            if stream && reply.status() == StatusCode::OK {
                read_stream(reply.into_body(), began, &mut result).await;
            } else {
                read_whole(reply.into_body(), began, &mut result).await;
            }
        };
        if time::timeout(LIMIT, call).await.is_err() {
            result.status = 0;
        }
        result.total = began.elapsed();
        result
    }
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

async fn read_whole(body: Incoming, began: Instant, result: &mut RequestResult) {
    let Ok(body) = body.collect().await else {
        result.status = 0;
        return;
    };
    result.first_token = began.elapsed();
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let document: Value = serde_json::from_str(&text).unwrap_or_default();
    note_error(&document, result);
    result.body = match document["choices"][0]["text"].as_str() {
        Some(answer) => answer.to_owned(),
        None => text,
    };
}

async fn read_stream(mut body: Incoming, began: Instant, result: &mut RequestResult) {
    let mut parser = SseParser::default();
    let mut done = false;
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        parser.push(&data);
        while let Some(event) = parser.next() {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            match serde_json::from_slice::<Chunk>(&event) {
                Ok(chunk) => {
                    if result.body.is_empty() {
                        result.first_token = began.elapsed();
                    }
                    result.body.extend(chunk.choices.into_iter().map(|c| c.text));
                }
                Err(_) => note_error(&serde_json::from_slice(&event).unwrap_or_default(), result),
            }
        }
    }
    if !done && result.code == 0 {
        // A transfer without an end is no answer.
        result.status = 0;
    }
}

fn note_error(document: &Value, result: &mut RequestResult) {
    let error = &document["error"];
    if let Some(code) = error["code"].as_u64() {
        result.code = code as u32;
        result.outcome = error["outcome"].as_str().unwrap_or_default().to_owned();
    }
}
