//! Headers of requests and responses.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{self, HeaderName, HeaderValue},
};

use crate::core::{
    correlation::ResponseId,
    forwarding::{PromptSegment, Requirements},
    hash,
    ids::HeaderHash,
    limits::NamedLimit,
};

/// Path of the readiness check of a process.
pub const READY_PATH: &str = "/-/ready";

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-token-counts");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const RESUMED_ATTEMPT: HeaderName = HeaderName::from_static("resumes");
pub(super) const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("x-expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Largest value of the priority header; 0 is the most urgent.
const LOWEST_PRIORITY: u8 = 9;

/// Longest announced time that is believed, seconds.
const MAX_KEEP_ALIVE_S: u64 = 86_400;

/// Longest rest that an endpoint gets, seconds.
const MAX_REST_S: f64 = 3600.0;

/// Headers that only this system sets. Those that a caller sends are dropped.
const INTERNAL: &[&str] = &[
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-instance",
    "x-expect-version",
    "x-request-priority",
    "x-deadline-ms",
];

/// Headers that are new with each attempt of a caller.
const PER_ATTEMPT: &[&str] = &["x-request-id", "last-event-id", "resumes", "date"];

/// Headers that apply to a single connection, and those of the message framing, which is
/// generated anew.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Headers that are forwarded even if a caller lists them in its `connection` header.
const ALWAYS_FORWARDED: &[&str] = &[
    "host",
    "x-request-id",
    "x-model",
    "x-token-counts",
    "x-prompt-prefix",
    "last-event-id",
    "x-length-hint",
    "content-type",
];

/// Content of the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Request id that the caller set; empty if there is none.
    pub id: Vec<u8>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// What the request requires of an endpoint.
    pub requirements: Requirements,
}

/// Parses the head of a caller's request.
///
/// ```
/// use goldcrestpitch::platform::parse_request_head;
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("x-model", "m/a3".parse().unwrap());
/// headers.insert("x-token-counts", "1460,80".parse().unwrap());
/// headers.insert("x-prompt-prefix", "5c:800,91:660".parse().unwrap());
/// let requirements = parse_request_head(&headers).requirements;
/// let (model, adapter) = (requirements.model.as_deref(), requirements.adapter.as_deref());
/// assert_eq!((model, adapter), (Some("m"), Some("a3")));
/// let (prompt, output) = (requirements.prompt_tokens, requirements.output_tokens);
/// assert_eq!((prompt, output, requirements.prompt_segments.len()), (1460, 80, 2));
/// ```
pub fn parse_request_head(headers: &HeaderMap) -> RequestHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let counts = text(&TOKEN_COUNTS).and_then(|t| t.split_once(','));
    let number = |t: &str| t.trim().parse::<u32>().unwrap_or(0);
    let (prompt, output) = counts.map_or((0, 0), |(p, o)| (number(p), number(o)));
    let model = text(&MODEL).map(|m| m.split_once('/').map_or((m, None), |(m, a)| (m, Some(a))));
    let segments = text(&PROMPT_PREFIX).unwrap_or_default().split(',').filter_map(prompt_segment);
    let deadline = text(&DEADLINE).and_then(|t| t.trim().parse::<f64>().ok());
    let deadline = deadline.filter(|ms| !ms.is_nan());
    RequestHead {
        id: headers.get(&REQUEST_ID).map(|v| v.as_bytes().to_vec()).unwrap_or_default(),
        deadline: deadline.map(|ms| Duration::from_secs_f64((ms / 1e3).clamp(0.0, 86_400.0))),
        requirements: Requirements {
            model: model.map(|(m, _)| m.into()),
            adapter: model.and_then(|(_, a)| a).map(Into::into),
            prompt_tokens: prompt,
            output_tokens: output,
            prompt_segments: segments.collect(),
        },
    }
}

/// Hash of the headers that a caller may set as it likes, apart from those that concern one
/// attempt or one connection. Never 0.
///
/// ```
/// use goldcrestpitch::platform::header_hash;
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("x-account", "a".parse().unwrap());
/// let hash = header_hash(&headers);
/// headers.insert("x-request-id", "q1".parse().unwrap());
/// headers.insert("resumes", "q0".parse().unwrap());
/// assert_eq!(header_hash(&headers), hash);
/// headers.insert("x-account", "b".parse().unwrap());
/// assert_ne!(header_hash(&headers), hash);
/// ```
pub fn header_hash(caller_headers: &HeaderMap) -> HeaderHash {
    let is_stable = |name: &str| {
        !HOP_BY_HOP.contains(&name) && !INTERNAL.contains(&name) && !PER_ATTEMPT.contains(&name)
    };
    let stable = caller_headers.iter().filter(|(name, _)| is_stable(name.as_str()));
    let mut parts: Vec<[&[u8]; 2]> =
        stable.map(|(name, value)| [name.as_str().as_bytes(), value.as_bytes()]).collect();
    parts.sort_unstable();
    let hash = hash::stable(&parts.concat());
    (hash as HeaderHash).clamp(1, HeaderHash::MAX - 1)
}

/// Id of the last event that the caller received, if it resumes a stream.
pub fn last_event_id(caller_headers: &HeaderMap) -> Option<String> {
    let id = caller_headers.get(&LAST_EVENT_ID)?.to_str().ok()?;
    Some(id.trim().to_owned())
}

/// Id of the caller's attempt that brought the first event of the stream that the caller
/// resumes.
///
/// ```
/// use goldcrestpitch::platform::resumed_attempt;
/// let mut headers = hyper::HeaderMap::new();
/// assert_eq!(resumed_attempt(&headers), None);
/// headers.insert("resumes", "q1".parse().unwrap());
/// assert_eq!(resumed_attempt(&headers), Some(b"q1".to_vec()));
/// ```
pub fn resumed_attempt(caller_headers: &HeaderMap) -> Option<Vec<u8>> {
    Some(caller_headers.get(&RESUMED_ATTEMPT)?.as_bytes().to_vec()).filter(|id| !id.is_empty())
}

fn prompt_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some(PromptSegment { id, tokens: tokens.parse().ok()? })
}

/// Values for the headers that are added to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardParams<'a> {
    /// Id of the endpoint that is to run the request.
    pub endpoint: &'a str,
    /// Time that remains for the request.
    pub deadline: Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// Returns the headers of a forwarded request.
pub fn forwarded_headers(caller_headers: &HeaderMap, params: ForwardParams<'_>) -> HeaderMap {
    let options = connection_options(caller_headers);
    let mut headers = HeaderMap::with_capacity(caller_headers.len() + 4);
    for (name, value) in caller_headers {
        let text = name.as_str();
        let is_hop_by_hop = HOP_BY_HOP.contains(&text)
            || (options.iter().any(|o| o == text) && !ALWAYS_FORWARDED.contains(&text));
        if !is_hop_by_hop && !INTERNAL.contains(&text) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert(DEADLINE, HeaderValue::from(params.deadline.as_millis() as u64));
    headers.insert(PRIORITY, HeaderValue::from(u16::from(params.priority.min(LOWEST_PRIORITY))));
    if let Ok(id) = HeaderValue::from_str(params.endpoint) {
        headers.insert(EXPECTED_ENDPOINT, id);
    }
    if let Some(Ok(id)) = params.last_event_id.map(HeaderValue::from_str) {
        headers.insert(LAST_EVENT_ID, id);
    }
    headers
}

/// Returns the headers of an endpoint's response that are passed on to the caller.
pub fn response_headers(endpoint_headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(endpoint_headers);
    let is_forwarded = |name: &str| {
        !HOP_BY_HOP.contains(&name)
            && (name == REQUEST_ID.as_str()
                || name == SIGNATURE.as_str()
                || options.iter().all(|o| o != name))
    };
    let forwarded = endpoint_headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Lower-case names in the `connection` headers.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|t| t.trim().to_ascii_lowercase()).collect()
}

/// Reason why a response proves that the request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// Another endpoint answered, or this endpoint does not have the model.
    Elsewhere,
    /// The endpoint is at capacity or draining.
    Refused,
}

/// Content of the head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The request id in the response.
    pub id: ResponseId,
    /// Set if the request was certainly not executed.
    pub not_run: Option<NotRunReason>,
    /// Whether the response can be used: a success must have a signature and no content
    /// encoding.
    pub is_valid: bool,
    /// How long the endpoint keeps the connection open while idle, if announced.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the body has neither a length nor chunks, so that the end of the connection
    /// is its end. The connection also ends when the endpoint crashes.
    pub ends_with_connection: bool,
    /// The rate of requests that the endpoint takes.
    pub limit: NamedLimit,
    /// The time for which the endpoint wants no requests of this process.
    pub rest: RequestedRest,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
}

/// What a response says of the time for which its endpoint wants no requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestedRest {
    /// It asks for none.
    None,
    /// This long.
    For(Duration),
    /// A value that is no number of seconds. It asks for nothing.
    Invalid,
}

impl ResponseHead {
    /// Whether the connection can be used again once the response has been read. Responses of an
    /// endpoint that names no ids could not be told apart there.
    pub fn allows_reuse(&self) -> bool {
        !self.closes_connection && !self.ends_with_connection && self.id == ResponseId::Own
    }
}

/// Parses the head of an endpoint's response to the request with this id.
///
/// ```
/// use goldcrestpitch::platform::parse_response_head;
/// use hyper::{HeaderMap, StatusCode};
/// let mut headers = HeaderMap::new();
/// assert!(parse_response_head(StatusCode::OK, &headers, b"q1").ends_with_connection);
/// assert!(!parse_response_head(StatusCode::NO_CONTENT, &headers, b"q1").ends_with_connection);
/// headers.insert("transfer-encoding", "gzip, Chunked".parse().unwrap());
/// assert!(!parse_response_head(StatusCode::OK, &headers, b"q1").ends_with_connection);
/// headers.insert("transfer-encoding", "gzip".parse().unwrap());
/// assert!(parse_response_head(StatusCode::OK, &headers, b"q1").ends_with_connection);
/// ```
pub fn parse_response_head(status: StatusCode, headers: &HeaderMap, id: &[u8]) -> ResponseHead {
    let not_run = match status {
        StatusCode::MISDIRECTED_REQUEST => Some(NotRunReason::Elsewhere),
        _ if headers.contains_key(&NOT_EXECUTED) => Some(NotRunReason::Refused),
        _ => None,
    };
    let keep_alive = headers.get(&KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let idle_seconds = keep_alive.and_then(|t| {
        let params = t.split(',').filter_map(|p| p.trim().split_once('='));
        params.filter(|(name, _)| *name == "timeout").find_map(|(_, s)| s.trim().parse().ok())
    });
    let is_signed = headers.contains_key(&SIGNATURE);
    ResponseHead {
        id: ResponseId::new(headers.get(&REQUEST_ID).map(HeaderValue::as_bytes), id),
        not_run,
        is_valid: !status.is_success()
            || (is_signed && !headers.contains_key(header::CONTENT_ENCODING)),
        keep_alive: idle_seconds.map(|s: u64| Duration::from_secs(s.min(MAX_KEEP_ALIVE_S))),
        closes_connection: connection_options(headers).iter().any(|o| o == "close"),
        ends_with_connection: has_body(status) && !is_framed(headers),
        limit: named_limit(headers),
        rest: requested_rest(status, headers),
        is_leaving: headers.get(&LEAVING).is_some_and(|v| v.as_bytes().trim_ascii() == b"1"),
    }
}

/// The rest that a refusal asks for, in seconds. Of several values the longest holds; 0 is none,
/// and no rest is longer than an hour.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::platform::{RequestedRest, requested_rest};
/// use hyper::{HeaderMap, StatusCode};
/// let mut headers = HeaderMap::new();
/// let busy = StatusCode::SERVICE_UNAVAILABLE;
/// headers.insert("retry-after", "2.5".parse().unwrap());
/// let rest = RequestedRest::For(Duration::from_millis(2500));
/// assert_eq!(requested_rest(busy, &headers), rest);
/// assert_eq!(requested_rest(StatusCode::OK, &headers), RequestedRest::None);
/// headers.insert("retry-after", "soon".parse().unwrap());
/// assert_eq!(requested_rest(busy, &headers), RequestedRest::Invalid);
/// ```
pub fn requested_rest(status: StatusCode, headers: &HeaderMap) -> RequestedRest {
    let refuses = matches!(status.as_u16(), 429 | 503);
    if !refuses || !headers.contains_key(header::RETRY_AFTER) {
        return RequestedRest::None;
    }
    let values = headers.get_all(header::RETRY_AFTER).into_iter().filter_map(|v| v.to_str().ok());
    let seconds = values.filter_map(|t| t.trim().parse::<f64>().ok());
    match seconds.filter(|s| s.is_finite() && 0.0 <= *s).max_by(f64::total_cmp) {
        None => RequestedRest::Invalid,
        Some(0.0) => RequestedRest::None,
        Some(seconds) => RequestedRest::For(Duration::from_secs_f64(seconds.min(MAX_REST_S))),
    }
}

/// The rate that a response names. Of several, also in a list, the lowest holds.
///
/// ```
/// use goldcrestpitch::{core::limits::NamedLimit, platform::named_limit};
/// let mut headers = hyper::HeaderMap::new();
/// assert_eq!(named_limit(&headers), NamedLimit::None);
/// headers.insert("server-limit", "2.5, 1.5".parse().unwrap());
/// assert_eq!(named_limit(&headers), NamedLimit::Rate(1.5));
/// headers.insert("server-limit", "-1".parse().unwrap());
/// assert_eq!(named_limit(&headers), NamedLimit::Invalid);
/// ```
pub fn named_limit(headers: &HeaderMap) -> NamedLimit {
    if !headers.contains_key(&RATE_LIMIT) {
        return NamedLimit::None;
    }
    let values = headers.get_all(&RATE_LIMIT).into_iter().filter_map(|v| v.to_str().ok());
    let rates = values.flat_map(|v| v.split(',')).filter_map(|t| t.trim().parse::<f64>().ok());
    let rates = rates.filter(|rate| rate.is_finite() && 0.0 <= *rate);
    rates.min_by(f64::total_cmp).map_or(NamedLimit::Invalid, NamedLimit::Rate)
}

/// Whether a response with this status may have a body.
fn has_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Whether the head tells where the body ends, by a length or by chunks.
fn is_framed(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).into_iter().next_back();
    let codings = codings.and_then(|v| v.to_str().ok());
    let last_coding = codings.and_then(|c| c.rsplit(',').next());
    let is_chunked = last_coding.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || headers.contains_key(header::CONTENT_LENGTH)
}
