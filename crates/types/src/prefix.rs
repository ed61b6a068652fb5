/// Number of tokens between two consecutive prefixes that are hashed and can be cached.
pub const PREFIX_BLOCK_TOKENS: u32 = 16;

/// Estimates the number of tokens in a text by counting its words. Engines use their own
/// tokenizers; the estimate is used for routing and admission only.
#[must_use]
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Hashes each prefix of `prompt` that ends at a multiple of `PREFIX_BLOCK_TOKENS` words, shortest
/// first. Engines identify cached prefixes by the same hashes.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if !(index + 1).is_multiple_of(PREFIX_BLOCK_TOKENS as usize) {
            continue;
        }
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        hashes.push(u64::from_le_bytes(head));
    }
    hashes
}
