use super::*;

/// Request for an answer whose text is known in advance.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// Prompt of the request.
    pub prompt: String,
    /// Sampling seed of the request.
    pub seed: u64,
    /// Length of the answer in tokens.
    pub token_count: u32,
}

impl Default for ExpectedAnswer {
    fn default() -> Self {
        Self {
            prompt: "Describe the lagoon.".into(),
            seed: 7,
            token_count: 100,
        }
    }
}

impl ExpectedAnswer {
    /// JSON body of the streamed completion request.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({"model": MODEL, "prompt": self.prompt, "max_tokens": self.token_count,
            "seed": self.seed, "stream": true})
    }

    /// Checks that a caller received the expected text.
    ///
    /// # Errors
    ///
    /// Returns an error with both texts when they differ.
    pub fn check(&self, stream: &StreamState) -> Result<()> {
        let expected = standin::answer_text(&self.prompt, self.seed, self.token_count);
        if stream.text == expected {
            return Ok(());
        }
        let text = &stream.text;
        bail!(
            "the answer to `{}` is `{text}` instead of `{expected}`",
            self.prompt
        )
    }

    /// Spawns a task in which `caller` reads the answer to its end and checks its text.
    #[must_use]
    pub fn spawn(&self, caller: Caller) -> JoinHandle<Result<StreamState>> {
        let answer = self.clone();
        tokio::spawn(async move {
            let stream = caller.generate(&answer.body()).await?;
            answer.check(&stream)?;
            Ok(stream)
        })
    }
}
