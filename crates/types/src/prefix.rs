/// Tokens between two prefixes that can be cached on their own.
pub const PREFIX_BLOCK_TOKENS: u32 = 16;

/// Number of tokens of a text, taken as its words. Engines count their own tokens; this estimate
/// serves routing and admission.
#[must_use]
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Hashes of the prefixes of `prompt` that end at each whole block of `PREFIX_BLOCK_TOKENS` words,
/// shortest first. Engines name cached prefixes by the same hashes.
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
