use super::*;

/// Answer that a test asks for, with the text that it must have.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// Prompt.
    pub prompt: String,
    /// Seed of the sampling.
    pub seed: u64,
    /// Length.
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
    /// Body of the request.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({"model": MODEL, "prompt": self.prompt, "max_tokens": self.token_count,
            "seed": self.seed, "stream": true})
    }

    /// Checks the text that a caller received.
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
            "the answer to `{}` is `{text}` and not `{expected}`",
            self.prompt
        )
    }

    /// Starts to read the answer as `caller`, to its end.
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
