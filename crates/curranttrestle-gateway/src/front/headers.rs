//! Hop-by-hop headers.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that apply to one hop, in addition to those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes hop-by-hop headers.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-hop"));
/// headers.insert("x-hop", HeaderValue::from_static("1"));
/// headers.insert("x-end", HeaderValue::from_static("2"));
/// curranttrestle_gateway::front::headers::remove_hop_by_hop(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The length of all headers as they are sent.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// headers.insert("x-a", HeaderValue::from_static("12"));
/// assert_eq!(curranttrestle_gateway::front::headers::head_bytes(&headers), "x-a: 12\r\n".len());
/// ```
#[must_use]
pub fn head_bytes(headers: &HeaderMap) -> usize {
    let separators = ": \r\n".len();
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + separators)
        .sum()
}
