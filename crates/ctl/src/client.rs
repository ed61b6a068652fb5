use super::*;

/// Delay after the first round in which all addresses failed; it doubles with each round up to
/// `MAX_RETRY_DELAY`.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two rounds over the addresses.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time to wait for a reply of one address before the next one is tried. An instance with default
/// settings replies after 10 s that the result of an edit is not known; the timeout is longer, so
/// that this reply still arrives.
const REPLY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time between two status requests while waiting for a version to be in force.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An edit of one entry of a list.
#[derive(Clone, Debug)]
pub struct Edit {
    /// New value of the entry; none removes the entry.
    pub entry: Option<Value>,
    /// Version that must be current for the edit to be made; none makes it on any version.
    pub if_match: Option<ConfigVersion>,
    /// Id that all attempts of this edit share, so that it is made at most once.
    pub operation_id: String,
    /// Path of the entry in the administration interface.
    pub path: String,
}

/// Client of the administration interface, which several entry instances serve.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of entry instances, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Operator key that authorizes each request.
    pub key: String,
    /// Time after which no further round over the addresses starts. A round in progress is
    /// completed, so that even with a limit of 0 each address is tried once.
    pub time_limit: Duration,
}

/// Result of sending a request to one address.
enum AttemptResult {
    /// The reply decides the request, whether it succeeded or not.
    Final(Reply),
    /// The request had no effect; it may succeed at another address or later.
    NotApplied(String),
    /// The request may have taken effect.
    Uncertain(String),
}

impl Client {
    /// Sends a GET request for `path` and returns the body of the reply.
    ///
    /// # Errors
    ///
    /// Returns `Error::Unavailable` if no address gave a final reply in time, `Error::Refused` or
    /// `Error::Conflict` if an instance refused the request, and `Error::Reply` if the body is not
    /// JSON.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let call = self.authorized(Call::get(path));
        match self.send(&call).await {
            Err((message, _)) => Err(Error::Unavailable { message }),
            Ok(reply) => success_body(&reply),
        }
    }

    /// Sends an edit until its result is known or the time limit has passed, and returns the
    /// version that the edit created.
    ///
    /// # Errors
    ///
    /// Returns `Error::Conflict` if another edit was accepted first, `Error::Refused` if the
    /// instance refused the edit, `Error::Unavailable` if the edit was certainly not made, and
    /// `Error::OutcomeUnknown` if it may have been made.
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

    /// Reads the status from the first instance that replies.
    ///
    /// # Errors
    ///
    /// Returns the errors of `get`, and `Error::Reply` if the body is not a status.
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
    /// Returns `Error::NotInForce` if that is not the case within `time_limit`, and the errors of
    /// `status`.
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

    /// Tries the addresses in turn until one gives a final reply. The error holds the last message
    /// and whether the request may have taken effect at an instance.
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
        let message = format!("{address} does not know yet whether the edit took effect");
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

/// Current version as given in the body of a conflict reply or in its `ETag` header.
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
