use super::*;

/// What is known of earlier submissions under the key of a refused call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EarlierSubmissions {
    /// The record of the key was not read, so one of them may have run.
    Unknown,
}

/// Refusal of a request, as the caller sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// What is known of earlier submissions of the call; absent when its record was read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_submissions: Option<EarlierSubmissions>,
    /// Stable name of the kind of fault, in snake case.
    pub kind: String,
    /// What is wrong and what to do.
    pub message: String,
    /// Time after which the request may be sent again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
}

/// JSON body that carries a fault.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultBody {
    /// The fault.
    pub error: Fault,
}

impl Fault {
    /// Creates a fault.
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

    /// Adds that earlier submissions of the call may have run.
    #[must_use]
    pub fn with_unknown_earlier_submissions(mut self) -> Self {
        self.earlier_submissions = Some(EarlierSubmissions::Unknown);
        self
    }

    /// Adds the time after which the request may be sent again.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Writes the fault as the last answer on a connection that hyper does not serve.
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

    /// Turns the fault into a response with a JSON body and, if known, `Retry-After`.
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
