//! Headers that name or prove the client account of a request.

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};

const ACCOUNT: HeaderName = HeaderName::from_static("x-tenant");
const SCHEME: &[u8] = b"bearer";

/// The key that a request carries. None if there is no key, another scheme, or more than one
/// `Authorization` header: two parties could take different ones of them.
///
/// ```
/// use goldcrestpitch::platform::api_key;
/// let mut headers = hyper::HeaderMap::new();
/// assert_eq!(api_key(&headers), None);
/// headers.insert("authorization", "bearer k1".parse().unwrap());
/// assert_eq!(api_key(&headers), Some(&b"k1"[..]));
/// headers.append("authorization", "Bearer k2".parse().unwrap());
/// assert_eq!(api_key(&headers), None);
/// ```
pub fn api_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).into_iter();
    let value = values.next().filter(|_| values.next().is_none())?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME) && key.starts_with(b" ");
    Some(key.trim_ascii()).filter(|key| is_bearer && !key.is_empty())
}

/// Removes the key and the account name that a caller has sent.
///
/// ```
/// use goldcrestpitch::platform::remove_account_headers;
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("authorization", "Bearer k1".parse().unwrap());
/// headers.append("x-tenant", "a".parse().unwrap());
/// headers.append("x-tenant", "b".parse().unwrap());
/// remove_account_headers(&mut headers);
/// assert!(headers.is_empty());
/// ```
pub fn remove_account_headers(headers: &mut HeaderMap) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(&ACCOUNT);
}

/// Sets the name of the account that an endpoint is told.
///
/// ```
/// use goldcrestpitch::platform::set_account;
/// let mut headers = hyper::HeaderMap::new();
/// set_account(&mut headers, "a");
/// assert_eq!(headers["x-tenant"], "a");
/// ```
pub fn set_account(headers: &mut HeaderMap, name: &str) {
    // Names that no header can carry are rejected with their configuration.
    if let Ok(value) = HeaderValue::from_bytes(name.as_bytes()) {
        headers.insert(ACCOUNT, value);
    }
}
