use super::*;

/// Tokens of one attempt that may wait for earlier ones.
const WAITING_COUNT: usize = 256;

/// Puts the tokens of a stream in order and drops those of earlier attempts.
#[derive(Debug)]
pub(crate) struct Sequence {
    attempt: Attempt,
    layer_count: u32,
    next: TokenIndex,
    waiting: BTreeMap<TokenIndex, Arc<str>>,
}

impl Sequence {
    pub(crate) fn new(next: TokenIndex) -> Self {
        Self {
            attempt: 0,
            layer_count: 0,
            next,
            waiting: BTreeMap::new(),
        }
    }

    /// Whether the answer of `token_count` tokens is complete.
    pub(crate) fn is_complete(&self, attempt: Attempt, token_count: TokenIndex) -> bool {
        attempt == self.attempt && token_count == self.next
    }

    /// Starts an attempt. Output of earlier ones is dropped from now on.
    pub(crate) fn start(&mut self, attempt: Attempt, layer_count: u32) {
        self.attempt = attempt;
        self.layer_count = layer_count;
        self.waiting.clear();
    }

    /// Takes a token and returns those that are next in order.
    pub(crate) fn take(&mut self, token: TokenRecord) -> Result<Vec<Arc<str>>, FailureKind> {
        if token.attempt != self.attempt || token.index < self.next {
            return Ok(Vec::new());
        }
        let is_covered = LayerRange::covers(&token.layers, self.layer_count);
        if !is_covered || self.waiting.len() >= WAITING_COUNT {
            return Err(FailureKind::Protocol);
        }
        self.waiting.insert(token.index, token.text);
        let mut ready = Vec::new();
        while let Some(text) = self.waiting.remove(&self.next) {
            self.next += 1;
            ready.push(text);
        }
        Ok(ready)
    }
}
