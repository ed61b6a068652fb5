use super::*;

/// Default time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request that a client sends, with its time and size limits.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request body; empty by default.
    pub body: Bytes,
    /// Names and values of headers. `Host` and `Content-Length` are added when the request is sent.
    pub headers: Vec<(String, String)>,
    /// Time limit for opening the connection.
    pub connect_timeout: Duration,
    /// Time limit for the complete reply; for its head if the body is read as a stream.
    pub reply_timeout: Duration,
    /// Maximum body size of a reply that is read as a whole, in bytes.
    pub max_reply_bytes: usize,
    /// HTTP method; `GET` by default.
    pub method: Method,
    /// Path and query, as they appear in the request line.
    pub path: String,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            body: Bytes::new(),
            connect_timeout: CONNECT_TIMEOUT,
            headers: Vec::new(),
            reply_timeout: Duration::from_secs(15),
            max_reply_bytes: 16 * 1024 * 1024,
            method: Method::GET,
            path: "/".into(),
        }
    }
}

impl Call {
    /// Creates a `GET` request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }

    /// Adds a header and returns the request.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Creates a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns `Error::Json` when the value cannot be written as JSON.
    pub fn post<T: Serialize>(path: impl Into<String>, value: &T) -> Result<Self, Error> {
        Self::with_json(Method::POST, path, value)
    }

    /// Creates a request with a JSON body and the given method.
    ///
    /// # Errors
    ///
    /// Returns `Error::Json` when the value cannot be written as JSON.
    pub fn with_json<T: Serialize>(
        method: Method,
        path: impl Into<String>,
        value: &T,
    ) -> Result<Self, Error> {
        let body = serde_json::to_vec(value).map_err(|error| Error::Json {
            message: error.to_string(),
        })?;
        let call = Self {
            body: body.into(),
            method,
            path: path.into(),
            ..Self::default()
        };
        Ok(call.header("content-type", "application/json"))
    }

    /// Builds the hyper request. Fails with `Error::Request` on an invalid path or header.
    pub(crate) fn request(
        &self,
        address: SocketAddr,
    ) -> Result<hyper::Request<Full<Bytes>>, Error> {
        let invalid = |message: String| Error::Request { message };
        let mut builder = hyper::Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(HOST, address.to_string())
            .header(CONTENT_LENGTH, self.body.len());
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name).map_err(|error| invalid(error.to_string()))?;
            let value = HeaderValue::try_from(value).map_err(|error| invalid(error.to_string()))?;
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|error| invalid(error.to_string()))
    }
}

/// A reply whose body has been read as a whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Complete body.
    pub body: Bytes,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// HTTP status.
    pub status: StatusCode,
}

impl Reply {
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
}

/// Sends one request over a new connection and reads the complete reply.
///
/// # Errors
///
/// `Error::is_not_sent` is true for the returned error only if the server cannot have received any
/// part of the request.
pub async fn call(address: SocketAddr, call: &Call) -> Result<Reply, Error> {
    let mut connection = Connection::open(address, call.connect_timeout).await?;
    connection.call(call).await
}
