//! Client of a backend over HTTP: completions as server-sent events, orders and reports as JSON.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, StatusCode, body::Incoming, header};
use serde::{Deserialize, Serialize};

use crate::{
    agent::{Backend, BackendError, EngineReport, ServiceReply, TokenStream},
    core::orders::{FencingToken, Order, OrderResult},
    http::{Client, ClientError, SseParser},
};

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
// The engine responds after it has executed the order, and a load takes seconds.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_SERVICE_REPLY_BYTES: usize = 16 * 1024 * 1024;
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An order with its fencing token, as it is sent to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token of the order.
    pub number: FencingToken,
    /// Order to execute.
    pub order: Order,
}

/// Client of a backend over HTTP. Each call has a connection of its own, since responses do not name
/// the call that they are for.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    client: Client,
}

impl HttpBackend {
    /// Creates a client of the backend at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::without_reuse(address) }
    }
}

impl From<ClientError> for BackendError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::NotSent(text) => Self::NotSent(text),
            ClientError::Status(status, _) => Self::from_status(status, err.to_string()),
            ClientError::NoResponse(_) | ClientError::Malformed(_) => {
                Self::Interrupted(err.to_string())
            }
        }
    }
}

impl BackendError {
    /// The error for a status other than 2xx. Only statuses that rule out that the backend has begun
    /// to run the call are refusals.
    fn from_status(status: StatusCode, text: String) -> Self {
        match status.as_u16() {
            400 | 401 | 403 | 404 | 405 | 413 | 415 | 421 | 422 | 429 | 503 => Self::Refused(text),
            _ => Self::Interrupted(text),
        }
    }
}

/// Tokens of a completion that arrive as server-sent events.
#[derive(Debug)]
pub struct HttpTokens {
    body: Incoming,
    parser: SseParser,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl TokenStream for HttpTokens {
    async fn next(&mut self) -> Result<Option<Bytes>, BackendError> {
        loop {
            if let Some(data) = self.parser.next() {
                if data == "[DONE]" {
                    return Ok(None);
                }
                return parse_token(&data).map(Some);
            }
            let interrupted = |text: &str| BackendError::Interrupted(text.to_owned());
            if MAX_EVENT_BYTES < self.parser.pending() {
                return Err(interrupted("an event of the stream is larger than 1 MiB"));
            }
            let Some(frame) = self.body.frame().await else {
                return Err(interrupted("the stream ended before its [DONE] event"));
            };
            let frame = frame.map_err(|err| BackendError::Interrupted(err.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.parser.push(&data);
            }
        }
    }
}

fn parse_token(data: &[u8]) -> Result<Bytes, BackendError> {
    let chunk: Chunk = serde_json::from_slice(data).map_err(|err| {
        BackendError::Interrupted(format!(
            "an event of the stream is not a completion chunk: {err}"
        ))
    })?;
    let choice = chunk.choices.into_iter().next();
    let text = choice.and_then(|c| c.text.or(c.delta.and_then(|d| d.content)));
    Ok(text.unwrap_or_default().into())
}

impl Backend for HttpBackend {
    type Tokens = HttpTokens;

    async fn report(&self) -> Result<EngineReport, BackendError> {
        Ok(self.client.get_json("/state", REPORT_TIMEOUT).await?)
    }

    async fn send_order(
        &self,
        number: FencingToken,
        order: &Order,
    ) -> Result<OrderResult, BackendError> {
        let order = OrderRequest { number, order: order.clone() };
        Ok(self.client.post_json("/order", &order, ORDER_TIMEOUT).await?)
    }

    async fn complete(&self, path: &str, body: Bytes) -> Result<HttpTokens, BackendError> {
        let reply = self.client.send(Method::POST, path, json_headers(), body).await?;
        if reply.status().is_success() {
            return Ok(HttpTokens { body: reply.into_body(), parser: SseParser::default() });
        }
        Err(BackendError::from_status(reply.status(), format!("HTTP status {}", reply.status())))
    }

    async fn call(&self, path: &str, body: Bytes) -> Result<ServiceReply, BackendError> {
        let reply = self.client.send(Method::POST, path, json_headers(), body).await?;
        let status = reply.status().as_u16();
        let content_type = reply.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        let body = Limited::new(reply.into_body(), MAX_SERVICE_REPLY_BYTES).collect().await;
        let body = body.map_err(|err| BackendError::Interrupted(err.to_string()))?.to_bytes();
        Ok(ServiceReply { status, content_type, body })
    }
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    headers
}
