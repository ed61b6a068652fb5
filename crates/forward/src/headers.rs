use super::*;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers of the other side of the router that are passed on: all but those that concern one
/// connection only, and the length, which is set for the body that is sent.
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

/// Whether a target closes the connection after its answer.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|part| part.trim().eq_ignore_ascii_case("close"))
    })
}

/// Time after which a target closes an idle connection, if it says so.
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
