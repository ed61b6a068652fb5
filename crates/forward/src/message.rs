use super::*;

/// Builds the request that is sent to a target.
///
/// # Errors
///
/// Returns an error when the path of the caller's request is not a valid URI.
pub(crate) fn build(
    router: &Router,
    admitted: &Admitted,
    request: &Request,
    path: &Path,
    last_event: Option<&str>,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let mut uri = request.path.clone();
    if !request.query.is_empty() {
        uri.push('?');
        uri.push_str(&request.query);
    }
    let mut headers = headers::end_to_end(&request.headers);
    let dispatch = Dispatch {
        account: admitted.account.as_ref().map(|account| &*account.name),
        time_left: admitted
            .time_left()
            .saturating_sub(router.settings.deadline_margin),
        last_event,
        path,
        rank: admitted.rank(),
    };
    router.header_codec.write_dispatch(&mut headers, &dispatch);
    let has_body = !request.body.is_empty() || request.headers.contains_key(CONTENT_LENGTH);
    if has_body || request.headers.contains_key(TRANSFER_ENCODING) {
        headers.insert(CONTENT_LENGTH, request.body.len().into());
    }
    let mut message = hyper::Request::builder()
        .method(request.method.clone())
        .uri(uri)
        .body(Full::new(request.body.clone()))?;
    *message.headers_mut() = headers;
    Ok(message)
}
