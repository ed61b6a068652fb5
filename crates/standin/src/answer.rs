use super::*;

/// Text of one token of an answer. Depends only on the prompt, the seed and the position, so that a
/// test can check an answer whichever engines generated it.
#[must_use]
pub fn answer_token(prompt: &str, seed: u64, index: TokenIndex) -> String {
    token_text(&types::hash_key(prompt), seed, index)
}

/// Text of the first `token_count` tokens of an answer.
#[must_use]
pub fn answer_text(prompt: &str, seed: u64, token_count: TokenIndex) -> String {
    let hash = types::hash_key(prompt);
    let mut text = String::new();
    for index in 0..token_count {
        text.push_str(&token_text(&hash, seed, index));
    }
    text
}

/// Length of an answer and the reason why it ends. If the prompt contains the word `stop=N` and N
/// is below `max_tokens`, the answer stops after N tokens.
#[must_use]
pub fn answer_length(prompt: &str, max_tokens: u32) -> (TokenIndex, FinishReason) {
    for word in prompt.split_whitespace() {
        let count = word.strip_prefix("stop=").map(str::parse);
        if let Some(Ok(count)) = count
            && count < max_tokens
        {
            return (count, FinishReason::Stop);
        }
    }
    (max_tokens, FinishReason::Length)
}

pub(crate) fn token_text(prompt_hash: &str, seed: u64, index: TokenIndex) -> String {
    let hash = types::hash_key(&format!("{seed} {index} {prompt_hash}"));
    format!("{} ", &hash[..6])
}
