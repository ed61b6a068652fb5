use super::*;

/// Hop-by-hop headers, which apply to a single connection.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers to forward: all but the hop-by-hop ones, and `content-length`, which is set again for the
/// forwarded body.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::try_from(name.trim()) {
                passed.remove(name);
            }
        }
    }
    for name in &CONNECTION_HEADERS {
        passed.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        passed.remove(name);
    }
    passed.remove(CONTENT_LENGTH);
    passed
}

/// Whether a value contains the start of an HTTP response. The head was cut there, and the headers behind it are
/// those of another answer.
pub(crate) fn has_merged_head(headers: &HeaderMap) -> bool {
    headers
        .values()
        .any(|value| has_status_line(value.as_bytes()))
}

/// Whether an answer has a length or chunks; otherwise it ends with its connection. A transfer coding takes
/// precedence over a length, and marks an end only if the last one is chunked.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
        return headers.contains_key(CONTENT_LENGTH);
    };
    let text = codings.to_str().unwrap_or_default();
    let last = text.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Whether a body may consist of server-sent events. An answer without a type may.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let text = value.to_str().unwrap_or_default();
    let media_type = text.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Whether the headers announce that the connection is closed after the answer.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|part| part.trim().eq_ignore_ascii_case("close"))
    })
}

/// Time after which a target closes an idle connection; none if it does not state one.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    for part in text.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        return Some(Duration::from_secs(seconds.parse().ok()?));
    }
    None
}
