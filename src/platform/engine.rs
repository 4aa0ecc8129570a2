//! Client of an engine: reads its report and sends it orders.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, header};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    core::{
        forwarding::{EndpointState, LoadReport},
        residency::{
            EngineOrder, EngineReport, Operation, OrderAnswer, OrderError, RunningRequest,
        },
    },
    http::{Client, ClientError, MissingIds, SerialClient},
    platform::{
        DecodeError,
        headers::{EXPECTED_ENDPOINT, REQUEST_ID},
        registration::{CachedModelsWire, LoadedModelWire, residency},
    },
};

/// Time limit for reading the report of the engine, which runs on the same VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the answer to an order. The engine answers before it carries the
/// order out.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for asking the engine of another VM for its start.
const START_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_PATH: &str = "/-/report";
const ORDER_PATH: &str = "/-/order";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportWire {
    #[serde(default, rename = "born")]
    started_ms: Option<u64>,
    models: Vec<LoadedModelWire>,
    #[serde(default)]
    at_hand: Option<CachedModelsWire>,
    #[serde(default)]
    coming: Vec<String>,
    #[serde(default)]
    busy: bool,
    seq: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    #[serde(default)]
    kv_used: u64,
    #[serde(default)]
    kv_total: u64,
    #[serde(default)]
    state: Option<String>,
    // Rows of request id, tokens in memory, number of events produced, priority.
    #[serde(default)]
    runs: Vec<(String, u64, u64, i64)>,
}

#[derive(Deserialize)]
struct StartWire {
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderWire<'a> {
    opcode: &'a str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    expected: u64,
    holder: &'a str,
    fence: u64,
}

impl From<ReportWire> for EngineReport {
    fn from(wire: ReportWire) -> Self {
        let without_first_token =
            wire.runs.iter().filter(|(_, _, events, _)| *events == 0).count() as u32;
        let running = wire.runs.iter();
        let running = running.map(|(id, tokens, events, _)| RunningRequest {
            id: id.as_str().into(),
            tokens: *tokens,
            events: *events,
        });
        let incoming_adapters = wire.coming.iter().filter_map(|entry| {
            let (model, adapter) = entry.split_once('/')?;
            let name = adapter.split_once('@').map_or(adapter, |(name, _)| name);
            Some((model.into(), name.into()))
        });
        let draining = wire.state.as_deref().is_some_and(|s| s == "draining");
        Self {
            started_ms: wire.started_ms,
            incoming_adapters: incoming_adapters.collect(),
            running: running.collect(),
            order_seq: wire.seq,
            load: LoadReport {
                active: wire.active,
                queued: wire.queued,
                awaiting_first_token: without_first_token + wire.queued,
                recent_tokens: 0,
                kv_used: wire.kv_used,
                kv_total: wire.kv_total,
            },
            state: if draining { EndpointState::Draining } else { EndpointState::Ready },
            residency: residency(wire.models, wire.at_hand, wire.busy),
        }
    }
}

/// Asks the engine at an address for its start, Unix time in milliseconds; none if it answers
/// without one.
///
/// # Errors
/// [`DecodeError`] if it does not answer.
pub async fn engine_start(address: SocketAddr) -> Result<Option<u64>, DecodeError> {
    let client = Client::new(address);
    match client.get_json::<StartWire>(REPORT_PATH, START_TIMEOUT).await {
        Ok(report) => Ok(report.born),
        Err(ClientError::Status(..) | ClientError::Malformed(_)) => Ok(None),
        Err(err) => Err(DecodeError(err.to_string())),
    }
}

/// Client of one engine.
#[derive(Debug)]
pub struct EngineClient {
    reports: SerialClient,
    // On connections of their own, so that reports do not wait for the answer to an order.
    model_orders: SerialClient,
    adapter_orders: SerialClient,
    holder: String,
}

impl EngineClient {
    /// Creates a client of the engine at an address. `holder` names the sender in orders.
    pub fn new(address: SocketAddr, holder: &str) -> Self {
        let client = |missing_ids| SerialClient::new(address, REQUEST_ID, holder, missing_ids);
        Self {
            // Reports and orders for adapters are frequent, and the next report corrects most mistakes.
            reports: client(MissingIds::Trusted),
            adapter_orders: client(MissingIds::Trusted),
            model_orders: client(MissingIds::Distrusted),
            holder: holder.to_owned(),
        }
    }

    /// Reads the engine's report.
    ///
    /// # Errors
    /// [`DecodeError`] if no report is received or it cannot be decoded.
    pub async fn report(&self) -> Result<EngineReport, DecodeError> {
        let read = || {
            let (headers, body) = (HeaderMap::new(), Bytes::new());
            self.reports.call(Method::GET, REPORT_PATH, headers, body, REPORT_TIMEOUT)
        };
        let reading = async {
            match read().await {
                // Without a repeat, the copy of a report would look like the loss of the engine.
                Err(ClientError::NoResponse(_)) => read().await,
                result => result,
            }
        };
        let body = time::timeout(REPORT_TIMEOUT, reading).await;
        let body = body.map_err(|_| DecodeError(format!("no report within {REPORT_TIMEOUT:?}")))?;
        let body = body.map_err(|err| DecodeError(err.to_string()))?;
        let report: Result<ReportWire, _> = serde_json::from_slice(&body);
        report.map(EngineReport::from).map_err(|err| DecodeError(err.to_string()))
    }

    /// Sends an order.
    ///
    /// # Errors
    /// [`OrderError::NotSent`] if the order was not sent; [`OrderError::Unknown`] if it may
    /// be carried out although no answer is certain to be its own.
    pub async fn order(&self, order: &EngineOrder) -> Result<OrderAnswer, OrderError> {
        let wire = OrderWire {
            opcode: match order.operation {
                Operation::Load => "load",
                Operation::Unload => "unload",
            },
            model: &order.model,
            adapter: order.adapter.as_deref(),
            expected: order.expected,
            holder: &self.holder,
            fence: order.fence,
        };
        let body = serde_json::to_vec(&wire).map_err(|e| OrderError::NotSent(e.to_string()))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if let Some(endpoint) = &order.endpoint {
            // A late order is then refused by an engine that has started meanwhile.
            let id = header::HeaderValue::from_str(endpoint);
            let id = id.map_err(|err| OrderError::NotSent(err.to_string()))?;
            headers.insert(EXPECTED_ENDPOINT, id);
        }
        let client = match order.adapter {
            Some(_) => &self.adapter_orders,
            None => &self.model_orders,
        };
        let call = client.call(Method::POST, ORDER_PATH, headers, body.into(), ORDER_TIMEOUT);
        match call.await {
            Ok(_) => Ok(OrderAnswer::Accepted),
            Err(ClientError::Status(status, _)) => Ok(match status.as_u16() {
                409 => OrderAnswer::Conflict,
                412 => OrderAnswer::Fenced,
                421 => OrderAnswer::OtherEndpoint,
                other => OrderAnswer::Refused(other),
            }),
            Err(ClientError::NotSent(text)) => Err(OrderError::NotSent(text)),
            Err(err) => Err(OrderError::Unknown(err.to_string())),
        }
    }
}
