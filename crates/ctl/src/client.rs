use super::*;

/// First pause after all addresses failed; it doubles up to `LONGEST_PAUSE`.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest pause between rounds over the addresses.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for one address; the next one is tried after that. Longer than the 10 s after
/// which an instance with default settings replies that the result of an edit is not known.
const REPLY_TIMEOUT: Duration = Duration::from_secs(12);

/// Pause between two looks at the status while waiting.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One edit of a list.
#[derive(Clone, Debug)]
pub struct Edit {
    /// New entry; none removes it.
    pub entry: Option<Value>,
    /// Version that must be current.
    pub if_match: Option<ConfigVersion>,
    /// Operation id.
    pub operation_id: String,
    /// Path of the entry.
    pub path: String,
}

/// Client of the administration interface at several entry addresses.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Operator key.
    pub key: String,
    /// Time after which no further round over the addresses starts. A round in progress is
    /// completed, so that even a limit of 0 gives each address the time to reply once.
    pub time_limit: Duration,
}

/// What became of one request at one address.
enum AttemptResult {
    Final(Reply),
    /// Nothing was done; another address or a later time may do better.
    NotApplied(String),
    /// It may have been done.
    Uncertain(String),
}

impl Client {
    /// Reads a path of the interface.
    ///
    /// # Errors
    ///
    /// Returns `Error::Unavailable` when no address replied in time, and the errors of refusals.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let call = self.authorized(Call::get(path));
        match self.send(&call).await {
            Err((message, _)) => Err(Error::Unavailable { message }),
            Ok(reply) => success_body(&reply),
        }
    }

    /// Sends an edit until its result is known or the time is over, and returns its version.
    ///
    /// # Errors
    ///
    /// Returns `Error::Conflict` when another edit came first, `Error::Unavailable` when the edit
    /// was certainly not made, and `Error::Unknown` when that is not certain.
    pub async fn edit(&self, edit: &Edit) -> Result<ConfigVersion, Error> {
        let call = match &edit.entry {
            None => Call {
                method: Method::DELETE,
                ..Call::get(&edit.path)
            },
            Some(entry) => Call::with_json(Method::PUT, &edit.path, entry)?,
        };
        let mut call = self
            .authorized(call)
            .header("operation-id", &edit.operation_id);
        if let Some(version) = edit.if_match {
            call = call.header("if-match", version.to_string());
        }
        match self.send(&call).await {
            Err((message, false)) => Err(Error::Unavailable { message }),
            Err((message, true)) => Err(Error::OutcomeUnknown {
                if_match: match edit.if_match {
                    None => String::new(),
                    Some(version) => format!(" --if-match {version}"),
                },
                message,
                operation_id: edit.operation_id.clone(),
            }),
            Ok(reply) => reply_version(&success_body(&reply)?),
        }
    }

    /// Reads the status of one instance.
    ///
    /// # Errors
    ///
    /// Returns the errors of `get`.
    pub async fn status(&self) -> Result<Status, Error> {
        let reply = self.get("/admin/status").await?;
        serde_json::from_value(reply).map_err(|error| Error::Reply {
            message: error.to_string(),
        })
    }

    /// Waits until a version is in force on every instance.
    ///
    /// # Errors
    ///
    /// Returns `Error::Wait` when `limit` is over, and the errors of `get`.
    pub async fn wait_until_in_force(
        &self,
        version: ConfigVersion,
        time_limit: Duration,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + time_limit;
        loop {
            let status = self.status().await?;
            let (in_force, total) = (status.in_force_count(version), status.instance_count);
            if total.is_some() && in_force == total {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::NotInForce {
                    in_force: in_force_text(in_force, total),
                    time_limit,
                    version,
                });
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    fn authorized(&self, call: Call) -> Call {
        let call = Call {
            reply_timeout: REPLY_TIMEOUT,
            ..call
        };
        call.header("authorization", format!("Bearer {}", self.key))
    }

    /// Tries the addresses in turn until one gives a final reply. The error says whether an
    /// instance may have carried the request out.
    async fn send(&self, request: &Call) -> Result<Reply, (String, bool)> {
        let deadline = Instant::now() + self.time_limit;
        let mut retry_delay = INITIAL_RETRY_DELAY;
        let mut may_be_applied = false;
        let mut last_message = "no entry address is given".to_owned();
        loop {
            for address in &self.entries {
                match try_address(*address, request).await {
                    AttemptResult::Final(reply) => return Ok(reply),
                    AttemptResult::NotApplied(message) => last_message = message,
                    AttemptResult::Uncertain(message) => {
                        last_message = message;
                        may_be_applied = true;
                    }
                }
            }
            if self.entries.is_empty() || Instant::now() + retry_delay >= deadline {
                return Err((last_message, may_be_applied));
            }
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

async fn try_address(address: SocketAddr, request: &Call) -> AttemptResult {
    let reply = match call(address, request).await {
        Err(error) if error.is_not_sent() => return AttemptResult::NotApplied(error.to_string()),
        Err(error) => return AttemptResult::Uncertain(error.to_string()),
        Ok(reply) => reply,
    };
    if reply.status == StatusCode::ACCEPTED {
        let message = format!("{address} does not know yet whether the edit takes effect");
        return AttemptResult::Uncertain(message);
    }
    if !reply.status.is_server_error() {
        return AttemptResult::Final(reply);
    }
    let error = error_answer(&reply);
    let message = format!("{address}: {}", error.message);
    if reply.status == StatusCode::SERVICE_UNAVAILABLE {
        return AttemptResult::NotApplied(message);
    }
    AttemptResult::Uncertain(message)
}

fn success_body(reply: &Reply) -> Result<Value, Error> {
    if reply.status.is_success() {
        return Ok(reply.json()?);
    }
    let error = error_answer(reply);
    match reply.status.as_u16() {
        409 | 412 => Err(Error::Conflict {
            current_version: current_version(reply),
            message: error.message,
        }),
        status => Err(Error::Refused {
            message: error.message,
            status,
        }),
    }
}

/// Version that a conflict names, in its body or as `ETag`.
fn current_version(reply: &Reply) -> String {
    let body: Value = reply.json().unwrap_or_default();
    if let Some(version) = body["current_version"].as_u64() {
        return version.to_string();
    }
    let tag = reply.header("etag").unwrap_or("not known");
    tag.trim_matches('"').into()
}

fn error_answer(reply: &Reply) -> Fault {
    match reply.json::<FaultBody>() {
        Err(_) => Fault::new(reply.status, "", format!("status {}", reply.status)),
        Ok(body) => body.error,
    }
}

pub(crate) fn reply_version(reply: &Value) -> Result<ConfigVersion, Error> {
    reply["version"].as_u64().ok_or_else(|| Error::Reply {
        message: format!("no `version` in {reply}"),
    })
}
