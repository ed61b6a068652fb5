use super::*;

/// A request that the server received, with its complete body.
#[derive(Debug)]
pub struct Request {
    /// When its first byte arrived, by `clock::now`. Bytes that waited while the server did not run count from the
    /// time before.
    pub arrived_at: Duration,
    /// Complete body; empty if there is none.
    pub body: Bytes,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// What happens when the caller closes its sending direction.
    pub on_close: CloseHandling,
    /// HTTP method.
    pub method: Method,
    /// Path without the query, not percent-decoded.
    pub path: String,
    /// Address of the other end of the connection.
    pub peer: SocketAddr,
    /// Query without the `?`, not percent-decoded; empty if there is none.
    pub query: String,
}

impl Request {
    /// Returns the time since the first byte arrived.
    #[must_use]
    pub fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived_at)
    }

    /// Returns the value of a header if it is present and is visible ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        message::header(&self.headers, name)
    }

    /// Deserializes the body from JSON.
    ///
    /// # Errors
    ///
    /// Returns `Error::Json` when the body is not JSON that fits the type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        read_json(&self.body)
    }

    /// Returns the first value of a query parameter, not percent-decoded.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            if key == name {
                return Some(value);
            }
        }
        None
    }

    /// Returns the path segments that are not empty.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}
