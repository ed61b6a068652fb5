use super::*;

/// State that another instance needs to resume a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Journal {
    /// Account that is allowed to read the answer.
    pub account: AccountId,
    /// Newest attempt that was started.
    pub attempt: Attempt,
    /// Why the answer is complete; none while it is not.
    pub finish: Option<FinishReason>,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Model that generates the answer.
    pub model: ModelId,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Id of the request.
    pub request: RequestId,
    /// Sampling seed of the engine.
    pub seed: u64,
    /// Tokens in order, including at least all that were delivered to the caller.
    pub tokens: Vec<Arc<str>>,
}

/// Id of a server-sent event, with which a caller can resume its stream at any instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// Instance that holds a copy of the journal; none if there is no copy.
    pub backup: Option<InstanceId>,
    /// Number of tokens that the caller has; 0 before the first.
    pub index: TokenIndex,
    /// Instance that served the stream.
    pub owner: InstanceId,
    /// Id of the request.
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
