use super::*;

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// Body.
    pub body: Bytes,
    /// Headers.
    pub headers: HeaderMap,
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Other side of the connection.
    pub peer: SocketAddr,
    /// Query, without the `?`; empty if there is none.
    pub query: String,
}

impl Request {
    /// Value of a header, if it is present and is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        message::header(&self.headers, name)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns `Error::Json` when the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        read_json(&self.body)
    }

    /// Value of a query parameter, as it stands in the query.
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

    /// Parts of the path between slashes.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}
