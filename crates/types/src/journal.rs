use super::*;

/// Everything that another instance needs to go on with a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Journal {
    /// Account that may take the answer.
    pub account: AccountId,
    /// Newest attempt that was started.
    pub attempt: Attempt,
    /// Why the answer is complete, if it is.
    pub finish: Option<FinishReason>,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Request.
    pub request: RequestId,
    /// Seed of the engine's sampling.
    pub seed: u64,
    /// Tokens in order. Holds at least those that were delivered to the caller.
    pub tokens: Vec<Arc<str>>,
}

/// Id of a server-sent event, from which a caller resumes its stream at any instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// Instance that holds the copy of the journal, if any.
    pub backup: Option<InstanceId>,
    /// Tokens that the caller has; 0 before the first.
    pub index: TokenIndex,
    /// Instance that served the stream.
    pub owner: InstanceId,
    /// Request.
    pub request: RequestId,
}

impl Display for ResumePoint {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        let backup = self.backup.as_deref().unwrap_or("-");
        write!(
            formatter,
            "{}.{}.{backup}.{}",
            self.request, self.owner, self.index
        )
    }
}

impl FromStr for ResumePoint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fault = || Error::EventId { text: text.into() };
        let parts: Vec<&str> = text.split('.').collect();
        let [request, owner, backup, index] = parts[..] else {
            return Err(fault());
        };
        if request.is_empty() || owner.is_empty() || backup.is_empty() {
            return Err(fault());
        }
        Ok(Self {
            backup: (backup != "-").then(|| backup.into()),
            index: index.parse().map_err(|_| fault())?,
            owner: owner.into(),
            request: request.into(),
        })
    }
}
