//! Sends a request to one endpoint and validates the head of its response.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use log::info;
use metrics::counter;
use tokio::time;

use crate::{
    core::{
        correlation::ResponseId,
        forwarding::TimeLimit,
        ids::{AccountName, EndpointId},
        limits::NamedLimit,
    },
    gateway::{
        limits, rests,
        shared::SharedState,
        upstream::{CONNECT_TIMEOUT, Connection, SendError},
    },
    platform::{self, ForwardParams, NotRunReason, ResponseHead},
    telemetry::names,
};

/// Maximum size of a response that is not streamed, bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to read the rest of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// What is the same in all attempts of a request.
#[derive(Debug)]
pub(super) struct OutboundRequest {
    pub(super) shared: Arc<SharedState>,
    pub(super) id: Vec<u8>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) priority: u8,
    pub(super) account: Option<AccountName>,
    pub(super) limit: TimeLimit,
}

/// A valid response head and the connection on which the body follows.
pub(super) type SentRequest = (Response<Incoming>, ResponseHead, Connection);

/// Why an attempt gave no usable response.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The request was not sent.
    NotSent(String),
    /// The endpoint reported that it did not run the request.
    NotRun(NotRunReason),
    /// The request may have run.
    MayHaveRun(String),
    /// No response head arrived before the deadline; the request may be running.
    TimedOut,
}

impl OutboundRequest {
    /// Sends the request to an endpoint and validates the response head.
    pub(super) async fn send(
        self: Arc<Self>,
        endpoint: EndpointId,
        address: SocketAddr,
        last_event: Option<String>,
    ) -> Result<SentRequest, AttemptError> {
        let sent_at = Instant::now();
        let (response, connection) =
            self.exchange(&endpoint, address, last_event.as_deref()).await?;
        let head = platform::parse_response_head(response.status(), response.headers(), &self.id);
        self.log_response(&endpoint, &connection, response.status(), &head);
        if platform::is_merged_head(&response) {
            return Err(AttemptError::MayHaveRun("the response head consists of two".to_owned()));
        }
        if !connection.history().correlates(head.id) {
            let text = match head.id {
                ResponseId::Missing => "the response has no id and may belong to another request",
                _ => "the response belongs to another request",
            };
            return Err(AttemptError::MayHaveRun(text.to_owned()));
        }
        rests::record_response(&self.shared, &self.id, &endpoint, &head);
        // A failure without a limit does not end one.
        let says_limit = response.status().is_success() || head.limit != NamedLimit::None;
        if says_limit && head.not_run != Some(NotRunReason::Elsewhere) {
            limits::record_response(&self.shared, &self.id, &endpoint, sent_at, head.limit);
        }
        if let Some(reason) = head.not_run {
            self.drain_refusal(response, head, connection).await;
            return Err(AttemptError::NotRun(reason));
        }
        if !head.is_valid {
            return Err(AttemptError::MayHaveRun(
                "the successful response has no signature".to_owned(),
            ));
        }
        Ok((response, head, connection))
    }

    /// Sends the request on an idle connection, or on a new one if there is none.
    async fn exchange(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        last_event: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), AttemptError> {
        if let Some(mut idle) = self.shared.pool.acquire(address, &self.id) {
            match self.send_on_connection(&mut idle, endpoint, last_event).await {
                // The endpoint closed the connection before the request was sent.
                Err(AttemptError::NotSent(_)) => {}
                response => return Ok((response?, idle)),
            }
        }
        let connect_timeout = self.limit.stage(Instant::now(), CONNECT_TIMEOUT);
        let opened = Connection::open_within(address, connect_timeout).await;
        let mut connection = opened.map_err(|e| AttemptError::NotSent(e.to_string()))?;
        let response = self.send_on_connection(&mut connection, endpoint, last_event).await?;
        Ok((response, connection))
    }

    /// Sends the request on a connection and waits for the response head.
    async fn send_on_connection(
        &self,
        connection: &mut Connection,
        endpoint: &EndpointId,
        last_event: Option<&str>,
    ) -> Result<Response<Incoming>, AttemptError> {
        let now = Instant::now();
        let params = ForwardParams {
            endpoint,
            deadline: self.limit.left(now),
            priority: self.priority,
            last_event_id: last_event,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let mut headers = platform::forwarded_headers(&self.headers, params);
        // The caller's `connection` header may have named it.
        if let Some(name) = &self.account {
            platform::set_account(&mut headers, name);
        }
        *req.headers_mut() = headers;
        let reused = 0 < connection.history().requests();
        let sending = connection.send(&self.id, req);
        let result = match time::timeout(self.limit.until_answer(now), sending).await {
            Err(_) => Err(AttemptError::TimedOut),
            Ok(Err(SendError::NotSent(text))) => Err(AttemptError::NotSent(text)),
            Ok(Err(SendError::MayHaveRun(text))) => {
                Err(AttemptError::MayHaveRun(format!("{text} (reused connection: {reused})")))
            }
            Ok(Ok(response)) => Ok(response),
        };
        if let Err(err) = &result {
            self.log_no_response(endpoint, connection, err);
        }
        result
    }

    /// Logs the connection and the request id of a response head.
    fn log_response(
        &self,
        endpoint: &EndpointId,
        connection: &Connection,
        status: StatusCode,
        head: &ResponseHead,
    ) {
        let (number, history) = (connection.number(), connection.history());
        info!(
            "event=response id={} endpoint={endpoint} connection={number} requests={} sends={} \
             status={} response_id={} not_run={}",
            String::from_utf8_lossy(&self.id),
            history.requests(),
            history.sends(&self.id),
            status.as_u16(),
            head.id.as_str(),
            head.not_run.map_or("-".to_owned(), |reason| format!("{reason:?}")),
        );
        counter!(names::RESPONSES, "id" => head.id.as_str()).increment(1);
    }

    /// Logs the connection of a send that got no response head.
    fn log_no_response(&self, endpoint: &EndpointId, connection: &Connection, err: &AttemptError) {
        let (number, history) = (connection.number(), connection.history());
        let sent = !matches!(err, AttemptError::NotSent(_));
        info!(
            "event=no_response id={} endpoint={endpoint} connection={number} requests={} \
             sends={} sent={sent}",
            String::from_utf8_lossy(&self.id),
            history.requests(),
            history.sends(&self.id),
        );
        counter!(names::UNANSWERED, "sent" => if sent { "yes" } else { "no" }).increment(1);
    }

    /// Reads the rest of an endpoint's refusal so that the connection can be reused.
    async fn drain_refusal(
        &self,
        response: Response<Incoming>,
        head: ResponseHead,
        connection: Connection,
    ) {
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        let timeout = self.limit.stage(Instant::now(), REFUSAL_TIMEOUT);
        let read = time::timeout(timeout, body).await;
        if matches!(read, Ok(Ok(_))) && head.allows_reuse() {
            self.shared.pool.release(connection, head.keep_alive);
        }
    }
}
