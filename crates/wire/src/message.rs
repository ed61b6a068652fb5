use super::*;

/// Returns the value of a header if it is present and is visible ASCII text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Deserializes a body from JSON.
pub(crate) fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Json {
        message: error.to_string(),
    })
}
