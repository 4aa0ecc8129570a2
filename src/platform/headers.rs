//! Headers of requests and answers.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{self, HeaderName, HeaderValue},
};

use crate::core::forwarding::{PromptSegment, Requirements};

/// Path of the question whether a process takes connections.
pub const READY_PATH: &str = "/-/ready";

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-token-counts");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("x-expect-instance");
const URGENCY: HeaderName = HeaderName::from_static("x-request-priority");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const LOWEST_URGENCY: u8 = 9;

/// Headers that only the system sets; a caller's are dropped.
const OWN: &[&str] = &[
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

/// Headers that concern one connection, and framing, which is made anew.
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

/// Headers that stay even if a caller lists them as belonging to its connection.
const ALWAYS_KEPT: &[&str] = &[
    "host",
    "x-request-id",
    "x-model",
    "x-token-counts",
    "x-prompt-prefix",
    "last-event-id",
    "x-length-hint",
    "content-type",
];

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The caller's id of the request; empty when there is none.
    pub id: Vec<u8>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// What the request needs of an endpoint.
    pub requirements: Requirements,
}

/// Reads the head of a caller's request.
///
/// ```
/// use goldcrestpitch::platform::parse_request_head;
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("x-model", "m/a3".parse().unwrap());
/// headers.insert("x-token-counts", "1460,80".parse().unwrap());
/// headers.insert("x-prompt-prefix", "5c:800,91:660".parse().unwrap());
/// let requirements = parse_request_head(&headers).requirements;
/// assert_eq!((requirements.model.as_deref(), requirements.adapter.as_deref()), (Some("m"), Some("a3")));
/// assert_eq!((requirements.prompt_tokens, requirements.output_tokens, requirements.prompt_segments.len()), (1460, 80, 2));
/// ```
pub fn parse_request_head(headers: &HeaderMap) -> RequestHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let counts = text(&TOKEN_COUNTS).and_then(|t| t.split_once(','));
    let number = |t: &str| t.trim().parse::<u32>().unwrap_or(0);
    let (prompt, output) = counts.map_or((0, 0), |(p, o)| (number(p), number(o)));
    let model = text(&MODEL).map(|m| m.split_once('/').map_or((m, None), |(m, a)| (m, Some(a))));
    let parts = text(&PROMPT_PREFIX).unwrap_or_default().split(',').filter_map(part);
    let deadline = text(&DEADLINE).and_then(|t| t.trim().parse::<f64>().ok());
    RequestHead {
        id: headers.get(&REQUEST_ID).map(|v| v.as_bytes().to_vec()).unwrap_or_default(),
        deadline: deadline.map(|ms| Duration::from_secs_f64((ms / 1e3).clamp(0.0, 86_400.0))),
        requirements: Requirements {
            model: model.map(|(m, _)| m.into()),
            adapter: model.and_then(|(_, a)| a).map(Into::into),
            prompt_tokens: prompt,
            output_tokens: output,
            prompt_segments: parts.collect(),
        },
    }
}

/// The last event of a stream that the caller has got, if it goes on with one.
pub fn last_event_id(caller: &HeaderMap) -> Option<String> {
    let last = caller.get(&LAST_EVENT)?.to_str().ok()?;
    Some(last.trim().to_owned())
}

fn part(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some(PromptSegment { id, tokens: tokens.parse().ok()? })
}

/// What the system adds to a request that it sends on.
#[derive(Clone, Copy, Debug)]
pub struct ForwardParams<'a> {
    /// Id of the endpoint that is to run it.
    pub endpoint: &'a str,
    /// What is left of its time.
    pub deadline: Duration,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Last event that the caller got, when a stream goes on.
    pub last_event_id: Option<&'a str>,
}

/// The headers of a request that is sent on.
pub fn forwarded_headers(caller: &HeaderMap, sent: ForwardParams<'_>) -> HeaderMap {
    let listed = listed(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 4);
    for (name, value) in caller {
        let text = name.as_str();
        let of_connection = HOP_BY_HOP.contains(&text)
            || (listed.iter().any(|l| l == text) && !ALWAYS_KEPT.contains(&text));
        if !of_connection && !OWN.contains(&text) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert(DEADLINE, HeaderValue::from(sent.deadline.as_millis() as u64));
    headers.insert(URGENCY, HeaderValue::from(u16::from(sent.priority.min(LOWEST_URGENCY))));
    if let Ok(id) = HeaderValue::from_str(sent.endpoint) {
        headers.insert(EXPECTED_ENDPOINT, id);
    }
    if let Some(Ok(last)) = sent.last_event_id.map(HeaderValue::from_str) {
        headers.insert(LAST_EVENT, last);
    }
    headers
}

/// The headers of an endpoint's answer as the caller gets them.
pub fn response_headers(endpoint: &HeaderMap) -> HeaderMap {
    let listed = listed(endpoint);
    let kept = |name: &str| {
        !HOP_BY_HOP.contains(&name)
            && (name == REQUEST_ID.as_str()
                || name == SIGNATURE.as_str()
                || listed.iter().all(|l| l != name))
    };
    let all = endpoint.iter().filter(|(name, _)| kept(name.as_str()));
    all.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn listed(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|t| t.trim().to_ascii_lowercase()).collect()
}

/// Why an answer shows that the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// Another endpoint answered, or this one lacks the model.
    Elsewhere,
    /// The endpoint is full or leaving.
    Refused,
}

/// What the head of an endpoint's answer means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether it answers the request with this id.
    pub matches_request: bool,
    /// Set when the request has certainly not run.
    pub not_run: Option<NotRunReason>,
    /// A success counts only with a signature and without an encoding.
    pub is_valid: bool,
    /// How long the endpoint keeps the idle connection, if it says so.
    pub keep_alive: Option<Duration>,
    /// The endpoint ends the connection after this answer.
    pub closes_connection: bool,
}

/// Reads the head of an endpoint's answer to the request with an id.
pub fn parse_response_head(status: StatusCode, headers: &HeaderMap, id: &[u8]) -> ResponseHead {
    let not_run = match status {
        StatusCode::MISDIRECTED_REQUEST => Some(NotRunReason::Elsewhere),
        _ if headers.contains_key(&NOT_EXECUTED) => Some(NotRunReason::Refused),
        _ => None,
    };
    let keep_alive = headers.get(&KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let seconds = keep_alive.and_then(|t| {
        let parts = t.split(',').filter_map(|p| p.trim().split_once('='));
        parts.filter(|(name, _)| *name == "timeout").find_map(|(_, s)| s.trim().parse().ok())
    });
    let signed = headers.contains_key(&SIGNATURE);
    ResponseHead {
        matches_request: headers.get(&REQUEST_ID).is_none_or(|v| v.as_bytes() == id),
        not_run,
        is_valid: !status.is_success()
            || (signed && !headers.contains_key(header::CONTENT_ENCODING)),
        keep_alive: seconds.map(Duration::from_secs),
        closes_connection: listed(headers).iter().any(|l| l == "close"),
    }
}
