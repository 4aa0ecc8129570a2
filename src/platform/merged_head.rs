//! Response heads that consist of two.

use hyper::{Response, ext::ReasonPhrase};

use crate::platform::headers::REQUEST_ID;

/// Whether the head of a response is that of two: one that broke off in the head, and the next
/// one on the connection. Its status and its headers then belong to different requests.
///
/// ```
/// use goldcrestpitch::platform::is_merged_head;
/// use hyper::Response;
/// let whole = Response::builder().header("via", "HTTP/1.1 proxy").body(()).unwrap();
/// assert!(!is_merged_head(&whole));
/// let merged = Response::builder().status(503).header("retry-after", "1HTTP/1.1 200 OK");
/// assert!(is_merged_head(&merged.body(()).unwrap()));
/// ```
pub fn is_merged_head<T>(response: &Response<T>) -> bool {
    let headers = response.headers();
    let mut ids = headers.get_all(&REQUEST_ID).into_iter();
    let first = ids.next();
    let reason = response.extensions().get::<ReasonPhrase>();
    ids.any(|id| Some(id) != first)
        || reason.is_some_and(|r| holds_status_line(r.as_bytes()))
        || headers.values().any(|v| holds_status_line(v.as_bytes()))
}

/// Whether the text contains the begin of a status line, such as `HTTP/1.1 200`.
fn holds_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    text.windows(VERSION.len() + 5).any(|window| {
        let (version, rest) = window.split_at(VERSION.len());
        version == VERSION
            && rest[0].is_ascii_digit()
            && rest[1] == b' '
            && rest[2..].iter().all(u8::is_ascii_digit)
    })
}
