//! HTTP client of the cluster: sends requests to an entry and checks the responses.

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

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
}

/// Result of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// HTTP status; 0 when there was no response or it was cut off.
    pub status: u16,
    /// Error code of a refusal; 0 when there was none.
    pub code: u32,
    /// Outcome that a refusal states: `not_run`, `ran` or `unknown`.
    pub outcome: String,
    /// Generated text, or the body of a response that has none.
    pub body: String,
    /// Whether the response is complete and is the expected one for this request.
    pub complete: bool,
    /// Time to the first token; for a response that is not streamed, time to its end.
    pub first_token: Duration,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

/// Sends requests to one entry as one tenant and class.
#[derive(Clone, Debug)]
pub struct ApiClient {
    client: Client,
    tenant: String,
    class: String,
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

impl ApiClient {
    /// Creates a client of the entry at `entry`.
    pub fn new(entry: SocketAddr, tenant: &str, class: &str) -> Self {
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        Self { client: Client::new(entry), tenant, class }
    }

    /// Requests a completion and compares the text with the one that [`FakeEngine`] generates.
    pub async fn complete(&self, request: &CompletionRequest) -> RequestResult {
        let body = json!({
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.tokens,
            "stream": request.stream,
        });
        let mut result = self.post("/v1/completions", &body, None, request.stream).await;
        let prompt = &request.prompt;
        let expected: String = (0..request.tokens).map(|i| FakeEngine::token(prompt, i)).collect();
        result.complete = result.code == 0 && result.status == 200 && result.body == expected;
        result
    }

    /// Sends a confirmation to a plain service, with an idempotency key if one is given.
    pub async fn confirm(&self, service: &str, id: &str, key: Option<&str>) -> RequestResult {
        let path = format!("/services/{service}/confirm");
        let mut result = self.post(&path, &json!({ "id": id }), key, false).await;
        let document: Value = serde_json::from_str(&result.body).unwrap_or_default();
        result.complete = result.status == 200 && document["confirmed"] == id;
        result
    }

    /// Posts a JSON document. Leaves [`RequestResult::complete`] false: only the caller knows
    /// the expected response.
    pub async fn post(
        &self,
        path: &str,
        body: &Value,
        key: Option<&str>,
        stream: bool,
    ) -> RequestResult {
        let started_at = Instant::now();
        let mut headers = HeaderMap::new();
        let mut add_header = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        add_header("x-tenant", &self.tenant);
        add_header("x-class", &self.class);
        if let Some(key) = key {
            add_header("idempotency-key", key);
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
        let exchange = async {
            let sent = self.client.send(Method::POST, path, headers, body.to_string().into()).await;
            let Ok(response) = sent else { return };
            result.status = response.status().as_u16();
            if stream && response.status() == StatusCode::OK {
                read_stream(response.into_body(), started_at, &mut result).await;
            } else {
                read_body(response.into_body(), started_at, &mut result).await;
            }
        };
        if time::timeout(REQUEST_TIMEOUT, exchange).await.is_err() {
            result.status = 0;
        }
        result.total = started_at.elapsed();
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

async fn read_body(body: Incoming, started_at: Instant, result: &mut RequestResult) {
    let Ok(body) = body.collect().await else {
        result.status = 0;
        return;
    };
    result.first_token = started_at.elapsed();
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let document: Value = serde_json::from_str(&text).unwrap_or_default();
    record_error(&document, result);
    result.body = match document["choices"][0]["text"].as_str() {
        Some(text) => text.to_owned(),
        None => text,
    };
}

async fn read_stream(mut body: Incoming, started_at: Instant, result: &mut RequestResult) {
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
                        result.first_token = started_at.elapsed();
                    }
                    result.body.extend(chunk.choices.into_iter().map(|c| c.text));
                }
                Err(_) => record_error(&serde_json::from_slice(&event).unwrap_or_default(), result),
            }
        }
    }
    if !done && result.code == 0 {
        // Without `[DONE]` the stream was cut off, which counts as no response.
        result.status = 0;
    }
}

fn record_error(document: &Value, result: &mut RequestResult) {
    let error = &document["error"];
    if let Some(code) = error["code"].as_u64() {
        result.code = code as u32;
        result.outcome = error["outcome"].as_str().unwrap_or_default().to_owned();
    }
}
