use super::*;

/// What is known about earlier submissions with the idempotency key of a refused call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EarlierSubmissions {
    /// The record of the key was not read, so an earlier submission may have run.
    Unknown,
}

/// Error answer to a request, as the caller receives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// What is known about earlier submissions of the call; none when its record was read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_submissions: Option<EarlierSubmissions>,
    /// Stable name of the kind of error, in snake case, for programs to match.
    pub kind: String,
    /// Explanation for people: what is wrong and how to correct it.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds; none if no time is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// HTTP status code of the answer; not part of the body.
    #[serde(skip)]
    pub status: u16,
}

/// JSON body of an error answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultBody {
    /// Description of the error.
    pub error: Fault,
}

impl Fault {
    /// Creates an error answer without a retry time.
    #[must_use]
    pub fn new(status: StatusCode, kind: &str, message: impl Into<String>) -> Self {
        Self {
            earlier_submissions: None,
            kind: kind.into(),
            message: message.into(),
            retry_after_ms: None,
            status: status.as_u16(),
        }
    }

    /// Marks that earlier submissions of the call may have run.
    #[must_use]
    pub fn with_unknown_earlier_submissions(mut self) -> Self {
        self.earlier_submissions = Some(EarlierSubmissions::Unknown);
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Encodes the complete HTTP response, for connections that hyper does not serve. The response
    /// announces that the connection closes.
    pub(crate) fn into_raw_response(self) -> Vec<u8> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let after = match self.retry_after_ms {
            None => String::new(),
            Some(after_ms) => format!("retry-after: {}\r\n", after_ms.div_ceil(1_000)),
        };
        let body = serde_json::to_string(&FaultBody { error: self }).unwrap_or_default();
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
             {after}connection: close\r\n\r\n{body}"
        )
        .into_bytes()
    }

    /// Converts the error into a response with a JSON body and, if a retry time is set,
    /// `Retry-After` in whole seconds, rounded up.
    #[must_use]
    pub fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let retry_after_ms = self.retry_after_ms;
        let mut response = json(status, &FaultBody { error: self });
        if let Some(after_ms) = retry_after_ms {
            let after_s = after_ms.div_ceil(1_000);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(after_s));
        }
        response
    }
}
